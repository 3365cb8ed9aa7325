// Smoothed requests per second of each shard, for the planner.
//
//   shard_load load(seconds(60));
//   load.add(shard, requests, now);      // counted since the last call, by one instance or all
//   input.load = load.rates(now);
//
// At most one entry per shard of the service; shards whose load has faded are forgotten.
#pragma once

#include <map>

#include "base/ids.h"
#include "base/time.h"

namespace plantainpaddle {

class shard_load {
 public:
  explicit shard_load(duration window) : window_(window) {}

  void add(shard_id shard, double requests, monotonic_time now);
  std::map<shard_id, double> rates(monotonic_time now);
  duration window() const { return window_; }

 private:
  struct entry {
    double sum = 0;  // requests, each fading with time constant window_
    monotonic_time updated;
  };
  void fade(entry& e, monotonic_time now) const;

  duration window_;
  monotonic_time first_{};
  bool started_ = false;
  std::map<shard_id, entry> entries_;
};

}  // namespace plantainpaddle
