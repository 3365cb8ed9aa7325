// Any plan that brings a bin under the cap takes at least as many items from it as its largest ones
// that make up the excess. This plan takes exactly so many, and among such choices small ones: the
// top k, each replaced by the smallest item that still leaves the sum above the excess. An item
// that fits under the cap nowhere stays, and what shares its bin leaves instead.
//
// The taken items are placed largest first, once where the room left is least and once where the
// relative load is least; the better outcome counts (lower highest bin if both miss the cap, else
// fewer moves). At last each move that can be undone without raising the highest bin is undone, and
// a chain of two moves that one would do for is shortened by that.
//
// Fewest moves at a given cap is NP-hard (bin packing); the tests compare with all plans on small
// cases.

#include "ownership/rebalance.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>

namespace plantainpaddle {
namespace {

// Sums of doubles in different order differ by less than this share.
constexpr double rounding = 1e-9;

class rebalancer {
 public:
  rebalancer(const std::vector<double>& weights, const std::vector<rebalance_item>& items,
             double cap)
      : weights_(weights), items_(items), cap_(cap * (1 + rounding)), loads_(weights.size()) {
    place_.reserve(items.size());
    for (std::size_t i = 0; i < items.size(); ++i) {
      place_.push_back(is_placed(i) ? items[i].bin : no_bin);
      if (is_placed(i)) loads_[items[i].bin] += items[i].load;
    }
  }

  // The plan that moves nothing; nothing if some item must be placed.
  std::optional<rebalance_plan> unchanged() const {
    if (std::find(place_.begin(), place_.end(), no_bin) != place_.end()) return std::nullopt;
    return rebalance_plan{place_, 0, highest()};
  }

  rebalance_plan run(bool tightest, std::size_t kept) {
    take_excess(kept);
    put_loose(tightest);
    undo_needless();
    rebalance_plan plan{place_, 0, highest()};
    for (std::size_t i = 0; i < items_.size(); ++i) {
      if (is_placed(i) && place_[i] != items_[i].bin) ++plan.moves;
    }
    return plan;
  }

 private:
  bool is_placed(std::size_t item) const {
    const auto bin = items_[item].bin;
    return bin < weights_.size() && weights_[bin] > 0;
  }

  double relative(std::size_t bin, double more) const {
    return (loads_[bin] + more) / weights_[bin];
  }

  double highest() const {
    double found = 0;
    for (std::size_t b = 0; b < weights_.size(); ++b) {
      if (weights_[b] > 0) found = std::max(found, relative(b, 0));
    }
    return found;
  }

  void take_excess(std::size_t kept) {
    const double widest = *std::max_element(weights_.begin(), weights_.end());
    std::vector<std::vector<std::size_t>> held(weights_.size());
    for (std::size_t i = 0; i < items_.size(); ++i) {
      if (place_[i] != no_bin) held[place_[i]].push_back(i);
    }
    for (std::size_t b = 0; b < weights_.size(); ++b) {
      if (weights_[b] <= 0 || relative(b, 0) <= cap_) continue;
      auto& own = held[b];
      std::stable_sort(own.begin(), own.end(), [&](std::size_t x, std::size_t y) {
        return items_[x].load > items_[y].load;
      });
      double allowed = cap_ * weights_[b];
      if (!own.empty() && items_[own.front()].load > cap_ * widest) {
        allowed = items_[own.front()].load;
        own.erase(own.begin());
      }
      own.erase(own.begin(), own.begin() + static_cast<std::ptrdiff_t>(std::min(kept, own.size())));
      take(own, loads_[b] - allowed);
    }
  }

  // own: items by falling load. Takes the fewest whose sum reaches the excess.
  void take(const std::vector<std::size_t>& own, double excess) {
    if (excess <= rounding * cap_) return;
    std::size_t count = 0;
    double sum = 0;
    while (count < own.size() && sum < excess) sum += items_[own[count++]].load;
    std::vector<bool> chosen(own.size());
    std::fill_n(chosen.begin(), count, true);
    std::size_t candidate = own.size();
    for (std::size_t i = 0; i < count; ++i) {
      // The smallest item that may stand in for this one; later ones are only smaller.
      while (candidate > count &&
             sum - items_[own[i]].load + items_[own[candidate - 1]].load < excess) {
        --candidate;
      }
      if (candidate <= count) break;
      sum += items_[own[candidate - 1]].load - items_[own[i]].load;
      chosen[i] = false;
      chosen[--candidate] = true;
    }
    for (std::size_t i = 0; i < own.size(); ++i) {
      if (!chosen[i]) continue;
      loads_[place_[own[i]]] -= items_[own[i]].load;
      place_[own[i]] = no_bin;
    }
  }

