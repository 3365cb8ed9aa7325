// Builds the routing snapshot for services whose upstreams register themselves, from the desired
// state, the list of registered upstreams and the range records.
//
//   auto snapshot = make_registry_snapshot(desired, list, records, config, now);
#pragma once

#include <map>
#include <optional>

#include "ownership/range_record.h"
#include "ownership/upstream_list.h"
#include "routing/cold_rate.h"
#include "routing/desired_state.h"
#include "routing/snapshot.h"

namespace plantainpaddle {

struct registry_config {
  std::size_t instances = 1;  // instances that send to the upstreams
  // A leaving owner still gets requests for its keys for this long after its notice was seen, as
  // the keys may be moving to another owner.
  duration leaving_grace = milliseconds(700);
  std::optional<cold_bound> cold;  // on requests to cold upstreams; unset: there is none
  bool contended = false;  // as the settings say; a ranked desired state has the same effect
  bool evacuates = false;  // whether the platform may order evacuations
  // The failure domains whose evacuation has ended, each with the time until which its upstreams
  // count as cold: they may have become so, and their entries not have been read.
  std::map<domain_id, monotonic_time> returned;
  // The failure domains that are evacuated, each with the time until which owners of keys there
  // still get requests, as the keys may be moving.
  std::map<domain_id, monotonic_time> evacuated;
  double connection_share = 0.85;  // share of an upstream's connections for all instances together
};

// The ranges of a service as last read.
struct range_view {
  range_record record;
  std::map<fence_number, monotonic_time> moving_since;  // by fence, for ranges that are moving
};

// Returns the view with a newer record. A move that was seen before keeps its start time.
range_view update_range_view(const range_view& before, const range_record& record,
                             monotonic_time now);

// `leaving` holds when the grace period of each leaving upstream began.
routing_snapshot make_registry_snapshot(const desired_state& desired, const upstream_list& list,
                                        const std::map<service_id, range_view>& ranges,
                                        const std::map<upstream_id, monotonic_time>& leaving,
                                        const registry_config& config, monotonic_time now);

}  // namespace plantainpaddle
