// A day's load of the keyed service through the placement decisions, in virtual time.
//
// Reproducible: the trace depends on the seed alone and is the same for each way.
#pragma once

#include "bench/policy_deployment.h"

namespace plantainpaddle::bench {

struct placement_policy {
  double hysteresis = 0.08;
  double cells_hysteresis = 0.04;  // between cells
  bool between_cells = true;       // moves shards from cell to cell too
  std::uint32_t moves_per_minute = 60;
  duration load_window = seconds(60);
  duration move_wait = milliseconds(50);  // of a shard that moves within its cell
  duration between_cells_wait = milliseconds(100);
  std::uint64_t seed = default_seed;
};

struct placement_figures {
  double imbalance_mean = 0;    // max/mean, or by the hottest key if that is more; mean over time
  double imbalance_p99 = 0;     // the same, 99th percentile over time
  double raw_imbalance = 0;     // max/mean, mean over time
  double p99_over_mean = 0;     // 99th percentile over upstreams and time of load/mean
  double churn = 0;             // share of keys moved an hour
  double churn_over_least = 0;  // moves by the fewest that reach the same imbalance
  double unavailable_s = 0;     // seconds, each weighted by the share of the load that waits
  double lost_s = 0;            // the part of it that losses cause
};

placement_figures run_placement(const deployment& where, way w, const placement_policy& policy);

// Moves that a number of joins needs, carried out one by one or in batches: for docs/RELATED.md.
struct join_figures {
  std::uint32_t batch = 1;
  double moved_share = 0;     // of the shards, for all joins
  double imbalance_mean = 0;  // max/mean over the upstreams that have joined so far, over time
};
join_figures run_joins(std::uint32_t upstreams, std::uint32_t joins, std::uint32_t batch,
                       std::uint32_t shards, std::uint64_t seed = default_seed);

}  // namespace plantainpaddle::bench
