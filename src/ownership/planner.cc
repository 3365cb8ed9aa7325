// First each shard without a usable owner gets one, largest first to the least loaded: these moves
// are due whatever they cost. Then plans for a few caps on the relative load are weighed:
//
//   cost = imbalance_weight * excess + churn_weight * moved share of the shards
//        + unavailable_weight * move_wait in seconds * moved share of the load
//
// and the cheapest is taken, if it is cheaper than moving nothing. Below the hysteresis nothing is
// weighed, nor below what the Poisson noise of the measured load can make up: with n requests seen
// per upstream within the window, its relative deviation is 1/sqrt(n). The fullest of a few
// upstreams lies one to two deviations above the mean by noise alone, so that an excess of fewer
// counts as none.
//
// A plan larger than the budget is begun, fullest upstream first. The next plan goes on from there.
//
// Each shard counts with a small base load besides the measured one, so that idle shards are spread
// too, and a service without any load is spread by count.

#include "ownership/planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "ownership/rebalance.h"

namespace plantainpaddle {
namespace {

// Base load of a shard, as a share of the mean load of a shard.
constexpr double base_load = 0.02;
// Highest excess for which plans are made, besides that of the hysteresis.
constexpr double candidate_excess[] = {0.01, 0.02, 0.03, 0.04, 0.05, 0.06, 0.08, 0.10,
                                       0.15, 0.20, 0.30, 0.50, 0.80, 1.20, 2.0};
// Deviations of the noise: the excess that starts a plan, and the one that no plan goes below.
constexpr double noise_to_start = 4;
constexpr double noise_to_end = 1.5;
constexpr int cold_start_steps = 4;

// The input with names replaced by places.
struct indexed_input {
  std::vector<double> weights;
  std::vector<shard_id> shards;
  std::vector<rebalance_item> items;
  double total_load = 0;
};

indexed_input index_input(const plan_input& input) {
  indexed_input made;
  std::map<upstream_id, std::size_t> place;
  for (const auto& upstream : input.upstreams) {
    place[upstream.name] = made.weights.size();
    const double weight = upstream.weight * std::clamp(upstream.share, 0.0, 1.0);
    made.weights.push_back(upstream.usable && weight > 0 ? weight : 0);
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
      const auto owner = place.find(*entry.owner);
      if (owner != place.end()) item.bin = owner->second;
    }
    made.total_load += item.load;
    made.shards.push_back(shard);
    made.items.push_back(item);
  }
  return made;
}

bool any_usable(const indexed_input& in) {
  return std::any_of(in.weights.begin(), in.weights.end(), [](double w) { return w > 0; });
}

bool has_owner(const indexed_input& in, std::size_t item) {
  const auto bin = in.items[item].bin;
  return bin != no_bin && in.weights[bin] > 0;
}

// No plan brings the fullest upstream below this relative load.
double least_highest(const indexed_input& in) {
  double largest = 0;
  for (const auto& item : in.items) largest = std::max(largest, item.load);
  const double widest = *std::max_element(in.weights.begin(), in.weights.end());
  return std::max(mean_relative_load(in.weights, in.items), largest / widest);
}

// The relative deviation of an upstream's load, from the requests seen of each.
double noise_of(const plan_input& input, const indexed_input& in) {
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
    if (has_owner(in, i) && plan.place[i] != in.items[i].bin) moved_load += in.items[i].load;
  }
  const double wait = std::chrono::duration<double>(input.move_wait).count();
  const double shards = static_cast<double>(std::max<std::size_t>(1, in.items.size()));
  const double excess = std::max(plan.highest / least - 1, noise_to_end * noise_of(input, in));
  return input.imbalance_weight * excess +
         input.churn_weight * static_cast<double>(plan.moves) / shards +
         input.unavailable_weight * wait * moved_load / std::max(1e-9, in.total_load);
}

