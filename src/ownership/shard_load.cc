// Each request counts 1 when it is added and decays by a factor of e in each window. The smoothed
// rate is the decayed sum divided by the window. Before a whole window has passed, the sum is
// divided by the part of the window that could have been filled so far, so that a new instance
// doesn't report too low a load. Cost: O(log shards) for add, O(shards) for rates.

#include "ownership/shard_load.h"

#include <algorithm>
#include <cmath>

namespace plantainpaddle {
namespace {

// Decayed sum of requests below which a shard is dropped.
constexpr double min_sum = 1e-3;

double seconds_of(duration d) { return std::chrono::duration<double>(d).count(); }

}  // namespace

void shard_load::decay(entry& e, monotonic_time now) const {
  if (now <= e.updated) return;
  e.sum *= std::exp(-seconds_of(now - e.updated) / seconds_of(window_));
  e.updated = now;
}

void shard_load::add(shard_id shard, double requests, monotonic_time now) {
  if (!started_) first_ = now;
  started_ = true;
  auto [it, added] = entries_.try_emplace(shard);
  if (added) it->second.updated = now;
  decay(it->second, now);
  it->second.sum += requests;
}

std::map<shard_id, double> shard_load::rates(monotonic_time now) {
  std::map<shard_id, double> per_second;
  const double window = seconds_of(window_);
  const double filled = 1 - std::exp(-seconds_of(std::max(duration{0}, now - first_)) / window);
  // The lower bound keeps the first requests from looking like a very high rate.
  const double span = window * std::max(filled, 0.05);
  for (auto it = entries_.begin(); it != entries_.end();) {
    decay(it->second, now);
    if (it->second.sum < min_sum) {
      it = entries_.erase(it);
      continue;
    }
    per_second[it->first] = it->second.sum / span;
    ++it;
  }
  return per_second;
}

}  // namespace plantainpaddle
