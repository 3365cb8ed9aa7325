// Which keys go to which upstream, where the busy keys are neighbours and change within seconds.
//
//   key_load load(seconds(3));
//   load.add(key, count);  load.age(now);
//   for (const auto& move : plan_ranges(record, upstreams, load, config)) move_range(...);
//
// Ranges of upstreams that leave or are lost are dealt out in pieces; otherwise pieces of the most
// loaded upstream's ranges go to the least loaded, cut at the keys that even them out.
#pragma once

#include <vector>

#include "base/time.h"
#include "ownership/range_record.h"

namespace plantainpaddle {

// Requests by key, smoothed over `memory`: a quarter of a megabyte.
class key_load {
 public:
  explicit key_load(duration memory);
  void add(std::uint32_t key, double requests);
  // What was counted before weighs less; to be called about as often as counts come.
  void age(monotonic_time now);

  double total() const { return total_; }
  double of(std::uint32_t first, std::uint32_t last) const;
  double of_busiest_key() const;

 private:
  duration memory_;
  monotonic_time aged_{};
  std::vector<float> keys_;
  double total_ = 0;
};

struct range_upstream {
  upstream_id name;
  double capacity = 1;  // slots times speed
  bool serving = true;  // false: leaves or is lost, its keys go elsewhere
  bool operator==(const range_upstream&) const = default;
};

struct range_move {
  std::uint32_t first = 0;
  std::uint32_t last = 0;
  upstream_id to;
  bool operator==(const range_move&) const = default;
};

struct range_plan_config {
  // Counts scatter by the square root of their size: an upstream's load is uneven if it is off the
  // mean by more than this many times that, and by more than what stands below.
  double scatter = 2.2;
  // An upstream's load relative to its capacity may be above the mean by this before keys move.
  double tolerance = 0.25;
  // A serving upstream with less than this share of the mean load is given keys.
  double least_share = 0.5;
  // Once something is to be moved, it goes on until all are this near to the mean.
  double settled_tolerance = 0.12;
  double settled_least_share = 0.85;
  // Pieces that a leaving upstream's keys are dealt out in, as a share of the mean load.
  double piece_share = 0.25;
  std::size_t most_moves = 12;  // for balance, at once
  std::size_t most_ranges = 512;
  // Load that is assumed to be spread evenly over all keys besides the measured one, as a share.
  double even_share = 0.05;
  bool operator==(const range_plan_config&) const = default;
};

// How even the load is, for logs and metrics.
struct range_balance {
  double requests = 0;       // the smoothed load of all keys
  upstream_id busiest;       // relative to its capacity
  double busiest_ratio = 0;  // its relative load over the mean
  double busiest_key = 0;    // its share of all load, which no cut can divide
};
range_balance measure_balance(const range_record& record,
                              const std::vector<range_upstream>& upstreams, const key_load& load);

std::vector<range_move> plan_ranges(const range_record& record,
                                    const std::vector<range_upstream>& upstreams,
                                    const key_load& load, const range_plan_config& config);

}  // namespace plantainpaddle
