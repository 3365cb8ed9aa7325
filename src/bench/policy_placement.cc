// naive: each key at its first upstream by rendezvous hash among those that the instance list
// names; the list learns of a loss list_lag late and believes reports. Instances see a change
// spread apart by list_spread, and a moved key waits that long, for nobody may serve it twice.
// previous and ours: the ownership protocol of this project with the first planner and with this
// one. A lost upstream's shards wait suspicion and grant with margin, a moved shard waits
// move_wait.

#include "bench/policy_placement.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <optional>
#include <random>
#include <set>

#include "base/hash.h"
#include "bench/policy_previous.h"
#include "bench/policy_trace.h"
#include "ownership/planner.h"
#include "ownership/shard_load.h"
#include "ownership/timing.h"

namespace plantainpaddle::bench {
namespace {

constexpr duration step = seconds(10);
constexpr duration warm_up = std::chrono::minutes(15);
constexpr duration cold_start = seconds(60);
constexpr double list_lag_seconds = 10;
constexpr double list_spread_seconds = 2;
constexpr monotonic_time start{seconds(100000)};

double seconds_of(duration d) { return std::chrono::duration<double>(d).count(); }

double loss_seconds() {
  const ownership_timing timing;
  return seconds_of(timing.suspicion + with_drift_margin(timing.grant));
}

double quantile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  const auto place =
      values.begin() + static_cast<std::ptrdiff_t>(q * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), place, values.end());
  return *place;
}

double mean(const std::vector<double>& values) {
  return std::accumulate(values.begin(), values.end(), 0.0) /
         static_cast<double>(std::max<std::size_t>(1, values.size()));
}

upstream_id upstream_name(std::size_t u) { return upstream_id{std::to_string(100 + u)}; }

// Fewest moves that any plan needs to bring every upstream under `highest`: from each the largest
// shards that make up its excess.
std::size_t fewest_moves(const std::vector<std::vector<double>>& held, double highest) {
  std::size_t moves = 0;
  for (auto loads : held) {
    std::sort(loads.begin(), loads.end(), std::greater<>());
    double excess = std::accumulate(loads.begin(), loads.end(), 0.0) - highest * (1 + 1e-9);
    for (std::size_t i = 0; i < loads.size() && excess > 0; ++i) {
      excess -= loads[i];
      ++moves;
    }
  }
  return moves;
}

class placement {
 public:
  placement(const deployment& where, way w, const placement_policy& policy)
      : where_(where),
        way_(w),
        policy_(policy),
        trace_(where.requests_per_second, where.services[0].upstreams, policy.seed),
        total_(where.services[0].upstreams + new_upstreams()),
        serving_(total_, true),
        listed_(total_, true),
        joined_(total_, start - std::chrono::hours(1)),
        random_(policy.seed + 1),
        load_(policy.load_window) {
    for (std::size_t u = where.services[0].upstreams; u < total_; ++u) {
      serving_[u] = listed_[u] = false;
    }
    for (std::size_t k = 0; k < trace_.keys(); ++k) {
      shard_of_.push_back(hash64("key" + std::to_string(k)) % where.shards);
      for (std::size_t u = 0; u < total_; ++u) {
        score_.push_back(hash64("key" + std::to_string(k), upstream_name(u).value));
      }
    }
    for (std::uint32_t s = 0; s < where.shards; ++s) {
      const std::size_t owner = s % where.services[0].upstreams;
      owner_.push_back(owner);
      cell_.push_back(owner % where.domains);
    }
    if (way_ == way::naive) rehash();
  }

  placement_figures run() {
    const auto changes = make_changes(where_.services[0].upstreams);
    std::size_t next = 0;
    for (duration at{0}; at < trace_length; at += step) {
      now_ = start + at;
      if (at % std::chrono::minutes(1) == duration{0}) update_rates(at);
      while (next < changes.size() && changes[next].at <= at) apply_change(changes[next++]);
      if (way_ != way::naive) plan();
      if (at >= warm_up) measure();
    }
    return figures();
  }

 private:
  void update_rates(duration at) {
    key_rate_ = &trace_.rates(at);
    sum_ = std::accumulate(key_rate_->begin(), key_rate_->end(), 0.0);
    shard_rate_.assign(where_.shards, 0);
    for (std::size_t k = 0; k < key_rate_->size(); ++k)
      shard_rate_[shard_of_[k]] += (*key_rate_)[k];
  }

  void apply_change(const upstream_change& change) {
    const auto u = change.upstream;
    switch (change.kind) {
      case change_kind::leave:
        serving_[u] = listed_[u] = false;
        break;
      case change_kind::join:
        serving_[u] = listed_[u] = true;
        joined_[u] = now_;
        break;
      case change_kind::lose:
        serving_[u] = listed_[u] = false;
        lost_ += (way_ == way::naive ? list_lag_seconds : loss_seconds()) * load_of(u) / sum_;
        break;
      case change_kind::false_report:
        if (way_ == way::naive) listed_[u] = false;
        break;
      case change_kind::report_ends:
        if (way_ == way::naive) listed_[u] = true;
        break;
    }
    if (way_ == way::naive) rehash();
  }

