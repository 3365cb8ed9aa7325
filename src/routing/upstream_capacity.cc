#include "routing/upstream_capacity.h"

#include <algorithm>

namespace plantainpaddle {
namespace {

// Bounds on the observed speed of an upstream, relative to the mean of its service.
constexpr double min_relative_speed = 0.2;
constexpr double max_relative_speed = 2.5;

range_upstream make_facts(const registered_upstream& entry, const placement* observed,
                          double speed) {
  range_upstream facts{entry.id, entry.slots * speed, !entry.leaving,
                       {},       entry.life,          entry.sequence};
  const auto mean = observed == nullptr ? std::nullopt : observed->mean_service_time();
  if (mean && *mean > duration::zero()) {
    facts.most_requests_per_s = facts.capacity / std::chrono::duration<double>(*mean).count();
  }
  return facts;
}

}  // namespace

range_upstream estimate_capacity(const registered_upstream& entry, const placement* observed,
                                 monotonic_time now) {
  const double speed = observed == nullptr ? 1
                                           : std::clamp(observed->speed(entry.id, now),
                                                        min_relative_speed, max_relative_speed);
  return make_facts(entry, observed, speed);
}

range_upstream estimate_capacity(const registered_upstream& entry, const placement* observed,
                                 const observed_speeds& speeds, monotonic_time now) {
  return make_facts(entry, observed, speeds.speed(entry.id, now));
}

}  // namespace plantainpaddle
