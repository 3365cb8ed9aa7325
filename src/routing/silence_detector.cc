// Upstreams take requests from their queue in order. So a request has left the queue by the time at
// which a later one is answered, or at which the upstream reports an empty queue. If it was taken
// in, it has been running since. It hangs if that is longer than work of its kind takes. Where the
// queue was full when the request came, much less time is enough: then it was most likely dropped,
// and work that takes long is rare.
//
// Requests of other instances aren't seen, so an attempt may hang without any sign. It then ends at
// its deadline as before. Each call takes O(attempts at the upstream).
#include "routing/silence_detector.h"

#include <algorithm>

#include "base/durations.h"

namespace plantainpaddle {

namespace {

// The longest work takes 5 to 7 times the mean.
constexpr double tail = 7;
constexpr double tail_if_full = 2;
constexpr double smoothing = 0.1;
// The longest observed time is forgotten over some hundred requests of its kind.
constexpr double longest_decay = 0.995;
constexpr duration initial_time = milliseconds(250);  // before the first response
constexpr duration check_period = milliseconds(100);
// A report that was on its way while the request was doesn't count it.
constexpr duration travel_time = milliseconds(20);

}  // namespace

bool silence_detector::is_full(const reported_load& load) const {
  return load.slots > 0 && load.running >= load.slots && load.waiting >= load.slots &&
         load.waiting >= queue_;
}

duration silence_detector::mean_time(std::string_view work) const {
  const auto known = times_.find(work);
  return known == times_.end() ? initial_time : from_micros(known->second.mean_us);
}

// The time in which a full queue moves on by one place.
duration silence_detector::queue_step(const reported_load& load, std::string_view work) const {
  return mean_time(work) / std::max(1U, load.slots);
}

duration silence_detector::longest_time(const attempt& waiting) const {
  const double mean = micros(mean_time(waiting.work));
  if (waiting.met_full) return from_micros(tail_if_full * mean);
  const auto known = times_.find(waiting.work);
  const double observed = known == times_.end() ? 0 : known->second.longest_us;
  return from_micros(std::max(tail * mean, observed));
}

std::uint64_t silence_detector::on_sent(const upstream_id& upstream, std::string_view work,
                                        monotonic_time now) {
  auto& state = upstreams_[upstream];
  attempt sent{.work = std::string(work), .sent = now};
  sent.met_full =
      state.load && is_full(*state.load) && now - state.load_at <= queue_step(*state.load, work);
  state.attempts.emplace(++last_number_, std::move(sent));
  return last_number_;
}

void silence_detector::on_answered(const upstream_id& upstream, std::uint64_t number, bool ran,
                                   monotonic_time now) {
  auto& state = upstreams_[upstream];
  const auto place = state.attempts.find(number);
  if (place == state.attempts.end()) return;
  const auto answered = std::move(place->second);
  state.attempts.erase(place);
  if (!ran) return;
  const double took = micros(now - answered.sent);
  auto& known = times_.try_emplace(answered.work, work_times{took, took}).first->second;
  known.mean_us += smoothing * (took - known.mean_us);
  known.longest_us = std::max(took, known.longest_us * longest_decay);
  for (auto& [other, waiting] : state.attempts) {
    if (other > number) break;
    ++waiting.overtaken;
    if (!waiting.started_by) waiting.started_by = now;
  }
}

void silence_detector::on_unanswered(const upstream_id& upstream, std::uint64_t number, bool waited,
                                     monotonic_time now) {
  auto& attempts = upstreams_[upstream].attempts;
  const auto place = attempts.find(number);
  if (place == attempts.end()) return;
  const auto& ended = place->second;
  const bool shown = ended.absent || ended.met_full || ended.overtaken > 0;
  active_ = active_ || (waited && shown && now - ended.sent > mean_time(ended.work));
  attempts.erase(place);
}

void silence_detector::on_load(const upstream_id& upstream, const reported_load& load,
                               monotonic_time at) {
  auto& state = upstreams_[upstream];
  if (state.load && at < state.load_at) return;
  queue_ = std::max(queue_, load.waiting);
  slots_ = std::max(slots_, load.slots);
  state.load = load;
  state.load_at = at;
  for (auto& [number, waiting] : state.attempts) {
    const auto since = at - waiting.sent;
    if (is_full(load) && since <= queue_step(load, waiting.work)) waiting.met_full = true;
    if (since < travel_time) continue;
    if (load.waiting == 0 && !waiting.started_by) waiting.started_by = at;
    if (load.waiting == 0 && load.running == 0) waiting.absent = true;
  }
}

silence_verdict silence_detector::judge(const upstream_id& upstream, std::uint64_t number,
                                        duration left, monotonic_time now) const {
  silence_verdict verdict{.check_at = now + check_period};
  const auto state = upstreams_.find(upstream);
  if (state == upstreams_.end()) return verdict;
  const auto place = state->second.attempts.find(number);
  if (place == state->second.attempts.end()) return verdict;
  const auto& waiting = place->second;
  verdict.overtaken = waiting.overtaken;
  verdict.met_full = waiting.met_full;
  verdict.longest = longest_time(waiting);
  if (waiting.started_by) verdict.running = now - *waiting.started_by;
  const bool shown = waiting.absent || (waiting.started_by && verdict.running > verdict.longest);
  verdict.hangs = active_ && shown && left > mean_time(waiting.work);
  return verdict;
}

// By the time at which a dropped request is noticed, about half of the queue has been served.
duration silence_detector::full_time(std::string_view work) const {
  const double rounds = std::max(1.0, static_cast<double>(queue_) / slots_ / 2);
  return from_micros(rounds * micros(mean_time(work)));
}

void silence_detector::set_upstreams(const std::vector<placement_upstream>& upstreams) {
  std::erase_if(upstreams_, [&](const auto& known) {
    return known.second.attempts.empty() &&
           std::none_of(upstreams.begin(), upstreams.end(),
                        [&](const auto& listed) { return listed.name == known.first; });
  });
}

}  // namespace plantainpaddle
