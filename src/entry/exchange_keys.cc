// What this instance's own requests show of the upstreams and keys of a service divided by key.
#include "entry/exchange.h"
#include "entry/worker.h"

namespace plantainpaddle {

// Notes the time of an answer, from which the planner of key ranges learns the upstream's speed. An
// answer of a cold upstream doesn't show its usual speed, and one of an upstream with a queue may
// have waited there for an unknown part of the time.
void exchange::note_answer(const destination& to, const attempt_report& report,
                           monotonic_time now) {
  if (!view_->snapshot->contended || !service().service.keyed || !traffic().answers) return;
  const auto& warm_since = service().warm_since;
  if (!warm_since.empty() && now < warm_since[to.upstream]) return;
  if (report.load && report.load->waiting > 0) return;
  traffic().answers->add(service().upstreams[to.upstream].name, report.work, report.latency);
}

}  // namespace plantainpaddle
