// Planning has two stages:
//
//   1. Each shard without a usable owner is assigned one, whatever the cost.
//   2. rebalance() makes a plan for each of a few caps on the relative load; the cheapest is taken.
//
// Stage 1 assigns the largest shard first, to the least loaded upstream. A plan of stage 2 is taken
// only if it costs less than moving nothing more:
//
//   cost = imbalance_weight * excess + churn_weight * moved share of the shards
//        + unavailable_weight * move_wait in seconds * moved share of the load
//
// Nothing is moved for balance while the excess load is within the hysteresis or may be noise.
// Requests are taken as a Poisson process: with n requests counted per upstream, the relative
// standard deviation of an upstream's load is 1/sqrt(n). By noise alone the most loaded of a few
// upstreams lies one to two deviations above the mean, so a plan that lowers the excess below
// noise_to_end deviations gains nothing by that.
//
// A plan with more moves than the budget is started from the most loaded upstream; the next call
// continues from the owners reached by then.
//
// Besides its measured load each shard counts with a small base load, so that idle shards are
// spread too and a service without any load is spread by the number of shards.
//
// Cost: O(shards * (log shards + log upstreams)) to index the input, plus one call of rebalance(),
// or up to one more for each entry of candidate_excess if the load is out of balance.

#include "ownership/planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "ownership/rebalance.h"

