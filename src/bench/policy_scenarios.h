// The request scenarios of the policy bench.
#pragma once

#include <vector>

#include "bench/policy_requests.h"

namespace plantainpaddle::bench {

// The service's usual mix of classes at `load` of all slots.
per_class<double> usual_mix(const service_model& service, double load);

request_scenario unloaded(const service_model& service);
request_scenario overload(const service_model& service);
std::vector<request_scenario> all_scenarios(const service_model& service);

// Over all services of a deployment at an overload of 2.
struct overload_figures {
  double goodput_ratio = 0;      // by slots
  double counter_p99_ratio = 0;  // of the service where it is worst, to its unloaded value
  double sent_per_asked = 0;
};
overload_figures run_overload(const deployment& where, way w, const request_policy& policy,
                              std::uint64_t seed = default_seed);

}  // namespace plantainpaddle::bench
