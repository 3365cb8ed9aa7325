// Whether an upstream that a request was chosen for earlier still takes it. A request may have
// waited since, for a connection or a permit, and the snapshot that it was chosen from may be old.
//
//   const auto decision = check_upstream(*worker.view()->snapshot, service, upstream, now);
//   if (decision.verdict != send_verdict::send) ...  // choose another one
//
// An upstream may have become cold meanwhile, or the permit be too old: requests that are sent late
// would add up with those that are due.
//
// Owners of keys in an evacuated failure domain are closed by the clock, not by a new snapshot, so
// that a process that was paused finds them closed before it has made one.
#pragma once

#include <optional>

#include "routing/send_decision.h"
#include "routing/snapshot.h"

namespace plantainpaddle {

// permitted_until: for how long a permit to send to the upstream is good; none: the request has
// none. Always says `send` where the platform orders no evacuations and no service limits the rate
// of its cold upstreams. Takes O(services + upstreams).
send_decision check_upstream(const routing_snapshot& latest, const service_id& service,
                             const upstream_id& upstream, monotonic_time now,
                             std::optional<monotonic_time> permitted_until = {});

}  // namespace plantainpaddle