  // naive.

  void rehash() {
    const bool first = key_owner_.empty();
    key_owner_.resize(trace_.keys());
    for (std::size_t k = 0; k < trace_.keys(); ++k) {
      std::size_t best = total_;
      for (std::size_t u = 0; u < total_; ++u) {
        if (!listed_[u]) continue;
        if (best == total_ || score_[k * total_ + u] > score_[k * total_ + best]) best = u;
      }
      if (!first && key_owner_[k] != best) {
        ++moved_;
        unavailable_ += list_spread_seconds * (*key_rate_)[k] / sum_;
        // What leaves an upstream that is gone, and what a new one takes, can't be avoided.
        ++least_moved_;
      }
      key_owner_[k] = best;
    }
  }

  // previous and ours.

  void plan() {
    for (std::uint32_t s = 0; s < where_.shards; ++s) {
      const double mean_count = shard_rate_[s] * seconds_of(step);
      load_.add(shard_id{s}, std::poisson_distribution<int>(std::max(1e-9, mean_count))(random_),
                now_);
    }
    rates_ = load_.rates(now_);
    const double budget_step = policy_.moves_per_minute * seconds_of(step) / 60;
    if (way_ == way::ours && policy_.between_cells) plan_cells(budget_step);
    budget_.resize(where_.domains);
    for (std::size_t d = 0; d < where_.domains; ++d) {
      budget_[d] = std::min<double>(policy_.moves_per_minute, budget_[d] + budget_step);
      plan_cell(d);
    }
  }

  plan_input input_with(double hysteresis, double budget) const {
    plan_input input;
    input.load_window = policy_.load_window;
    input.hysteresis = hysteresis;
    input.churn_weight = where_.churn_weight;
    input.unavailable_weight = where_.unavailable_weight;
    input.move_budget = static_cast<std::uint32_t>(budget);
    return input;
  }

  void plan_cells(double budget_step) {
    cells_budget_ = std::min<double>(policy_.moves_per_minute, cells_budget_ + budget_step);
    plan_input input = input_with(policy_.cells_hysteresis, cells_budget_);
    for (std::size_t d = 0; d < where_.domains; ++d) {
      plan_upstream cell{.name = upstream_name(d), .weight = 0};
      for (std::size_t u = d; u < total_; u += where_.domains) {
        if (serving_[u]) cell.weight += cold_start_share(now_ - joined_[u], cold_start);
      }
      input.upstreams.push_back(cell);
    }
    for (std::uint32_t s = 0; s < where_.shards; ++s) {
      input.shards[shard_id{s}] = {upstream_name(cell_[s]), fence_number{1}};
      input.load[shard_id{s}] = rate_of(s);
    }
    for (const auto& move : plan_moves(input)) {
      const auto s = move.shard.value;
      cell_[s] = index_of(move.to);
      left_cell_.insert(s);
      cells_budget_ -= 1;
    }
  }

  static std::size_t index_of(const upstream_id& name) {
    return static_cast<std::size_t>(std::stoul(name.value) - 100);
  }

  double rate_of(std::uint32_t shard) const {
    const auto place = rates_.find(shard_id{shard});
    return place == rates_.end() ? 0 : place->second;
  }

  void plan_cell(std::size_t d) {
    plan_input input = input_with(policy_.hysteresis, budget_[d]);
    for (std::size_t u = d; u < total_; u += where_.domains) {
      const double share = way_ == way::ours ? cold_start_share(now_ - joined_[u], cold_start) : 1;
      input.upstreams.push_back({upstream_name(u), 1, serving_[u], share});
    }
    for (std::uint32_t s = 0; s < where_.shards; ++s) {
      if (cell_[s] != d) continue;
      auto& entry = input.shards[shard_id{s}];
      if (!left_cell_.contains(s)) entry.owner = upstream_name(owner_[s]);
      input.load[shard_id{s}] = rate_of(s);
    }
    std::vector<std::vector<double>> held(total_);
    std::size_t voluntary = 0;
    for (const auto& [shard, entry] : input.shards) {
      if (entry.owner && serving_[owner_[shard.value]]) {
        held[owner_[shard.value]].push_back(rate_of(shard.value));
      }
    }
    const auto moves = way_ == way::ours ? plan_moves(input) : plan_moves_by_count(input);
    for (const auto& move : moves) {
      const auto s = move.shard.value;
      const bool left_cell = left_cell_.erase(s) > 0;
      const bool forced = !serving_[owner_[s]];
      if (!forced && !left_cell) ++voluntary;
      if (forced || left_cell) ++least_moved_;
      unavailable_ += seconds_of(left_cell ? policy_.between_cells_wait : policy_.move_wait) *
                      shard_rate_[s] / sum_;
      owner_[s] = index_of(move.to);
      ++moved_;
    }
    if (voluntary == 0) return;
    budget_[d] -= static_cast<double>(voluntary);
    std::vector<double> after(total_);
    for (const auto& [shard, entry] : input.shards)
      after[owner_[shard.value]] += rate_of(shard.value);
    const double highest = *std::max_element(after.begin(), after.end());
    least_moved_ += std::min(voluntary, fewest_moves(held, highest));
  }

