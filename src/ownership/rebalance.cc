// The fewest moves for a given cap are NP-hard to find (bin packing), so this is a heuristic; the
// tests compare it with all plans on small cases. A plan is made in three steps:
//
//   1. Remove items from each bin above the cap until its load is at or below the cap.
//   2. Place the removed items, the largest first.
//   3. Undo each move that can be undone without raising the highest relative load above the cap.
//
// Removal: any plan must remove at least k items from a bin above the cap, where k is the number of
// its largest items that make up the excess. Exactly k are removed, and small ones: each of the k
// largest is replaced by the smallest item that keeps the removed sum at or above the excess. If
// the largest item exceeds the cap in every bin, it stays and all others leave.
//
// Placement is either best fit, into the fullest bin that stays under the cap, or into the bin of
// the least relative load. Undoing also shortens a chain of two moves where one is enough; if the
// cap was missed, the load that was reached stands in for it.
//
// The variants tried are both placements, each with none, one and two of the largest items exempt
// from removal. A plan that meets the cap wins, then the one of fewer moves; if none meets it, the
// lower highest load wins. After a missed cap, plans for the load that was reached are tried, as
// long as they save moves.

#include "ownership/rebalance.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>

namespace plantainpaddle {
namespace {

// Sums of the same doubles in a different order differ by less than this share.
constexpr double rounding = 1e-9;

class rebalancer {
 public:
  rebalancer(const std::vector<double>& weights, const std::vector<rebalance_item>& items,
             double cap)
      : weights_(weights), items_(items), cap_(cap * (1 + rounding)), loads_(weights.size()) {
    bins_.reserve(items.size());
    for (std::size_t i = 0; i < items.size(); ++i) {
      bins_.push_back(has_old_bin(i) ? items[i].bin : no_bin);
      if (has_old_bin(i)) loads_[items[i].bin] += items[i].load;
    }
  }

  // Returns the plan that moves nothing, or nullopt if some item must be placed.
  std::optional<rebalance_plan> unchanged() const {
    if (std::find(bins_.begin(), bins_.end(), no_bin) != bins_.end()) return std::nullopt;
    return rebalance_plan{bins_, 0, max_relative_load()};
  }

  // Returns a plan that exempts the `kept` largest removable items of each bin from removal.
  rebalance_plan make_plan(bool best_fit, std::size_t kept) {
    remove_excess(kept);
    place_unplaced(best_fit);
    undo_unneeded_moves();
    rebalance_plan plan{bins_, 0, max_relative_load()};
    for (std::size_t i = 0; i < items_.size(); ++i) {
      if (has_old_bin(i) && bins_[i] != items_[i].bin) ++plan.moves;
    }
    return plan;
  }

 private:
  // Whether the item is in a bin that may hold items before the plan.
  bool has_old_bin(std::size_t item) const {
    const auto bin = items_[item].bin;
    return bin < weights_.size() && weights_[bin] > 0;
  }

  double relative_load(std::size_t bin, double added) const {
    return (loads_[bin] + added) / weights_[bin];
  }

  double max_relative_load() const {
    double max_load = 0;
    for (std::size_t b = 0; b < weights_.size(); ++b) {
      if (weights_[b] > 0) max_load = std::max(max_load, relative_load(b, 0));
    }
    return max_load;
  }

  void remove_excess(std::size_t kept) {
    const double max_weight = *std::max_element(weights_.begin(), weights_.end());
    std::vector<std::vector<std::size_t>> items_of_bin(weights_.size());
    for (std::size_t i = 0; i < items_.size(); ++i) {
      if (bins_[i] != no_bin) items_of_bin[bins_[i]].push_back(i);
    }
    for (std::size_t b = 0; b < weights_.size(); ++b) {
      if (weights_[b] <= 0 || relative_load(b, 0) <= cap_) continue;
      auto& removable = items_of_bin[b];
      std::stable_sort(removable.begin(), removable.end(), [&](std::size_t x, std::size_t y) {
        return items_[x].load > items_[y].load;
      });
      double allowed = cap_ * weights_[b];
      if (!removable.empty() && items_[removable.front()].load > cap_ * max_weight) {
        allowed = items_[removable.front()].load;
        removable.erase(removable.begin());
      }
      removable.erase(removable.begin(), removable.begin() + static_cast<std::ptrdiff_t>(
                                                                 std::min(kept, removable.size())));
      remove_items(removable, loads_[b] - allowed);
    }
  }

