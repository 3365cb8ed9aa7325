// While the owner has a free slot nobody is refused, so that a key may use all slots that its
// neighbours leave free. Once the slots are taken, only the neighbours' requests are sent, which
// find the queue short and the next free slots. A key without neighbours has nobody to make room
// for and may use the queue as well.
#include "routing/key_share.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "base/durations.h"

namespace plantainpaddle {

double key_share::requests_of(const counted& key, monotonic_time now) const {
  const auto age = std::chrono::duration<double>(now - key.updated);
  return key.requests * std::exp(-std::max(0.0, age / config_.memory));
}

void key_share::add(std::uint64_t key, const upstream_id& owner, monotonic_time now) {
  if (!keys_.contains(key) && keys_.size() >= config_.most_keys) make_room(now);
  auto& counted = keys_[key];
  counted.requests = requests_of(counted, now) + 1;
  counted.updated = now;
  counted.owner = owner;
}

// Forgets the half of the keys with the fewest requests, so that the cost is spread over as many
// requests. A busy key stays, however many other keys are asked for.
void key_share::make_room(monotonic_time now) {
  std::vector<std::pair<double, std::uint64_t>> by_requests;
  for (const auto& [key, counted] : keys_) by_requests.emplace_back(requests_of(counted, now), key);
  const auto middle = by_requests.begin() + static_cast<std::ptrdiff_t>(by_requests.size() / 2);
  std::nth_element(by_requests.begin(), middle, by_requests.end());
  for (auto place = by_requests.begin(); place != middle; ++place) keys_.erase(place->second);
  if (keys_.size() >= config_.most_keys) keys_.clear();
}

bool key_share::may_log(monotonic_time now) {
  if (now < next_log_) return false;
  next_log_ = now + config_.log_period;
  return true;
}

key_share_finding key_share::judge(const key_share_question& question) const {
  key_share_finding found;
  const auto key = keys_.find(question.key);
  if (key == keys_.end()) return found;
  found.of_key = requests_of(key->second, question.now);
  const auto slots = static_cast<double>(std::max(1U, question.slots));
  if (question.load < slots || question.keys_of_owner <= 1) return found;
  if (found.of_key < config_.least_requests) return found;
  for (const auto& [other, counted] : keys_) {
    if (counted.owner == question.owner) found.of_owner += requests_of(counted, question.now);
  }
  if (found.of_key < config_.large_part * found.of_owner) return found;
  // The time until a slot is free for this request if the owner gets no others.
  const double turns = (question.load - slots + 1) / slots;
  const auto wait = share_of(question.service_time, turns);
  found.decision = {send_verdict::refuse, send_reason::key_share, wait};
  return found;
}

}  // namespace plantainpaddle
