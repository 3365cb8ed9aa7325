// What traffic is routed by where upstreams register themselves: desired state, registered
// upstreams and range records, made into one snapshot.
//
//   auto snapshot = make_registry_snapshot(desired, list, records, config, now);
#pragma once

#include <map>

#include "ownership/range_record.h"
#include "ownership/upstream_list.h"
#include "routing/desired_state.h"
#include "routing/snapshot.h"

namespace plantainpaddle {

struct registry_config {
  std::size_t instances = 1;  // that send to the upstreams
  // A leaving owner still gets requests for its keys for so long after its notice was seen, in case
  // that they are being moved.
  duration leaving_grace = milliseconds(700);
  double connection_share = 0.85;  // of an upstream's connections that all instances use together
};

struct range_view {
  range_record record;
  std::map<fence_number, monotonic_time> moving_since;  // of the fences of ranges that are moving
};

// Takes a newer record in: a move that was seen before keeps its beginning.
range_view update_range_view(const range_view& before, const range_record& record,
                             monotonic_time now);

// leaving: since when each leaving upstream was seen to leave.
routing_snapshot make_registry_snapshot(const desired_state& desired, const upstream_list& list,
                                        const std::map<service_id, range_view>& ranges,
                                        const std::map<upstream_id, monotonic_time>& leaving,
                                        const registry_config& config, monotonic_time now);

}  // namespace plantainpaddle
