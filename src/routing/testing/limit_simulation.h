// Simulation in virtual time of instances that share the limits of upstreams: requests arrive at
// random instances, messages between instances take time and get lost, instances are killed,
// restarted, frozen and cut off, and each learns of the others from a list that it reads every few
// seconds.
//
//   limit_outcome seen = play_limits({.instances = 87, .limits = {4, 4}, .demand = 2});
//   BOOST_TEST(seen.worst <= 1);
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "routing/cold_rate.h"
#include "routing/upstream_permits.h"

namespace plantainpaddle::testing {

// Who decides whether a request may be sent.
enum class limit_policy { permits, nobody, each_instance_alone };

enum class limit_fault {
  kill,    // the registration lapses later; connections are refused
  leave,   // the registration ends at once
  silent,  // neither answers nor sends for `length`
  cut,     // reaches no other instance for `length`, but upstreams and callers
  // For `length` it reaches neither the store nor instances that aren't parted as well. Its
  // registration lapses.
  part,
};

// `instance` goes through `fault` at `at`. One that is killed or leaves starts again `length`
// later.
struct limit_event {
  duration at{0};
  limit_fault fault = limit_fault::kill;
  std::size_t instance = 0;
  duration length = seconds(1);
};

struct limit_scenario {
  std::size_t instances = 87;
  std::vector<double> limits{4};  // of the upstreams, requests per second
  double demand = 2;              // as a multiple of the limit
  // From `burst_at` on, for two seconds, the demand is multiplied by this.
  duration burst_at{0};
  double burst = 1;
  duration length = seconds(30);
  double lost_messages = 0;  // share
  std::vector<limit_event> events;
  limit_policy policy = limit_policy::permits;
  std::uint64_t seed = 1;
  // The limits are those of cold upstreams: this bound holds in any second, for everything that
  // reaches them. Requests travel for up to `travel`; a permit is void permit_life after it is due.
  std::optional<cold_bound> cold;
  duration travel{0};
  bool guarded = true;  // false: without quiet_time, list_life and the end of permits
  // All instances start within this time before the first request, and know nobody. Unset: they
  // have known each other for long.
  std::optional<duration> starts_within;
  duration list_after{0};  // the store answers no question about instances before
};

struct limit_outcome {
  // The most requests sent to an upstream within limit_window, by what its limit allows then.
  double worst = 0;
  std::string worst_case;
  double sent = 0;      // requests per second, as a share of the limits
  double accepted = 0;  // share of the requests
};

// Scenarios for cold upstreams, with the bound of a deployment that states one.
std::vector<limit_scenario> known_cold_scenarios();
limit_scenario random_cold_scenario(std::uint64_t seed);

// One and a half times what the limit allows in limit_window, and five requests.
double allowed_in_window(double limit);

limit_outcome play_limits(const limit_scenario& scenario);

// Scenarios that have a name of their own: those that found a fault, and the usual troubles.
std::vector<limit_scenario> known_limit_scenarios();
limit_scenario random_limit_scenario(std::uint64_t seed);

}  // namespace plantainpaddle::testing
