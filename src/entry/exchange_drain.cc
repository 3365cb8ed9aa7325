// What a drain of the instance does to a request in progress.
#include "base/log.h"
#include "entry/exchange.h"
#include "entry/worker.h"

namespace plantainpaddle {

void exchange::begin_drain() {
  if (reads_held_body_) caller_.limit_deadline(worker_.last_request());
}

// In a drain a request that is complete only now might not get its response before the end.
bool exchange::is_too_late() const {
  return attempts_ == 0 && monotonic_now() > worker_.last_request();
}

local_response exchange::leaving_response() const {
  worker_.counters().add("drain_refused_requests_total", {});
  return {503,
          {errc::unavailable, step::admit, "", "the instance is leaving"},
          run_outcome::not_run,
          worker_.settings().limits.retry_after};
}

// The lines are bounded like the requests in progress, and like the log itself.
void exchange::note_drain_end() const {
  if (!worker_.draining()) return;
  const bool passed_on = sent_at_ != monotonic_time{};
  const bool begun = response_buffer_ && !response_buffer_->unread().empty();
  const bool has_bytes =
      begun || (connection_ && peek_peer(connection_->socket) == peer_state::has_data);
  const std::string_view response = is_ready() ? "ready" : (has_bytes ? "bytes" : "none");
  const auto phase = drain_phase_name(worker_.phase());
  worker_.counters().add("drain_ended_requests_total", {{"phase", std::string(phase)},
                                                        {"passed_on", passed_on ? "yes" : "no"},
                                                        {"response", std::string(response)}});
  log_event(log_level::info, "request ended by the drain",
            {{"request", messages_.request_id},
             {"phase", phase},
             {"read_in_drain_ms", worker_.since_drain_began(started_at_)},
             {"in_drain_ms", worker_.since_drain_began(monotonic_now())},
             {"passed_on", passed_on ? 1 : 0},
             {"attempts", attempts_},
             {"upstream", std::string_view(last_upstream_)},
             {"response", response}});
}

}  // namespace plantainpaddle
