#include "bench/policy_scenarios.h"

#include <algorithm>

namespace plantainpaddle::bench {
namespace {

constexpr double unloaded_load = 0.1;
constexpr double normal_load = 0.6;
constexpr double overload_load = 2;
constexpr double night_load = 0.5;
constexpr double pull_load = 1;  // bulk on top
constexpr std::size_t faulty = 2;

}  // namespace

per_class<double> usual_mix(const service_model& service, double load) {
  auto made = service.work_share;
  for (auto& share : made) share *= load;
  return made;
}

request_scenario unloaded(const service_model& service) {
  return {"unloaded", usual_mix(service, unloaded_load)};
}

request_scenario overload(const service_model& service) {
  return {"overload 2x", usual_mix(service, overload_load)};
}

std::vector<request_scenario> all_scenarios(const service_model& service) {
  const auto normal = usual_mix(service, normal_load);
  auto night = usual_mix(service, night_load);
  night[static_cast<std::size_t>(request_class::bulk)] += pull_load;
  return {unloaded(service),
          {"normal", normal},
          overload(service),
          {"counter 2x", {2, 0.2, 0.1, 0.1}},
          {"nightly pull", night},
          {"freeze 5 s", normal, upstream_fault{faulty, seconds(20), seconds(25), 0}},
          {"slow 5x", normal, upstream_fault{faulty, seconds(20), seconds(50), 5}},
          {"false report", normal, upstream_fault{faulty, seconds(20), seconds(50), 1, true}}};
}

overload_figures run_overload(const deployment& where, way w, const request_policy& policy,
                              std::uint64_t seed) {
  overload_figures made;
  double upstreams = 0;
  double asked = 0;
  double sent = 0;
  for (const auto& service : where.services) {
    auto low = unloaded(service);
    auto high = overload(service);
    low.seed = high.seed = seed;
    const auto calm = run_requests(where, service, w, low, policy);
    const auto full = run_requests(where, service, w, high, policy);
    upstreams += service.upstreams;
    made.goodput_ratio += full.goodput_ratio * service.upstreams;
    asked += full.asked;
    sent += full.sent;
    const auto& counter = full.classes[static_cast<std::size_t>(request_class::counter)];
    // Where no request came in time, the caller has waited for its deadline.
    const double deadline = std::chrono::duration<double>(request_deadline[0]).count();
    const double p99 = counter.complete > 0 ? counter.p99_seconds : deadline;
    made.counter_p99_ratio = std::max(made.counter_p99_ratio, p99 / calm.classes[0].p99_seconds);
  }
  made.goodput_ratio /= upstreams;
  made.sent_per_asked = sent / asked;
  return made;
}

}  // namespace plantainpaddle::bench
