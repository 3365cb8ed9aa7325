// Compares rebalance() with an exhaustive search on small cases and checks the planner's rules on
// random large cells.
#include "ownership/planner.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

#include "ownership/rebalance.h"
#include "ownership/shard_load.h"

using namespace plantainpaddle;

namespace {

struct small_case {
  std::vector<double> weights;
  std::vector<rebalance_item> items;
};

double highest_of(const small_case& c, const std::vector<std::size_t>& place) {
  std::vector<double> load(c.weights.size());
  for (std::size_t i = 0; i < place.size(); ++i) load[place[i]] += c.items[i].load;
  double highest = 0;
  for (std::size_t b = 0; b < load.size(); ++b) {
    if (c.weights[b] > 0) highest = std::max(highest, load[b] / c.weights[b]);
  }
  return highest;
}

// Tries all plans. Entry m of the result is the lowest maximum of the relative load that any plan
// with at most m moves reaches.
std::vector<double> lowest_load_by_moves(const small_case& c) {
  const std::size_t bins = c.weights.size();
  std::vector<double> lowest(c.items.size() + 1, 1e300);
  std::vector<std::size_t> place(c.items.size());
  std::size_t plans = 1;
  for (std::size_t i = 0; i < c.items.size(); ++i) plans *= bins;
  for (std::size_t code = 0; code < plans; ++code) {
    std::size_t rest = code;
    std::size_t moves = 0;
    bool allowed = true;
    for (std::size_t i = 0; i < c.items.size(); ++i) {
      place[i] = rest % bins;
      rest /= bins;
      if (c.weights[place[i]] <= 0) allowed = false;
      if (c.items[i].bin != no_bin && c.weights[c.items[i].bin] > 0 && place[i] != c.items[i].bin) {
        ++moves;
      }
    }
    if (allowed) lowest[moves] = std::min(lowest[moves], highest_of(c, place));
  }
  for (std::size_t m = 1; m < lowest.size(); ++m) lowest[m] = std::min(lowest[m], lowest[m - 1]);
  return lowest;
}

small_case random_case(std::mt19937_64& random, std::size_t bins, std::size_t items) {
  small_case small;
  for (std::size_t b = 0; b < bins; ++b) small.weights.push_back(1 + (random() % 4 == 0));
  if (random() % 3 == 0) small.weights.back() = 0;
  for (std::size_t i = 0; i < items; ++i) {
    const std::size_t bin = random() % (bins + 1);
    small.items.push_back({static_cast<double>(1 + random() % 9), bin == bins ? no_bin : bin});
  }
  return small;
}

plan_input cell_with(std::size_t upstreams, std::size_t shards) {
  plan_input input;
  for (std::size_t u = 0; u < upstreams; ++u) {
    input.upstreams.push_back({upstream_id{"u" + std::to_string(u)}});
  }
  for (std::size_t s = 0; s < shards; ++s) {
    const auto id = shard_id{static_cast<std::uint32_t>(s)};
    input.shards[id] = {input.upstreams[s % upstreams].name, fence_number{1}};
    input.load[id] = 100;
  }
  input.move_budget = 1000;
  return input;
}

void apply_moves(plan_input& input, const std::vector<shard_move>& moves) {
  for (const auto& move : moves) input.shards[move.shard].owner = move.to;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(planner)

BOOST_AUTO_TEST_CASE(small_cases_need_at_most_half_more_moves_than_the_minimum) {
  std::mt19937_64 random(20261204);
  std::size_t cases = 0;
  std::size_t over = 0;
  std::size_t moved = 0;
  std::size_t least_moved = 0;
  for (int round = 0; round < 400; ++round) {
    const auto c = random_case(random, 2 + random() % 2, 4 + random() % 4);
    const auto lowest = lowest_load_by_moves(c);
    const double mean = mean_relative_load(c.weights, c.items);
    for (const double excess : {0.0, 0.05, 0.15, 0.4, 1.0}) {
      const auto plan = rebalance(c.weights, c.items, mean * (1 + excess));
      BOOST_TEST(std::abs(plan.max_relative_load - highest_of(c, plan.bins)) < 1e-6);
      std::size_t least = 0;
      while (lowest[least] > plan.max_relative_load * (1 + 1e-6)) ++least;
      ++cases;
      moved += plan.moves;
      least_moved += least;
      if (2 * plan.moves > 3 * least) ++over;
    }
  }
  BOOST_TEST_MESSAGE(cases << " cases, " << over << " above the bound, " << moved
                           << " moves, minimum " << least_moved);
  BOOST_TEST(2 * moved <= 3 * least_moved);
  BOOST_TEST(over == 0U);
}

BOOST_AUTO_TEST_CASE(plans_of_large_cells_obey_the_rules) {
  BOOST_TEST(
      rc::check("moves are within the budget, to usable upstreams, and all shards owned", [] {
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        const std::size_t upstreams = 1 + random() % 16;
        auto input = cell_with(upstreams, 1 + random() % 512);
        for (auto& upstream : input.upstreams) upstream.usable = random() % 5 != 0;
        for (auto& [shard, load] : input.load) load = static_cast<double>(random() % 1000);
        for (auto& [shard, entry] : input.shards) {
          if (random() % 4 == 0) entry.owner = input.upstreams[random() % upstreams].name;
          if (random() % 9 == 0) entry.owner.reset();
        }
        input.move_budget = static_cast<std::uint32_t>(random() % 20);
        std::map<upstream_id, bool> usable;
        bool any = false;
        for (const auto& upstream : input.upstreams) {
          usable[upstream.name] = upstream.usable;
          any = any || upstream.usable;
        }
        const auto moves = plan_moves(input);
        std::map<shard_id, int> seen;
        std::uint32_t voluntary = 0;
        for (const auto& move : moves) {
          RC_ASSERT(usable.at(move.to));
          RC_ASSERT(++seen[move.shard] == 1);
          const auto& owner = input.shards.at(move.shard).owner;
          if (owner && usable.at(*owner)) {
            ++voluntary;
            RC_ASSERT(*owner != move.to);
          }
        }
        RC_ASSERT(voluntary <= input.move_budget);
        for (const auto& [shard, entry] : input.shards) {
          if (any && (!entry.owner || !usable.at(*entry.owner))) RC_ASSERT(seen.contains(shard));
        }
        RC_ASSERT(any || moves.empty());
      }));
}

BOOST_AUTO_TEST_CASE(repeated_planning_of_an_unchanged_load_comes_to_an_end) {
  BOOST_TEST(rc::check("no plan is left after a few rounds", [] {
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    auto input = cell_with(2 + random() % 14, 16 + random() % 240);
    for (auto& [shard, load] : input.load) load = 1 + static_cast<double>(random() % 1000);
    apply_moves(input, plan_moves(input));
    // Each plan lowers a cost that is bounded below. Usually two plans are enough; ten always are.
    int plans = 0;
    for (auto moves = plan_moves(input); !moves.empty(); moves = plan_moves(input)) {
      apply_moves(input, moves);
      RC_ASSERT(++plans < 10);
    }
  }));
}

BOOST_AUTO_TEST_CASE(a_small_budget_reaches_the_same_balance_step_by_step) {
  auto input = cell_with(6, 240);
  for (auto& [shard, entry] : input.shards) {
    if (shard.value % 6 == 0) input.load[shard] = 200;
  }
  input.move_budget = 1;
  int moves = 0;
  for (auto next = plan_moves(input); !next.empty(); next = plan_moves(input)) {
    BOOST_TEST(next.size() == 1U);
    apply_moves(input, next);
    BOOST_REQUIRE(++moves < 60);
  }
  BOOST_TEST(moves > 0);
  BOOST_TEST(excess_load(input) <= input.hysteresis);
}

BOOST_AUTO_TEST_CASE(poisson_noise_moves_hardly_any_shard) {
  std::mt19937_64 random(7);
  auto input = cell_with(12, 240);
  input.load_window = seconds(10);
  // Each shard gets 4 requests per second. Smoothed over 10 s, which varies like a mean over 20 s,
  // its measured rate has a standard deviation of 11 %.
  std::size_t moves = 0;
  for (int round = 0; round < 200; ++round) {
    for (auto& [shard, load] : input.load) {
      load = std::poisson_distribution<int>(4 * 20)(random) / 20.0;
    }
    const auto next = plan_moves(input);
    apply_moves(input, next);
    moves += next.size();
  }
  BOOST_TEST(moves <= 10U);
}

BOOST_AUTO_TEST_CASE(losing_an_upstream_moves_only_its_shards) {
  auto input = cell_with(16, 256);
  input.upstreams[3].usable = false;
  const auto moves = plan_moves(input);
  BOOST_TEST(moves.size() == 16U);
  for (const auto& move : moves) BOOST_TEST(input.shards[move.shard].owner->value == "u3");
  apply_moves(input, moves);
  BOOST_TEST(excess_load(input) < 0.08);
}

BOOST_AUTO_TEST_CASE(a_cold_upstream_gets_its_load_in_steps) {
  auto input = cell_with(4, 256);
  input.upstreams.push_back({.name = upstream_id{"new"}});
  std::size_t total = 0;
  std::size_t before = 0;
  for (const double share : {0.25, 0.5, 0.75, 1.0}) {
    input.upstreams.back().share = share;
    const auto moves = plan_moves(input);
    apply_moves(input, moves);
    total += moves.size();
    std::size_t held = 0;
    for (const auto& [shard, entry] : input.shards) held += entry.owner->value == "new";
    BOOST_TEST(held >= before);
    BOOST_TEST(static_cast<double>(held) <= share * 256 / 4);
    before = held;
  }
  BOOST_TEST(before == total);  // no shard moved twice
  BOOST_TEST(excess_load(input) <= input.hysteresis);
}

BOOST_AUTO_TEST_CASE(a_hot_shard_stays_and_its_neighbours_move) {
  auto input = cell_with(4, 64);
  const shard_id hot{5};
  input.load[hot] = 3000;
  const auto advice = advise_hot_shards(input, {});
  BOOST_REQUIRE(advice.size() == 1U);
  BOOST_TEST((advice[0] == hot_shard_advice{hot, hot_shard_action::move_neighbours}));
  const auto moves = plan_moves(input);
  for (const auto& move : moves) BOOST_TEST(move.shard != hot);
  apply_moves(input, moves);
  std::size_t left = 0;
  for (const auto& [shard, entry] : input.shards) left += entry.owner->value == "u1";
  BOOST_TEST(left <= 4U);  // 100 requests per second each: within the hysteresis, 8 % of 3000
  const auto isolate = advise_hot_shards(input, {{hot, 2000}});
  BOOST_TEST((isolate[0].action == hot_shard_action::isolate_key));
  const auto single = advise_hot_shards(input, {{hot, 3000}});
  BOOST_TEST((single[0].action == hot_shard_action::leave));
}

BOOST_AUTO_TEST_CASE(moves_that_cost_more_than_they_gain_are_not_made) {
  auto input = cell_with(4, 64);
  for (auto& [shard, entry] : input.shards) {
    if (shard.value % 4 == 0) input.load[shard] = 130;
  }
  BOOST_TEST(!plan_moves(input).empty());
  input.churn_weight = 100;
  BOOST_TEST(plan_moves(input).empty());
  input.churn_weight = 1;
  input.unavailable_weight = 1000;
  BOOST_TEST(plan_moves(input).empty());
}

BOOST_AUTO_TEST_CASE(smoothed_load_follows_a_step_and_decays) {
  shard_load load(seconds(10));
  monotonic_time now{seconds(50)};
  const shard_id shard{3};
  for (int i = 0; i < 100; ++i) load.add(shard, 20, now += seconds(1));
  BOOST_TEST(std::abs(load.rates(now)[shard] - 20) < 2);
  for (int i = 0; i < 30; ++i) load.add(shard, 40, now += seconds(1));
  BOOST_TEST(std::abs(load.rates(now)[shard] - 40) < 4);
  BOOST_TEST(load.rates(now + seconds(300)).empty());
}

BOOST_AUTO_TEST_SUITE_END()
