// The desired state: the services, routes and limits on callers that operators have declared. It is
// versioned and replaced as a whole.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "routing/snapshot.h"

namespace plantainpaddle {

struct declared_service {
  service_id name;
  std::uint32_t connections = 100;  // accepted by each upstream from all instances together
  bool keyed = false;               // divided by numbered keys
  std::string key_header;           // header that holds a request's key
  // Requests per second that a cold upstream takes from all instances together; 0: not stated.
  double cold_rate = 0;
  bool operator==(const declared_service&) const = default;
};

struct declared_route {
  route_row row;
  route_policy policy;
  std::vector<std::pair<service_id, double>> targets;  // services and their weights
  bool operator==(const declared_route&) const = default;
};

struct desired_state {
  std::uint64_t version = 0;
  std::vector<declared_service> services;
  std::vector<declared_route> routes;
  caller_limits limits;
  // A route is declared to be of the most urgent priority, 0, so that requests are to be admitted
  // by priority.
  bool ranked = false;
  bool operator==(const desired_state&) const = default;
};

}  // namespace plantainpaddle
