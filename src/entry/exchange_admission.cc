// Refuses requests that the chosen upstream has no room for, where upstreams are contended.
#include <algorithm>

#include "base/log.h"
#include "entry/exchange.h"
#include "entry/worker.h"
#include "routing/priority_admission.h"

namespace plantainpaddle {

namespace {

std::string milliseconds_text(duration d) { return std::to_string(d.count() / 1000) + " ms"; }

}  // namespace

// Returns a refusal if the request may not go to the chosen upstream now. The strictest of the
// rules decides.
std::optional<local_response> exchange::check_admission(const placement_decision& chosen) {
  if (!view_->snapshot->contended || !chosen.considered) return std::nullopt;
  const auto& profile = traffic().profile;
  const auto& policy = match_.policy;
  const auto found =
      std::find(profile.priorities.begin(), profile.priorities.end(), policy.priority);
  auto urgent_wait = duration::max();
  for (const auto& route : profile.most_urgent) {
    urgent_wait = std::min(
        urgent_wait, affordable_wait(route.target, traffic().placed->service_time(route.work)));
  }
  const auto now = monotonic_now();
  const priority_question question{
      .expected = chosen.expected,
      .wait = chosen.wait,
      .target = policy.target_latency,
      .left = deadline_ - now,
      .allowed = match_.route->timeout,
      .rank = static_cast<std::size_t>(found - profile.priorities.begin()),
      .ranks = profile.priorities.size(),
      .urgent_wait = urgent_wait == duration::max() ? duration::zero() : urgent_wait,
      .usage = chosen.usage,
      .report_age = chosen.report_age};
  const auto admitted = decide_by_priority(question, worker_.random());
  const auto decision = strictest({}, admitted.term);
  if (decision.verdict != send_verdict::refuse) return std::nullopt;
  note_refused(decision.reason);
  const auto reason = std::string(reason_name(decision.reason));
  if (worker_.shared().may_log_refusal(decision.reason, now)) {
    log_event(log_level::info, "request refused for lack of room",
              {{"reason", std::string_view(reason)},
               {"request", messages_.request_id},
               {"service", std::string_view(service().service.name.value)},
               {"route", std::string_view(match_.route->name)},
               {"priority", policy.priority},
               {"upstream", std::string_view(chosen.considered->value)},
               {"expected_ms", chosen.expected},
               {"wait_ms", chosen.wait},
               {"wait_limit_ms", admitted.wait_limit},
               {"urgent_wait_ms", question.urgent_wait},
               {"left_ms", question.left},
               {"usage", chosen.usage},
               {"load", chosen.load},
               {"report_age_ms", chosen.report_age},
               {"returns", admitted.returns ? 1 : 0},
               {"late", admitted.late ? 1 : 0},
               {"retry_after_ms", decision.again_in}});
  }
  return no_room_response(chosen.considered->value,
                          reason + ": the wait is " + milliseconds_text(chosen.wait) +
                              ", the limit " + milliseconds_text(admitted.wait_limit) +
                              ", expected " + milliseconds_text(chosen.expected) + ", report of " +
                              milliseconds_text(chosen.report_age.value_or(duration::zero())) +
                              " ago",
                          decision.again_in);
}

// Notes by which rule the request is refused, for the metrics and its line in the log.
void exchange::note_refused(send_reason reason) {
  refused_for_ = reason;
  worker_.counters().add("sends_refused_total",
                         {{"reason", std::string(reason_name(reason))},
                          {"priority", std::to_string(match_.policy.priority)}});
}

}  // namespace plantainpaddle
