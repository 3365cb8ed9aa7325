// Whether an upstream that a request was chosen for earlier still takes it. A request may have
// waited since, for a connection or a permit, and the snapshot that it was chosen from may be old.
//
//   const auto decision = check_upstream(latest, {&snapshot, service, upstream, address}, now);
//   if (decision.verdict != send_verdict::send) ...  // choose another one
//
// An upstream that leaves ends some time after its notice, so that nothing may be sent to it that
// isn't sent yet when the notice is known: how long a request would wait for its turn isn't known.
//
// An upstream may have become cold meanwhile, or the permit be too old: requests that are sent late
// would add up with those that are due.
//
// Owners of keys in an evacuated failure domain are closed by the clock, not by a new snapshot, so
// that a process that was paused finds them closed before it has made one.
#pragma once

#include <optional>
#include <string_view>

#include "routing/send_decision.h"
#include "routing/snapshot.h"

namespace plantainpaddle {

struct chosen_upstream {
  const routing_snapshot* snapshot = nullptr;  // that it was chosen from
  const service_id& service;
  const upstream_id& name;
  std::string_view address;
};

// permitted_until: for how long a permit to send to the upstream is good; none: the request has
// none. Takes O(services + upstreams); O(1) if nothing can have changed, as the snapshot is the
// same, the platform orders no evacuations and no service limits the rate of its cold upstreams.
send_decision check_upstream(const routing_snapshot& latest, const chosen_upstream& chosen,
                             monotonic_time now,
                             std::optional<monotonic_time> permitted_until = {});

}  // namespace plantainpaddle
