// Who should own which shard: a pure function of the cell's record, its upstreams and their load.
//
//   auto moves = plan_moves(input);          // start these, then plan again
//   auto hot = advise_hot_shards(input, key_loads);
//
// Loads should be smoothed (shard_load.h); load_window says over which time.
#pragma once

#include <map>
#include <vector>

#include "ownership/cell_record.h"
#include "table/rows.h"

namespace plantainpaddle {

struct plan_upstream {
  upstream_id name;
  double weight = 1;
  bool usable = true;  // false: draining, lost or weight 0; its shards are moved away
  double share = 1;    // of the weight, between 0 and 1, during a cold start
};

struct plan_input {
  std::vector<plan_upstream> upstreams;
  std::map<shard_id, shard_owner> shards;
  std::map<shard_id, double>
      load;                       // requests per second; a shard that is missing counts as no load
  std::uint32_t move_budget = 0;  // most moves of shards whose owner is usable
  double imbalance_weight = 1;
  double churn_weight = 1;
  double unavailable_weight = 1;
  duration load_window = seconds(60);      // time over which the load was smoothed
  duration move_wait = milliseconds(100);  // time that a moved shard waits
  double hysteresis = 0.08;                // excess load below which nothing is moved
};

struct shard_move {
  shard_id shard;
  upstream_id to;
  bool operator==(const shard_move&) const = default;
};

// Moves that give each shard a usable owner, and then, within the budget, that pay for themselves.
// No usable upstream: no moves. Costs O(shards * log upstreams) if nothing is out of balance,
// else O(shards * (log shards + upstreams)).
std::vector<shard_move> plan_moves(const plan_input& input);

// Highest relative load by the least that any plan can reach, less 1: the mean, or the largest
// shard alone on the widest upstream. Shards without a usable owner aren't counted.
double excess_load(const plan_input& input);

enum class hot_shard_action {
  leave,            // neither moving its neighbours nor isolating a key pays
  move_neighbours,  // plan_moves does it
  isolate_key,      // give the shard's hottest key a shard of its own
};

struct hot_shard_advice {
  shard_id shard;
  hot_shard_action action = hot_shard_action::leave;
  bool operator==(const hot_shard_advice&) const = default;
};

// For shards that exceed an upstream's fair share by themselves. hottest_key: requests per second
// of the shard's hottest key, where known.
std::vector<hot_shard_advice> advise_hot_shards(const plan_input& input,
                                                const std::map<shard_id, double>& hottest_key);

// The load share of an upstream that started `age` ago: a quarter, a half, three quarters, whole.
// 1 if cold_start is zero.
double cold_start_share(duration age, duration cold_start);

}  // namespace plantainpaddle
