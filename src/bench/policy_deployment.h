// The two deployments as the policy bench models them, and the three ways that it compares.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "routing/admission.h"
#include "table/rows.h"

namespace plantainpaddle::bench {

inline constexpr std::uint64_t default_seed = 20261204;

enum class way { naive, previous, ours };
inline constexpr way all_ways[] = {way::naive, way::previous, way::ours};
std::string_view way_name(way w) noexcept;

struct service_model {
  std::string name;
  std::uint32_t upstreams = 16;
  bool keyed = false;
  per_class<double> work_share{};  // of the work asked for, sums to 1
};

struct deployment {
  std::string name;
  std::uint32_t domains = 3;
  std::uint32_t slots = 6;
  double requests_per_second = 4800;  // of the keyed service, in the placement trace
  std::uint32_t shards = 1024;
  double churn_weight = 1;
  double unavailable_weight = 1;
  std::vector<service_model> services;  // the first one is divided by key
};

deployment harrowgate();
deployment raselinka();

// Time that a request holds a slot: lognormal around these medians.
inline constexpr per_class<duration> median_work{milliseconds(10), milliseconds(20),
                                                 milliseconds(500), milliseconds(300)};
inline constexpr double work_sigma = 0.5;
double mean_work_seconds(std::size_t klass);

// Patience of a caller, and of one attempt.
inline constexpr per_class<duration> request_deadline{milliseconds(1000), milliseconds(2000),
                                                      seconds(20), seconds(20)};
inline constexpr per_class<duration> attempt_timeout{milliseconds(250), milliseconds(500),
                                                     seconds(5), seconds(5)};

}  // namespace plantainpaddle::bench
