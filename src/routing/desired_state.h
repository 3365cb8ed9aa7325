// What operators want in force, whole and versioned: services, routes, and what callers may do.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "routing/snapshot.h"

namespace plantainpaddle {

struct declared_service {
  service_id name;
  std::uint32_t connections = 100;  // that each upstream accepts, from all instances together
  bool keyed = false;               // divided by numbered keys
  std::string key_header;           // where a request's key stands
  bool operator==(const declared_service&) const = default;
};

struct declared_route {
  route_row row;
  route_policy policy;
  std::vector<std::pair<service_id, double>> targets;  // with their weights
  bool operator==(const declared_route&) const = default;
};

struct desired_state {
  std::uint64_t version = 0;
  std::vector<declared_service> services;
  std::vector<declared_route> routes;
  caller_limits limits;
  bool operator==(const desired_state&) const = default;
};

}  // namespace plantainpaddle
