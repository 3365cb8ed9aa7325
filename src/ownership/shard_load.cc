// Each request counts 1 when it comes and fades by e in a window. The sum divided by the window is
// the smoothed rate; before a whole window has passed it is divided by the part that could have
// been filled so far, so that a fresh start doesn't look like a light load. O(log shards) per call
// of add.

#include "ownership/shard_load.h"

#include <algorithm>
#include <cmath>

namespace plantainpaddle {
namespace {

constexpr double least_sum = 1e-3;

double seconds_of(duration d) { return std::chrono::duration<double>(d).count(); }

}  // namespace

void shard_load::fade(entry& e, monotonic_time now) const {
  if (now <= e.updated) return;
  e.sum *= std::exp(-seconds_of(now - e.updated) / seconds_of(window_));
  e.updated = now;
}

void shard_load::add(shard_id shard, double requests, monotonic_time now) {
  if (!started_) first_ = now;
  started_ = true;
  auto [place, added] = entries_.try_emplace(shard);
  if (added) place->second.updated = now;
  fade(place->second, now);
  place->second.sum += requests;
}

std::map<shard_id, double> shard_load::rates(monotonic_time now) {
  std::map<shard_id, double> made;
  const double window = seconds_of(window_);
  const double filled = 1 - std::exp(-seconds_of(std::max(duration{0}, now - first_)) / window);
  const double span = window * std::max(filled, 0.05);
  for (auto place = entries_.begin(); place != entries_.end();) {
    fade(place->second, now);
    if (place->second.sum < least_sum) {
      place = entries_.erase(place);
      continue;
    }
    made[place->first] = place->second.sum / span;
    ++place;
  }
  return made;
}

}  // namespace plantainpaddle
