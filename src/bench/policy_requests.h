// Requests through the decisions of admission, retries, balance and health, in virtual time: a
// queueing model of slots per upstream.
#pragma once

#include <optional>

#include "bench/policy_deployment.h"
#include "routing/admission.h"
#include "routing/retry.h"

namespace plantainpaddle::bench {

// One upstream misbehaves during a span.
struct upstream_fault {
  std::size_t upstream = 0;
  duration from{0};
  duration until{0};
  double slowdown = 1;      // of what runs on it; 0: frozen
  bool misreports = false;  // it says that it is overloaded, and is not
};

struct request_scenario {
  std::string name;
  per_class<double> load{};  // work asked for by class, as a share of all slots
  std::optional<upstream_fault> fault;
  duration length = seconds(60);
  duration warm_up = seconds(10);  // not counted
  std::uint64_t seed = default_seed;
};

struct request_policy {
  admission_config gate;
  retry_config retry;
};

struct class_figures {
  double asked = 0;
  double complete = 0;  // in time
  double p99_seconds = 0;
};

struct request_figures {
  per_class<class_figures> classes{};
  double asked = 0;
  double sent = 0;           // attempts
  double goodput_ratio = 0;  // work completed in time, by what the slots could do
  double most_queued = 0;    // largest number of requests that waited at one upstream
};

request_figures run_requests(const deployment& where, const service_model& service, way w,
                             const request_scenario& scenario, const request_policy& policy);

}  // namespace plantainpaddle::bench
