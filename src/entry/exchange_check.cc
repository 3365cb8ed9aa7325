// Checks a destination again right before the request is sent, since it may have waited for a
// connection or a permit, and goes on if the upstream is closed to it now.
#include "entry/exchange.h"
#include "entry/worker.h"
#include "routing/upstream_check.h"

namespace plantainpaddle {

namespace {

// Each choice is made from the newest view. The bound keeps a request from choosing for ever while
// views and the placement disagree.
constexpr std::uint32_t max_unsent_attempts = 3;

const char* detail_of(send_reason reason) {
  switch (reason) {
    case send_reason::evacuated:
      return "the upstream's failure domain is evacuated";
    case send_reason::cold:
      return "the upstream has become cold, or the permit is too old";
    default:
      return "the upstream leaves or is gone";
  }
}

}  // namespace

std::optional<exchange::attempt_end> exchange::check_still_open(const destination& to) {
  if (!traffic().placed) return std::nullopt;
  const auto latest = worker_.view();
  const auto decision = check_upstream(*latest->snapshot,
                                       {view_->snapshot.get(), service().service.name,
                                        service().upstreams[to.upstream].name, to.address},
                                       monotonic_now(), permitted_until_);
  if (decision.verdict == send_verdict::send) return std::nullopt;
  if (connection_) release_connection(true);
  worker_.counters().add("requests_held_back_total",
                         {{"reason", std::string(reason_name(decision.reason))}});
  auto end =
      failed(to, step::send_request, run_state::not_run, detail_of(decision.reason), std::nullopt);
  end.unsent = decision.reason;
  return end;
}

// The attempt reached no upstream, so it counts neither as one nor against the retry budget. The
// owner of a key changes only when the key has moved, which the request waits for.
task<std::optional<local_response>> exchange::choose_after_unsent(const attempt_end& end) {
  has_retry_token_ = --attempts_ > 0;
  const bool key_moves = service().service.keyed && end.unsent != send_reason::cold;
  if (key_moves) co_return co_await wait_for_owner(end.cause);
  // One after the other may leave while the request waits.
  if (worker_.view()->snapshot != view_->snapshot) unsent_attempts_ = 0;
  if (++unsent_attempts_ >= max_unsent_attempts) {
    auto refusal = unavailable_response(end.cause.detail, end.cause.peer);
    refusal.retry_after = spread_retry_after(duration::zero());
    co_return refusal;
  }
  co_return route_request();
}

}  // namespace plantainpaddle
