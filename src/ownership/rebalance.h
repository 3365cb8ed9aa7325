// Brings weighted bins under a common cap on their relative load with few moves of items. The
// relative load of a bin is the sum of its items' loads divided by its weight.
//
//   auto plan = rebalance(weights, items, cap);
//   plan.bins[i] != items[i].bin   // item i moves
#pragma once

#include <cstddef>
#include <vector>

namespace plantainpaddle {

inline constexpr std::size_t no_bin = ~std::size_t{0};

struct rebalance_item {
  double load = 0;
  std::size_t bin = no_bin;  // an item of no_bin or of a bin of weight 0 must be placed
};

struct rebalance_plan {
  std::vector<std::size_t> bins;  // the new bin of each item
  std::size_t moves = 0;          // moves of items whose old bin has a weight above 0
  double max_relative_load = 0;   // relative load of the fullest bin
};

// Returns a plan for bins of the given weights. A bin of weight 0 gets nothing; some weight must be
// above 0. If the cap isn't reached, the plan's max_relative_load is above it. Takes O(items +
// bins) if nothing has to move, otherwise O(items * (log items + bins)) and O(items) for each pass
// that undoes moves, of which there are at most as many as undone moves, plus one.
rebalance_plan rebalance(const std::vector<double>& weights,
                         const std::vector<rebalance_item>& items, double cap);

// Returns the sum of the loads divided by the sum of the weights, or 0 if no weight is above 0.
double mean_relative_load(const std::vector<double>& weights,
                          const std::vector<rebalance_item>& items);

}  // namespace plantainpaddle
