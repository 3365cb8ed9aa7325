// Smoothed requests per second of each shard, for the planner.
//
//   shard_load load(seconds(60));
//   load.add(shard, requests, now);      // requests since the last call, of one instance or of all
//   input.load = load.rates(now);
//
// Holds one entry for each shard whose load hasn't decayed to almost nothing.
#pragma once

#include <map>

#include "base/ids.h"
#include "base/time.h"

namespace plantainpaddle {

// Counts decay exponentially with time constant `window`.
class shard_load {
 public:
  explicit shard_load(duration window) : window_(window) {}

  void add(shard_id shard, double requests, monotonic_time now);
  // Returns the requests per second of each shard, and drops the entries of shards without load.
  std::map<shard_id, double> rates(monotonic_time now);
  duration window() const { return window_; }

 private:
  struct entry {
    double sum = 0;  // requests, decayed up to `updated`
    monotonic_time updated;
  };
  void decay(entry& e, monotonic_time now) const;

  duration window_;
  monotonic_time first_{};  // time of the first call of add
  bool started_ = false;
  std::map<shard_id, entry> entries_;
};

}  // namespace plantainpaddle
