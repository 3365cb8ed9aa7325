// Brings weighted bins under a common relative load with few moves of items.
//
//   auto plan = rebalance(bins, items, cap);
//   plan.place[i] != items[i].bin   // item i moves
//
// Relative load of a bin: the sum of its items' loads by its weight.
#pragma once

#include <cstddef>
#include <vector>

namespace plantainpaddle {

inline constexpr std::size_t no_bin = ~std::size_t{0};

struct rebalance_item {
  double load = 0;
  std::size_t bin = no_bin;  // no_bin, or a bin of weight 0: must be placed
};

struct rebalance_plan {
  std::vector<std::size_t> place;  // the bin of each item
  std::size_t moves = 0;           // of items whose bin has a weight
  double highest = 0;              // relative load of the fullest bin
};

// weights: one for each bin; a bin of weight 0 gets nothing. Some weight must be above 0. With a
// cap that can't be reached, the plan's highest lies above it. O(items * (log items + bins)).
rebalance_plan rebalance(const std::vector<double>& weights,
                         const std::vector<rebalance_item>& items, double cap);

// Sum of loads by sum of weights.
double mean_relative_load(const std::vector<double>& weights,
                          const std::vector<rebalance_item>& items);

}  // namespace plantainpaddle