// The cheapest plan; the one that moves nothing without need if none is cheaper.
rebalance_plan choose_plan(const plan_input& input, const indexed_input& in) {
  const double least = least_highest(in);
  double unlimited = 1;
  for (const auto& item : in.items) unlimited += item.load;
  unlimited /= *std::min_element(in.weights.begin(), in.weights.end(), [](double a, double b) {
    return (a > 0 ? a : 1e300) < (b > 0 ? b : 1e300);
  });
  rebalance_plan best = rebalance(in.weights, in.items, unlimited);
  const double threshold = std::max(input.hysteresis, noise_to_start * noise_of(input, in));
  if (input.move_budget == 0 || best.highest / least - 1 <= threshold) return best;
  double best_cost = cost_of(input, in, best, least);
  const double reached = best.highest;
  for (const double excess : candidate_excess) {
    if (least * (1 + excess) >= reached) break;
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
    if (!has_owner(in, i)) {
      moves.push_back({in.shards[i], input.upstreams[plan.place[i]].name});
      continue;
    }
    relative[in.items[i].bin] += in.items[i].load / in.weights[in.items[i].bin];
    if (plan.place[i] != in.items[i].bin) balance_moves.push_back(i);
  }
  std::stable_sort(balance_moves.begin(), balance_moves.end(), [&](std::size_t a, std::size_t b) {
    return relative[in.items[a].bin] > relative[in.items[b].bin];
  });
  balance_moves.resize(std::min<std::size_t>(balance_moves.size(), input.move_budget));
  for (const auto i : balance_moves) {
    moves.push_back({in.shards[i], input.upstreams[plan.place[i]].name});
  }
  return moves;
}

double excess_load(const plan_input& input) {
  const indexed_input in = index_input(input);
  if (!any_usable(in) || in.items.empty()) return 0;
  std::vector<double> relative(in.weights.size());
  for (std::size_t i = 0; i < in.items.size(); ++i) {
    if (has_owner(in, i))
      relative[in.items[i].bin] += in.items[i].load / in.weights[in.items[i].bin];
  }
  return *std::max_element(relative.begin(), relative.end()) / least_highest(in) - 1;
}

std::vector<hot_shard_advice> advise_hot_shards(const plan_input& input,
                                                const std::map<shard_id, double>& hottest_key) {
  const indexed_input in = index_input(input);
  std::vector<hot_shard_advice> advice;
  if (!any_usable(in)) return advice;
  const double mean = mean_relative_load(in.weights, in.items);
  const double widest = *std::max_element(in.weights.begin(), in.weights.end());
  const double fair = mean * widest;
  const auto plan = choose_plan(input, in);
  const double shards = static_cast<double>(in.items.size());
  for (std::size_t i = 0; i < in.items.size(); ++i) {
    const double load = in.items[i].load;
    if (load <= fair) continue;
    hot_shard_advice made{in.shards[i]};
    for (std::size_t k = 0; k < in.items.size(); ++k) {
      if (has_owner(in, k) && in.items[k].bin == in.items[i].bin &&
          plan.place[k] != in.items[k].bin) {
        made.action = hot_shard_action::move_neighbours;
      }
    }
    // Isolating splits the shard in two, so that the fuller part counts; it costs one shard's move.
    const auto key = hottest_key.find(in.shards[i]);
    if (key != hottest_key.end() && key->second > 0 && key->second < load) {
      const double left = std::max({fair, key->second, load - key->second});
      const double gain = input.imbalance_weight * (load - left) / fair;
      const double cost = input.churn_weight / shards;
      if (gain > cost) made.action = hot_shard_action::isolate_key;
    }
    advice.push_back(made);
  }
  return advice;
}

double cold_start_share(duration age, duration cold_start) {
  if (cold_start <= duration{0} || age >= cold_start) return 1;
  const auto step = std::max<std::int64_t>(0, age.count()) * cold_start_steps / cold_start.count();
  return static_cast<double>(step + 1) / cold_start_steps;
}

}  // namespace plantainpaddle
