// The generated load of a keyed service over a day, and what happens to its upstreams.
#pragma once

#include <cstdint>
#include <vector>

#include "base/time.h"

namespace plantainpaddle::bench {

inline constexpr duration trace_length = std::chrono::hours(8);

enum class change_kind {
  leave,         // planned: drains, then goes
  join,          // comes (back), cold
  lose,          // stops answering without notice, until the next join
  false_report,  // is said to be down, and is not
  report_ends,
};

struct upstream_change {
  duration at{0};
  std::size_t upstream = 0;
  change_kind kind = change_kind::leave;
};

// Sorted by time. Upstreams from `upstreams` on are new ones.
std::vector<upstream_change> make_changes(std::size_t upstreams);
std::size_t new_upstreams();

class key_trace {
 public:
  key_trace(double requests_per_second, std::size_t upstreams, std::uint64_t seed);
  std::size_t keys() const { return base_.size(); }
  // Requests per second of each key.
  const std::vector<double>& rates(duration at);

 private:
  std::vector<double> base_;
  std::vector<double> phase_;  // of the slow drift of each key's group
  std::vector<bool> promoted_;
  std::vector<double> rates_;
  double fair_;
  std::size_t hot_key_;
};

}  // namespace plantainpaddle::bench