  // Removes the fewest of a bin's items, sorted by descending load, whose sum reaches the excess.
  void remove_items(const std::vector<std::size_t>& removable, double excess) {
    if (excess <= rounding * cap_) return;
    std::size_t count = 0;
    double sum = 0;
    while (count < removable.size() && sum < excess) sum += items_[removable[count++]].load;
    std::vector<bool> chosen(removable.size());
    std::fill_n(chosen.begin(), count, true);
    std::size_t candidate = removable.size();
    for (std::size_t i = 0; i < count; ++i) {
      // Looks for the smallest item that can replace this one. A candidate that was too small for
      // an earlier item is too small for this one as well, so the search goes on from there.
      while (candidate > count &&
             sum - items_[removable[i]].load + items_[removable[candidate - 1]].load < excess) {
        --candidate;
      }
      if (candidate <= count) break;
      sum += items_[removable[candidate - 1]].load - items_[removable[i]].load;
      chosen[i] = false;
      chosen[--candidate] = true;
    }
    for (std::size_t i = 0; i < removable.size(); ++i) {
      if (!chosen[i]) continue;
      loads_[bins_[removable[i]]] -= items_[removable[i]].load;
      bins_[removable[i]] = no_bin;
    }
  }

  void place_unplaced(bool best_fit) {
    std::vector<std::size_t> unplaced;
    for (std::size_t i = 0; i < items_.size(); ++i) {
      if (bins_[i] == no_bin) unplaced.push_back(i);
    }
    std::stable_sort(unplaced.begin(), unplaced.end(),
                     [&](std::size_t x, std::size_t y) { return items_[x].load > items_[y].load; });
    for (const auto i : unplaced) {
      const auto bin = choose_bin(i, best_fit);
      bins_[i] = bin;
      loads_[bin] += items_[i].load;
    }
  }

  std::size_t choose_bin(std::size_t item, bool best_fit) const {
    std::size_t least_loaded = no_bin;
    std::size_t fullest_fitting = no_bin;
    const auto value = [&](std::size_t b) { return relative_load(b, items_[item].load); };
    for (std::size_t b = 0; b < weights_.size(); ++b) {
      if (weights_[b] <= 0) continue;
      if (least_loaded == no_bin || value(b) < value(least_loaded)) least_loaded = b;
      if (value(b) <= cap_ && (fullest_fitting == no_bin || value(b) > value(fullest_fitting)))
        fullest_fitting = b;
    }
    return best_fit && fullest_fitting != no_bin ? fullest_fitting : least_loaded;
  }

  void undo_unneeded_moves() {
    const double bound = std::max(max_relative_load(), cap_) * (1 + rounding);
    bool changed = true;
    while (changed) {
      changed = false;
      for (std::size_t i = 0; i < items_.size(); ++i) {
        if (!has_old_bin(i) || bins_[i] == items_[i].bin) continue;
        if (relative_load(items_[i].bin, items_[i].load) > bound) continue;
        loads_[bins_[i]] -= items_[i].load;
        loads_[items_[i].bin] += items_[i].load;
        bins_[i] = items_[i].bin;
        changed = true;
      }
    }
  }

  const std::vector<double>& weights_;
  const std::vector<rebalance_item>& items_;
  double cap_;
  std::vector<double> loads_;
  std::vector<std::size_t> bins_;
};

// The factor by which a sum may exceed the cap through rounding.
constexpr double cap_tolerance = 1 + 3 * rounding;
constexpr std::size_t max_kept = 2;
constexpr int max_retries = 3;

bool is_better(const rebalance_plan& a, const rebalance_plan& b, double cap) {
  const bool a_fits = a.max_relative_load <= cap * cap_tolerance;
  const bool b_fits = b.max_relative_load <= cap * cap_tolerance;
  if (a_fits != b_fits) return a_fits;
  if (!a_fits && std::abs(a.max_relative_load - b.max_relative_load) > rounding * cap)
    return a.max_relative_load < b.max_relative_load;
  if (a.moves != b.moves) return a.moves < b.moves;
  return a.max_relative_load < b.max_relative_load;
}

rebalance_plan best_variant(const std::vector<double>& weights,
                            const std::vector<rebalance_item>& items, double cap) {
  rebalance_plan best = rebalancer(weights, items, cap).make_plan(false, 0);
  for (std::size_t kept = 0; kept <= max_kept; ++kept) {
    for (const bool best_fit : {true, false}) {
      if (kept == 0 && !best_fit) continue;
      auto plan = rebalancer(weights, items, cap).make_plan(best_fit, kept);
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
  if (unchanged && unchanged->max_relative_load <= cap * cap_tolerance)
    return *std::move(unchanged);
  rebalance_plan best = best_variant(weights, items, cap);
  for (int i = 0; i < max_retries && best.max_relative_load > cap * cap_tolerance; ++i) {
    auto retried = best_variant(weights, items, best.max_relative_load);
    if (retried.moves >= best.moves ||
        retried.max_relative_load > best.max_relative_load * cap_tolerance)
      break;
    best = std::move(retried);
  }
  return best;
}

}  // namespace plantainpaddle
