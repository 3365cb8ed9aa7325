// Decides which upstream of a cell should own which shard. The planner is a pure function of the
// current owners, the upstreams and the load of each shard.
//
//   auto moves = plan_moves(input);          // start these, then plan again
//   auto advice = advise_hot_shards(input, hottest_key);
//
// Loads should be smoothed as shard_load.h does; load_window is the time constant of the smoothing.
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
  double share = 1;    // part of the weight, 0 to 1, that counts during a cold start
};

struct plan_input {
  std::vector<plan_upstream> upstreams;
  std::map<shard_id, shard_owner> shards;
  std::map<shard_id, double> load;  // requests per second; a missing shard has no load
  std::uint32_t move_budget = 0;    // maximum number of moves of shards whose owner is usable
  double imbalance_weight = 1;
  double churn_weight = 1;
  double unavailable_weight = 1;
  duration load_window = seconds(60);      // time constant of the load's smoothing
  duration move_wait = milliseconds(100);  // time for which a move makes a shard unavailable
  double hysteresis = 0.08;                // excess load up to which nothing is moved for balance
};

struct shard_move {
  shard_id shard;
  upstream_id to;
  bool operator==(const shard_move&) const = default;
};

// Returns the moves that give each shard a usable owner, followed by the moves for balance that are
// worth their cost, at most move_budget of them. Returns no moves if no upstream is usable. Takes
// O(shards * (log shards + log upstreams)) if all shards have a usable owner and the load is
// balanced, otherwise as long as a few calls of rebalance().
std::vector<shard_move> plan_moves(const plan_input& input);

// Returns by which fraction the highest relative load exceeds a lower bound for every plan: the
// mean, or the largest shard alone on the upstream of the largest weight. Shards without a usable
// owner add no load to any upstream.
double excess_load(const plan_input& input);

enum class hot_shard_action {
  leave,            // neither moving its neighbours nor isolating a key is worth its cost
  move_neighbours,  // plan_moves moves other shards away from the owner
  isolate_key,      // the shard's hottest key should get a shard of its own
};

struct hot_shard_advice {
  shard_id shard;
  hot_shard_action action = hot_shard_action::leave;
  bool operator==(const hot_shard_advice&) const = default;
};

// Returns an advice for each shard whose load alone exceeds the fair share of the upstream of the
// largest weight. hottest_key gives the requests per second of a shard's hottest key, where known.
std::vector<hot_shard_advice> advise_hot_shards(const plan_input& input,
                                                const std::map<shard_id, double>& hottest_key);

// Returns the part of its weight that an upstream gets `age` after its start: 0.25, 0.5, 0.75 and 1
// in the quarters of cold_start and after it. Returns 1 if cold_start is zero or negative.
double cold_start_share(duration age, duration cold_start);

}  // namespace plantainpaddle
