// What is recorded and logged about a request: its end, its failed attempts, and the responses that
// the router makes itself.
#include "base/log.h"
#include "entry/exchange.h"
#include "entry/worker.h"

namespace plantainpaddle {

namespace {

constexpr unsigned status_misdirected = 421;
constexpr std::size_t max_logged_id = 128;

}  // namespace

void exchange::record(unsigned status, std::string_view outcome, std::uint64_t answer_bytes) {
  const auto now = monotonic_now();
  worker_.record(
      {.klass = match_.route == nullptr ? no_class : static_cast<std::size_t>(match_.route->klass),
       .tenant = tenant_,
       .status = status,
       .outcome = outcome,
       .latency = now - started_at_,
       .queued = (sent_at_ == monotonic_time{} ? now : sent_at_) - started_at_,
       .request_bytes = messages_.request->body_bytes(),
       .answer_bytes = answer_bytes});
  log_request_end(status, outcome, now - started_at_);
}

bool exchange::end_cancelled() {
  worker_.counters().add("cancelled_total", {});
  record(0, "cancelled", 0);
  return false;
}

// Logs the end of a request: at debug level if it was served, else at info level, since an
// overloaded log drops debug lines first.
void exchange::log_request_end(unsigned status, std::string_view outcome, duration taken) const {
  constexpr unsigned first_failure = 500;
  const bool served = outcome == outcome_name(run_outcome::complete) && status < first_failure;
  const auto level = served ? log_level::debug : log_level::info;
  if (!log_enabled(level)) return;
  const bool routed = match_.service != nullptr;
  const std::string_view no_name;
  log_event(level, "request",
            {{"request", messages_.request_id},
             {"route", match_.route == nullptr ? no_name : std::string_view(match_.route->name)},
             {"service", routed ? std::string_view(service().service.name.value) : no_name},
             {"key", key_ ? std::string_view(*key_) : no_name},
             {"upstream", std::string_view(last_upstream_)},
             {"fence", last_fence_.value},
             {"version", view_ ? view_->snapshot->version : 0},
             {"attempts", attempts_},
             {"status", status},
             {"outcome", outcome},
             {"reason", refused_for_ == send_reason::none ? no_name : reason_name(refused_for_)},
             {"ms", taken},
             {"read_in_drain_ms", worker_.since_drain_began(started_at_)}});
}

// What an attempt that failed is judged by.
std::string_view exchange::evidence_name(const attempt_end& end) const {
  if (end.known != run_state::not_run) return "none";
  if (trace_.response == 0) return "unsent";
  return trace_.response == status_misdirected ? "misdirected" : "refused";
}

// Logs why an attempt failed and whether the request may have run.
void exchange::log_attempt(const destination& to, const attempt_end& end) const {
  const auto evidence = evidence_name(end);
  worker_.counters().add("attempts_failed_total", {{"evidence", std::string(evidence)}});
  log_event(log_level::info, "attempt failed",
            {{"request", messages_.request_id},
             {"attempt", attempts_},
             {"upstream", service().upstreams[to.upstream].name.value},
             {"peer", to.address},
             {"fence", to.owner.fence.value},
             {"step", step_name(end.cause.at)},
             {"detail", end.cause.detail},
             {"known", end.known == run_state::not_run ? "not-run" : "unknown"},
             {"evidence", evidence},
             {"response", trace_.response},
             {"connection", trace_.connection},
             {"use", trace_.use},
             {"written", trace_.written},
             {"body_read", messages_.request->body_bytes()},
             {"ms", monotonic_now() - started_at_}});
}

// Logs a response that is skipped as another request's, at a bounded rate.
void exchange::log_skipped_response() {
  if (!worker_.may_log_skipped_response(monotonic_now())) return;
  const auto& response = *messages_.response;
  log_event(log_level::info, "response to another request skipped",
            {{"request", messages_.request_id},
             {"other", response.find(names().request_id).substr(0, max_logged_id)},
             {"upstream", std::string_view(last_upstream_)},
             {"status", response.status()},
             {"refusal", names().refusal.empty() || response.find(names().refusal).empty() ? 0 : 1},
             {"connection", trace_.connection},
             {"use", trace_.use}});
}

// Logs a response that the router made itself, with its cause, if it is a 5xx or follows an
// attempt.
void exchange::log_local_response(const local_response& own) const {
  constexpr unsigned first_server_error = 500;
  if (own.status < first_server_error && attempts_ == 0) return;
  log_event(log_level::info, "router response",
            {{"request", messages_.request_id},
             {"status", own.status},
             {"outcome", outcome_name(own.outcome)},
             {"step", step_name(own.cause.at)},
             {"peer", own.cause.peer},
             {"detail", own.cause.detail},
             {"attempts", attempts_},
             {"retry_after_ms", own.retry_after}});
}

}  // namespace plantainpaddle