  // Measures.

  double load_of(std::size_t u) const {
    double load = 0;
    if (way_ == way::naive) {
      for (std::size_t k = 0; k < key_owner_.size(); ++k) {
        if (key_owner_[k] == u) load += (*key_rate_)[k];
      }
    } else {
      for (std::uint32_t s = 0; s < where_.shards; ++s) {
        if (owner_[s] == u) load += shard_rate_[s];
      }
    }
    return load;
  }

  void measure() {
    std::vector<double> loads(total_);
    if (way_ == way::naive) {
      for (std::size_t k = 0; k < key_owner_.size(); ++k) loads[key_owner_[k]] += (*key_rate_)[k];
    } else {
      for (std::uint32_t s = 0; s < where_.shards; ++s) loads[owner_[s]] += shard_rate_[s];
    }
    const auto count = static_cast<double>(std::count(serving_.begin(), serving_.end(), true));
    const double fair = sum_ / count;
    const double hottest = *std::max_element(key_rate_->begin(), key_rate_->end());
    const double highest = *std::max_element(loads.begin(), loads.end());
    imbalance_.push_back(highest / std::max(fair, hottest));
    raw_.push_back(highest / fair);
    for (std::size_t u = 0; u < total_; ++u) {
      if (serving_[u]) relative_.push_back(loads[u] / fair);
    }
  }

  placement_figures figures() const {
    placement_figures made;
    made.imbalance_mean = mean(imbalance_);
    made.imbalance_p99 = quantile(imbalance_, 0.99);
    made.raw_imbalance = mean(raw_);
    made.p99_over_mean = quantile(relative_, 0.99);
    const double items = way_ == way::naive ? static_cast<double>(trace_.keys())
                                            : static_cast<double>(where_.shards);
    made.churn = static_cast<double>(moved_) / items / (seconds_of(trace_length) / 3600);
    made.churn_over_least =
        static_cast<double>(moved_) / static_cast<double>(std::max<std::size_t>(1, least_moved_));
    made.unavailable_s = unavailable_ + lost_;
    made.lost_s = lost_;
    return made;
  }

  const deployment& where_;
  way way_;
  placement_policy policy_;
  key_trace trace_;
  std::size_t total_;
  std::vector<bool> serving_;
  std::vector<bool> listed_;
  std::vector<monotonic_time> joined_;
  std::mt19937_64 random_;
  shard_load load_;
  std::map<shard_id, double> rates_;
  monotonic_time now_ = start;
  const std::vector<double>* key_rate_ = nullptr;
  double sum_ = 1;
  std::vector<std::size_t> shard_of_;
  std::vector<std::uint64_t> score_;
  std::vector<std::size_t> key_owner_;
  std::vector<std::size_t> owner_;
  std::vector<std::size_t> cell_;
  std::set<std::uint32_t> left_cell_;
  std::vector<double> shard_rate_;
  std::vector<double> budget_;
  double cells_budget_ = 0;
  std::size_t moved_ = 0;
  std::size_t least_moved_ = 0;
  double unavailable_ = 0;
  double lost_ = 0;
  std::vector<double> imbalance_;
  std::vector<double> raw_;
  std::vector<double> relative_;
};

}  // namespace

placement_figures run_placement(const deployment& where, way w, const placement_policy& policy) {
  return placement(where, w, policy).run();
}

join_figures run_joins(std::uint32_t upstreams, std::uint32_t joins, std::uint32_t batch,
                       std::uint32_t shards, std::uint64_t seed) {
  plan_input input;
  std::mt19937_64 random(seed);
  for (std::uint32_t u = 0; u < upstreams; ++u) input.upstreams.push_back({upstream_name(u)});
  for (std::uint32_t s = 0; s < shards; ++s) {
    input.shards[shard_id{s}] = {upstream_name(s % upstreams), fence_number{1}};
    input.load[shard_id{s}] = 50 + static_cast<double>(random() % 100);
  }
  input.move_budget = shards;
  input.hysteresis = 0;  // each join or batch is balanced at once
  for (const auto& move : plan_moves(input)) input.shards[move.shard].owner = move.to;
  join_figures made{batch};
  std::vector<double> imbalance;
  for (std::uint32_t joined = 1; joined <= joins; ++joined) {
    input.upstreams.push_back({upstream_name(upstreams + joined - 1)});
    if (joined % batch == 0) {
      for (const auto& move : plan_moves(input)) {
        input.shards[move.shard].owner = move.to;
        made.moved_share += 1.0 / shards;
      }
    }
    imbalance.push_back(1 + excess_load(input));
  }
  made.imbalance_mean = mean(imbalance);
  return made;
}

}  // namespace plantainpaddle::bench
