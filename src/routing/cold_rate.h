// The rate at which permits are issued for a cold upstream, so that what reaches it stays within a
// bound on any one second.
//
//   const double rate = cold_permit_rate(3.9, {1.5, 8});
#pragma once

#include <cstddef>

#include "base/time.h"
#include "routing/snapshot.h"

namespace plantainpaddle {

// In any one second, an upstream gets at most the stated rate times `overrun`, plus `slack`.
struct cold_bound {
  double overrun = 1;
  double slack = 0;  // requests
  bool operator==(const cold_bound&) const = default;
};

// Returns a rate, in requests per second, of at most the stated one; 0 if none is stated.
double cold_permit_rate(double stated, const cold_bound& bound);

// Whether the service's upstream of that index is in a cold start; false if that isn't known.
bool is_cold(const service_snapshot& service, std::size_t upstream, monotonic_time now);

}  // namespace plantainpaddle