namespace plantainpaddle {
namespace {

// Base load of a shard, as a share of the mean measured load of a shard.
constexpr double base_load = 0.02;
// Excess loads that plans are made for, in ascending order.
constexpr double candidate_excess[] = {0.01, 0.02, 0.03, 0.04, 0.05, 0.06, 0.08, 0.10,
                                       0.15, 0.20, 0.30, 0.50, 0.80, 1.20, 2.0};
// In standard deviations of the noise: the excess above which a plan is made, and the excess below
// which a lower one gains nothing.
constexpr double noise_to_start = 4;
constexpr double noise_to_end = 1.5;
constexpr int cold_start_steps = 4;

// The input with upstreams and shards replaced by their indices; the weight of an unusable upstream
// is 0.
struct indexed_input {
  std::vector<double> weights;
  std::vector<shard_id> shards;
  std::vector<rebalance_item> items;
  double total_load = 0;
};

indexed_input index_input(const plan_input& input) {
  indexed_input indexed;
  std::map<upstream_id, std::size_t> index_of;
  for (const auto& upstream : input.upstreams) {
    index_of[upstream.name] = indexed.weights.size();
    const double weight = upstream.weight * std::clamp(upstream.share, 0.0, 1.0);
    indexed.weights.push_back(upstream.usable && weight > 0 ? weight : 0);
  }
  double measured = 0;
  for (const auto& [shard, unused] : input.shards) {
    const auto load = input.load.find(shard);
    if (load != input.load.end()) measured += std::max(0.0, load->second);
  }
  const double count = static_cast<double>(std::max<std::size_t>(1, input.shards.size()));
  const double base = measured > 0 ? base_load * measured / count : 1;
  for (const auto& [shard, entry] : input.shards) {
    const auto load = input.load.find(shard);
    rebalance_item item{base};
    if (load != input.load.end()) item.load += std::max(0.0, load->second);
    if (entry.owner) {
      const auto owner = index_of.find(*entry.owner);
      if (owner != index_of.end()) item.bin = owner->second;
    }
    indexed.total_load += item.load;
    indexed.shards.push_back(shard);
    indexed.items.push_back(item);
  }
  return indexed;
}

bool any_usable(const indexed_input& in) {
  return std::any_of(in.weights.begin(), in.weights.end(), [](double w) { return w > 0; });
}

bool has_usable_owner(const indexed_input& in, std::size_t item) {
  const auto bin = in.items[item].bin;
  return bin != no_bin && in.weights[bin] > 0;
}

// A lower bound for the highest relative load of any plan: the mean, or the largest shard alone on
// the upstream of the largest weight.
double lower_bound_of_highest(const indexed_input& in) {
  double largest = 0;
  for (const auto& item : in.items) largest = std::max(largest, item.load);
  const double max_weight = *std::max_element(in.weights.begin(), in.weights.end());
  return std::max(mean_relative_load(in.weights, in.items), largest / max_weight);
}

// The relative standard deviation of an upstream's measured load. An exponentially smoothed rate
// varies as much as a plain mean over twice the time constant.
double relative_noise(const plan_input& input, const indexed_input& in) {
  if (input.load.empty()) return 0;
  const double window = std::chrono::duration<double>(input.load_window).count();
  const auto usable =
      std::count_if(in.weights.begin(), in.weights.end(), [](double w) { return w > 0; });
  const double seen = in.total_load / static_cast<double>(usable) * 2 * window;
  return seen > 0 ? 1 / std::sqrt(seen) : 0;
}

double cost_of(const plan_input& input, const indexed_input& in, const rebalance_plan& plan,
               double least) {
  double moved_load = 0;
  for (std::size_t i = 0; i < in.items.size(); ++i) {
    if (has_usable_owner(in, i) && plan.bins[i] != in.items[i].bin) moved_load += in.items[i].load;
  }
  const double wait = std::chrono::duration<double>(input.move_wait).count();
  const double shards = static_cast<double>(std::max<std::size_t>(1, in.items.size()));
  const double excess =
      std::max(plan.max_relative_load / least - 1, noise_to_end * relative_noise(input, in));
  return input.imbalance_weight * excess +
         input.churn_weight * static_cast<double>(plan.moves) / shards +
         input.unavailable_weight * wait * moved_load / std::max(1e-9, in.total_load);
}

// Returns the cheapest plan, which is the one that moves only shards without a usable owner if no
// candidate costs less.
rebalance_plan choose_plan(const plan_input& input, const indexed_input& in) {
  const double least = lower_bound_of_highest(in);
  double unlimited_cap = 1;
  for (const auto& item : in.items) unlimited_cap += item.load;
  unlimited_cap /= *std::min_element(in.weights.begin(), in.weights.end(), [](double a, double b) {
    return (a > 0 ? a : 1e300) < (b > 0 ? b : 1e300);
  });
  rebalance_plan best = rebalance(in.weights, in.items, unlimited_cap);
  const double threshold = std::max(input.hysteresis, noise_to_start * relative_noise(input, in));
  if (input.move_budget == 0 || best.max_relative_load / least - 1 <= threshold) return best;
  double best_cost = cost_of(input, in, best, least);
  const double unmoved_highest = best.max_relative_load;
  for (const double excess : candidate_excess) {
    if (least * (1 + excess) >= unmoved_highest) break;
    auto plan = rebalance(in.weights, in.items, least * (1 + excess));
    const double cost = cost_of(input, in, plan, least);
    if (cost >= best_cost) continue;
    best = std::move(plan);
    best_cost = cost;
  }
  return best;
}

}  // namespace

std::vector<shard_move> plan_moves(const plan_input& input) {
  const indexed_input in = index_input(input);
  std::vector<shard_move> moves;
  if (!any_usable(in)) return moves;
  const rebalance_plan plan = choose_plan(input, in);
  std::vector<double> relative(in.weights.size());
  std::vector<std::size_t> balance_moves;
  for (std::size_t i = 0; i < in.items.size(); ++i) {
    if (!has_usable_owner(in, i)) {
      moves.push_back({in.shards[i], input.upstreams[plan.bins[i]].name});
      continue;
    }
    relative[in.items[i].bin] += in.items[i].load / in.weights[in.items[i].bin];
    if (plan.bins[i] != in.items[i].bin) balance_moves.push_back(i);
  }
  std::stable_sort(balance_moves.begin(), balance_moves.end(), [&](std::size_t a, std::size_t b) {
    return relative[in.items[a].bin] > relative[in.items[b].bin];
  });
  balance_moves.resize(std::min<std::size_t>(balance_moves.size(), input.move_budget));
  for (const auto i : balance_moves) {
    moves.push_back({in.shards[i], input.upstreams[plan.bins[i]].name});
  }
  return moves;
}

double excess_load(const plan_input& input) {
  const indexed_input in = index_input(input);
  if (!any_usable(in) || in.items.empty()) return 0;
  std::vector<double> relative(in.weights.size());
  for (std::size_t i = 0; i < in.items.size(); ++i) {
    if (has_usable_owner(in, i))
      relative[in.items[i].bin] += in.items[i].load / in.weights[in.items[i].bin];
  }
  return *std::max_element(relative.begin(), relative.end()) / lower_bound_of_highest(in) - 1;
}

std::vector<hot_shard_advice> advise_hot_shards(const plan_input& input,
                                                const std::map<shard_id, double>& hottest_key) {
  const indexed_input in = index_input(input);
  std::vector<hot_shard_advice> advice;
  if (!any_usable(in)) return advice;
  const double mean = mean_relative_load(in.weights, in.items);
  const double max_weight = *std::max_element(in.weights.begin(), in.weights.end());
  const double fair = mean * max_weight;
  const auto plan = choose_plan(input, in);
  const double shards = static_cast<double>(in.items.size());
  for (std::size_t i = 0; i < in.items.size(); ++i) {
    const double load = in.items[i].load;
    if (load <= fair) continue;
    hot_shard_advice shard_advice{in.shards[i]};
    for (std::size_t k = 0; k < in.items.size(); ++k) {
      if (has_usable_owner(in, k) && in.items[k].bin == in.items[i].bin &&
          plan.bins[k] != in.items[k].bin) {
        shard_advice.action = hot_shard_action::move_neighbours;
      }
    }
    // Isolating the key splits the shard in two, so the gain is measured on the larger part; the
    // cost is that of moving one shard.
    const auto key = hottest_key.find(in.shards[i]);
    if (key != hottest_key.end() && key->second > 0 && key->second < load) {
      const double remaining = std::max({fair, key->second, load - key->second});
      const double gain = input.imbalance_weight * (load - remaining) / fair;
      const double cost = input.churn_weight / shards;
      if (gain > cost) shard_advice.action = hot_shard_action::isolate_key;
    }
    advice.push_back(shard_advice);
  }
  return advice;
}

double cold_start_share(duration age, duration cold_start) {
  if (cold_start <= duration{0} || age >= cold_start) return 1;
  const auto step = std::max<std::int64_t>(0, age.count()) * cold_start_steps / cold_start.count();
  return static_cast<double>(step + 1) / cold_start_steps;
}

}  // namespace plantainpaddle
