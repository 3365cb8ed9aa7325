#include "routing/observation_board.h"

#include "base/hash.h"

namespace plantainpaddle {

namespace {

// Twice the upstreams of the largest service that is designed for. Each takes some 100 bytes.
constexpr std::size_t max_entries = 8192;

}  // namespace

observation_key observation_key_of(const upstream_id& upstream) {
  return static_cast<observation_key>(hash64(upstream.value));
}

bool observation_board::take(observation_key key, const reported_load& load,
                             monotonic_time reported_at, monotonic_time now) {
  if (reported_at > now || now - reported_at > max_shared_age) return false;
  auto known = entries_.find(key);
  if (known == entries_.end()) {
    if (entries_.size() >= max_entries) expire(now);
    if (entries_.size() >= max_entries) return false;
    known = entries_.emplace(key, entry{}).first;
  } else if (reported_at <= known->second.reported_at) {
    return false;
  }
  order_.erase(known->second.sequence);
  known->second = {load, reported_at, ++last_};
  order_.emplace(last_, key);
  return true;
}

observation_delta observation_board::since(std::uint64_t position, std::size_t limit,
                                           monotonic_time now,
                                           const std::set<observation_key>* only) const {
  observation_delta delta{.position = position};
  for (auto it = order_.upper_bound(position);
       it != order_.end() && delta.observations.size() < limit; ++it) {
    delta.position = it->first;
    if (only != nullptr && !only->contains(it->second)) continue;
    const auto& known = entries_.at(it->second);
    const auto age = now - known.reported_at;
    if (age > max_shared_age) continue;
    delta.observations.push_back({it->second, {known.load, age}});
  }
  return delta;
}

void observation_board::clear() {
  entries_.clear();
  order_.clear();
}

void observation_board::expire(monotonic_time now) {
  std::erase_if(entries_, [&](const auto& known) {
    if (now - known.second.reported_at <= max_shared_age) return false;
    order_.erase(known.second.sequence);
    return true;
  });
}

}  // namespace plantainpaddle