  void put_loose(bool tightest) {
    std::vector<std::size_t> loose;
    for (std::size_t i = 0; i < items_.size(); ++i) {
      if (place_[i] == no_bin) loose.push_back(i);
    }
    std::stable_sort(loose.begin(), loose.end(),
                     [&](std::size_t x, std::size_t y) { return items_[x].load > items_[y].load; });
    for (const auto i : loose) {
      const auto bin = best_bin(i, tightest);
      place_[i] = bin;
      loads_[bin] += items_[i].load;
    }
  }

  std::size_t best_bin(std::size_t item, bool tightest) const {
    std::size_t least = no_bin;
    std::size_t tight = no_bin;
    const auto value = [&](std::size_t b) { return relative(b, items_[item].load); };
    for (std::size_t b = 0; b < weights_.size(); ++b) {
      if (weights_[b] <= 0) continue;
      if (least == no_bin || value(b) < value(least)) least = b;
      if (value(b) <= cap_ && (tight == no_bin || value(b) > value(tight))) tight = b;
    }
    return tightest && tight != no_bin ? tight : least;
  }

  void undo_needless() {
    const double bound = std::max(highest(), cap_) * (1 + rounding);
    bool changed = true;
    while (changed) {
      changed = false;
      for (std::size_t i = 0; i < items_.size(); ++i) {
        if (!is_placed(i) || place_[i] == items_[i].bin) continue;
        if (relative(items_[i].bin, items_[i].load) > bound) continue;
        loads_[place_[i]] -= items_[i].load;
        loads_[items_[i].bin] += items_[i].load;
        place_[i] = items_[i].bin;
        changed = true;
      }
    }
  }

  const std::vector<double>& weights_;
  const std::vector<rebalance_item>& items_;
  double cap_;
  std::vector<double> loads_;
  std::vector<std::size_t> place_;
};

constexpr double slack = 1 + 3 * rounding;
constexpr std::size_t most_kept = 2;
constexpr int reached_cap_rounds = 3;

bool is_better(const rebalance_plan& a, const rebalance_plan& b, double cap) {
  const bool a_fits = a.highest <= cap * slack;
  const bool b_fits = b.highest <= cap * slack;
  if (a_fits != b_fits) return a_fits;
  if (!a_fits && std::abs(a.highest - b.highest) > rounding * cap) return a.highest < b.highest;
  if (a.moves != b.moves) return a.moves < b.moves;
  return a.highest < b.highest;
}

rebalance_plan best_variant(const std::vector<double>& weights,
                            const std::vector<rebalance_item>& items, double cap) {
  rebalance_plan best = rebalancer(weights, items, cap).run(false, 0);
  for (std::size_t kept = 0; kept <= most_kept; ++kept) {
    for (const bool tightest : {true, false}) {
      if (kept == 0 && !tightest) continue;
      auto plan = rebalancer(weights, items, cap).run(tightest, kept);
      if (is_better(plan, best, cap)) best = std::move(plan);
    }
  }
  return best;
}

}  // namespace

double mean_relative_load(const std::vector<double>& weights,
                          const std::vector<rebalance_item>& items) {
  const double weight = std::accumulate(weights.begin(), weights.end(), 0.0);
  double load = 0;
  for (const auto& item : items) load += item.load;
  return weight > 0 ? load / weight : 0;
}

rebalance_plan rebalance(const std::vector<double>& weights,
                         const std::vector<rebalance_item>& items, double cap) {
  auto unchanged = rebalancer(weights, items, cap).unchanged();
  if (unchanged && unchanged->highest <= cap * slack) return *std::move(unchanged);
  rebalance_plan best = best_variant(weights, items, cap);
  for (int i = 0; i < reached_cap_rounds && best.highest > cap * slack; ++i) {
    auto again = best_variant(weights, items, best.highest);
    if (again.moves >= best.moves || again.highest > best.highest * slack) break;
    best = std::move(again);
  }
  return best;
}

}  // namespace plantainpaddle
