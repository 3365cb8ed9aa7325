#include "routing/upstream_check.h"

#include <algorithm>

#include "routing/cold_rate.h"

namespace plantainpaddle {

send_decision check_upstream(const routing_snapshot& latest, const chosen_upstream& chosen,
                             monotonic_time now, std::optional<monotonic_time> permitted_until) {
  if (&latest == chosen.snapshot && !latest.evacuates && !latest.limits_cold) return {};
  constexpr send_decision gone{send_verdict::refuse, send_reason::leaving, {}};
  const auto declared =
      std::find_if(latest.services.begin(), latest.services.end(),
                   [&](const service_snapshot& s) { return s.service.name == chosen.service; });
  if (declared == latest.services.end()) return gone;
  const auto& rows = declared->upstreams;
  const auto row = std::find_if(rows.begin(), rows.end(),
                                [&](const upstream_row& r) { return r.name == chosen.name; });
  if (row == rows.end() || row->address != chosen.address) return gone;
  const auto& closed = declared->closed_from;
  const auto index = static_cast<std::size_t>(row - rows.begin());
  if (!closed.empty() && now >= closed[index]) {
    return {send_verdict::refuse, send_reason::evacuated, {}};
  }
  if (row->state != upstream_state::active) return gone;
  const bool cold = declared->cold_rate > 0 && is_cold(*declared, index, now);
  if (!cold || (permitted_until && now < *permitted_until)) return {};
  return {send_verdict::wait, send_reason::cold, {}};
}

}  // namespace plantainpaddle
