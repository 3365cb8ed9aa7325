// Decides which ranges of numbered keys move to which upstream, for services whose busy keys are
// neighbours and change within seconds.
//
//   key_load load(seconds(3));
//   load.add(key, count);
//   load.age(now);
//   for (const auto& move : plan_ranges(record, upstreams, load, config)) move_range(...);
//
// Ranges without a serving owner are divided into pieces and spread over the serving upstreams. For
// balance, pieces are cut from the ranges of the most loaded upstream and go to the least loaded.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "base/time.h"
#include "ownership/range_record.h"

namespace plantainpaddle {

// Requests counted for each numbered key, decaying exponentially with time constant `memory`. Takes
// 256 KiB.
class key_load {
 public:
  explicit key_load(duration memory);
  // Ignores keys above last_numbered_key.
  void add(std::uint32_t key, double requests);
  // Decays all counts by the time since the last call. It should be called about as often as counts
  // are added. Takes O(keys).
  void age(monotonic_time now);

  void clear();

  double of(std::uint32_t key) const { return keys_[key]; }
  double total() const { return total_; }
  // The rate of the requests counted, if it has been steady.
  double requests_per_s() const { return total_ / std::chrono::duration<double>(memory_).count(); }
  // The load of the keys from first to last, both inclusive. Takes O(last - first).
  double sum(std::uint32_t first, std::uint32_t last) const;
  // The load of the busiest key. Takes O(keys).
  double max_per_key() const;

 private:
  duration memory_;
  monotonic_time last_aged_{};
  std::vector<float> keys_;
  double total_ = 0;
};

struct range_upstream {
  upstream_id name;
  double capacity = 1;                        // number of slots times the speed of one
  bool serving = true;                        // false: leaving or lost; its keys are moved away
  std::optional<double> most_requests_per_s;  // that it can serve; empty if unknown
  std::uint64_t life = 0;                     // its incarnation, as it registered; 0: unknown
  std::uint64_t sequence = 0;  // rises with each heartbeat that is known of this incarnation
  bool operator==(const range_upstream&) const = default;
};

// Moves the keys from first to last, both inclusive.
struct range_move {
  std::uint32_t first = 0;
  std::uint32_t last = 0;
  upstream_id to;
  bool operator==(const range_move&) const = default;
};

struct range_plan_config {
  // Keys that get hot within a second are spread at once, with more moves than are made for
  // balance.
  static range_plan_config for_hot_keys();

  // A count of n requests has a standard deviation of sqrt(n). Keys move only if an upstream's load
  // differs from the mean by more than this many deviations and by more than the bounds below.
  double noise_deviations = 2.2;
  // The relative load of an upstream is its load divided by its capacity. Keys move if the highest
  // one exceeds the mean by this fraction.
  double tolerance = 0.25;
  // Keys move if the relative load of some serving upstream is below this fraction of the mean.
  double least_share = 0.5;
  // Once a plan moves keys, it goes on until all relative loads are within these narrower bounds,
  // or within half of what noise_deviations allows.
  double settled_tolerance = 0.12;
  double settled_least_share = 0.85;
  // Load of the pieces that ranges without a serving owner are divided into, as a fraction of the
  // mean load of an upstream.
  double piece_share = 0.25;
  std::size_t most_moves = 12;    // for balance, in one plan
  std::size_t most_ranges = 512;  // in the record; no further ranges are cut above that
  // Ranges into which all keys are divided if none has an owner. The others are left for cuts that
  // balance the load.
  std::size_t assigned_ranges = 256;
  // Share of most_ranges up to which ranges are cut for balance. The others are left for relief.
  double balance_ranges_share = 1;
  // Moves in one plan that relieve hot upstreams. A hot one has at least hot_ratio times the mean
  // relative load, and exceeds the mean by hot_deviations deviations. It is relieved until its
  // relative load exceeds the mean by less than relieved_tolerance.
  std::size_t most_relief_moves = 0;
  double hot_ratio = 2.5;
  double hot_deviations = 5;
  double relieved_tolerance = 0.5;
  // Load that is added to the measured one, spread evenly over all keys, as a fraction of it.
  double uniform_share = 0.05;
  bool operator==(const range_plan_config&) const = default;
};

// Changes the capacities of the upstreams that take a limited number of requests per second, so
// that shares of the load in proportion to capacity keep to the limits, as long as the others can
// take the rest. The load that nobody can take goes to upstreams with a limit, where it is refused
// at once and keeps no other request waiting. Upstreams without a limit keep their capacities.
std::vector<range_upstream> apply_limits(std::vector<range_upstream> upstreams,
                                         const std::map<upstream_id, double>& limits,
                                         double requests_per_s);

// How evenly the load is spread, for logs.
struct range_balance {
  double requests = 0;       // smoothed load of all keys
  upstream_id busiest;       // the upstream of the highest load relative to its capacity
  double busiest_ratio = 0;  // that relative load divided by the mean
  double busiest_key = 0;    // share of the busiest key in all load; no cut can divide it
};

// Measures the load of the upstreams by the owners in the record. Takes O(keys).
range_balance measure_balance(const range_record& record,
                              const std::vector<range_upstream>& upstreams, const key_load& load);

// Returns the moves to start now; none if no upstream is serving. Keys that a serving upstream
// still waits for (range_entry::former) aren't moved for balance.
std::vector<range_move> plan_ranges(const range_record& record,
                                    const std::vector<range_upstream>& upstreams,
                                    const key_load& load, const range_plan_config& config);

}  // namespace plantainpaddle
