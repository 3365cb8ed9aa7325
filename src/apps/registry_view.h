// What operators want, which upstreams there are and who owns which keys, where upstreams register
// themselves in the platform's store: gathered once, shown as one table.
//
//   registry_state seen = ...;                       // platform_access::read_registry()
//   std::cout << show_registry(seen, "counter-desk");
//   for (const auto& f : find_registry_faults(seen)) ...
//
// Pure functions, but for ask_instances().
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "apps/findings.h"
#include "ownership/range_record.h"
#include "ownership/upstream_list.h"
#include "platform/store_protocol.h"
#include "routing/desired_state.h"

namespace plantainpaddle {

struct registered_instance {
  std::string name;
  std::string peers;                     // "IP:port", where it answers questions
  std::optional<std::uint64_t> version;  // of the desired state in force; none: no answer
};

struct registry_state {
  desired_state desired;
  std::vector<registered_upstream> upstreams;
  std::map<service_id, range_record> records;
  std::vector<service_id> assigned;  // services that have an assigner now
  std::vector<registered_instance> instances;
  std::set<domain_id> evacuated;  // failure domains
  std::vector<error> unreadable;  // entries that are passed over
};

// errc::not_found: there is no desired state. An entry that can't be read is listed, not shown.
result<registry_state> read_registry(const range_answer& items);

// Asks all instances for the version that they have in force.
void ask_instances(registry_state& state, duration timeout);

// All services, or the one that is named. errc::not_found: there is none of that name.
result<std::string> show_registry(const registry_state& state, const std::string& service);

// The worst first.
std::vector<finding> find_registry_faults(const registry_state& state);
std::string show_registry_status(const registry_state& state);

}  // namespace plantainpaddle
