// What upstreams state about themselves in their responses: limits, pauses, and that they leave.
// Gets a permit for each request to an upstream that has named a limit.
#include <algorithm>

#include "base/durations.h"
#include "base/log.h"
#include "entry/exchange.h"
#include "entry/worker.h"
#include "routing/cold_rate.h"
#include "routing/upstream_statement.h"

namespace plantainpaddle {

namespace {

// Shares of the route's target latency and of the time left for which a request waits for a permit.
constexpr double target_share = 0.4;
// The same for a cold upstream. A request that is held for longer is better refused.
constexpr double cold_target_share = 0.125;
// A permit for a cold upstream that is used later than this after it was due is void: requests that
// are delayed together would arrive together.
constexpr duration cold_permit_life = milliseconds(250);
constexpr int left_divisor = 4;
// After a shorter wait than this the upstream isn't chosen again.
constexpr duration negligible_wait = milliseconds(5);
constexpr std::uint32_t max_permits_asked = 4;  // for one request

}  // namespace

// Takes in what the response states about its upstream, before any of it is passed on. A response
// in which another upstream identifies itself states nothing about the one that was asked.
void exchange::read_statement(const destination& to) {
  pause_.reset();
  if (!traffic().placed) return;
  const auto& response = *messages_.response;
  const auto there = response.find(names().answering_upstream);
  const auto& upstream = service().upstreams[to.upstream].name;
  if (!there.empty() && there != upstream.value) return;
  const auto field = [&](std::string_view name) {
    return name.empty() ? std::string_view() : response.find_single(name);
  };
  const bool turned_away = is_turned_away(response.status());
  const auto stated = parse_upstream_statement(
      {.limit = field(names().limit),
       .leaving = field(names().leaving),
       .retry_after = turned_away ? field(names().pause) : std::string_view()});
  if (!stated.unreadable.empty()) {
    worker_.shared().note_unreadable(upstream, stated.unreadable, monotonic_now());
    worker_.counters().add("unreadable_statements_total",
                           {{"field", std::string(stated.unreadable)}});
  }
  if (stated.leaving && worker_.shared().on_leaving) {
    const auto& lives = service().lives;
    worker_.shared().on_leaving(upstream, lives.empty() ? 0 : lives[to.upstream]);
  }
  if (stated.pause) note_pause(upstream, *stated.pause);
  if (!names().limit.empty()) note_limit(upstream, stated.limit);
}

void exchange::note_pause(const upstream_id& upstream, duration length) {
  const auto now = monotonic_now();
  const bool paused = traffic().placed->pause_left(upstream, now) > duration::zero();
  pause_ = length;
  traffic().placed->on_pause(upstream, length, now);
  worker_.counters().add("upstream_pauses_total", {});
  if (paused) return;
  log_event(log_level::info, "upstream asks for a pause",
            {{"upstream", upstream.value},
             {"service", service().service.name.value},
             {"request", messages_.request_id},
             {"status", messages_.response->status()},
             {"pause_ms", length}});
}

// A refusal that names no limit doesn't end one, as not every upstream's refusals come from where
// its limit is known.
void exchange::note_limit(const upstream_id& upstream, std::optional<double> rate) {
  const auto& response = *messages_.response;
  const bool refused = !response.find(names().refusal).empty();
  if (!rate && refused) return;
  auto& limits = worker_.shared().named_limits;
  const auto before = limits.rate_of(upstream);
  const auto now = monotonic_now();
  const auto sent = limits.sent(upstream, now);
  traffic().placed->set_limit(upstream, rate, now);
  if (!limits.on_response(upstream, rate, now)) return;
  log_event(log_level::info, rate ? "upstream names a limit" : "upstream's limit has ended",
            {{"upstream", upstream.value},
             {"service", service().service.name.value},
             {"rate", rate.value_or(0)},
             {"rate_before", before.value_or(0)},
             {"sent_in_window", sent},
             {"status", response.status()}});
}

// Returns the limit that holds for requests to the upstream now: the one that it named, or its rate
// while it is cold.
std::optional<exchange::rate_limit> exchange::limit_of(const destination& to,
                                                       monotonic_time now) const {
  const auto& limits = worker_.shared().named_limits.all();
  const auto named = limits.find(service().upstreams[to.upstream].name);
  const double cold_rate = service().cold_rate;
  const bool cold = cold_rate > 0 && is_cold(service(), to.upstream, now);
  const rate_limit while_cold{cold_rate, duration::zero(), true};
  if (named == limits.end()) return cold ? std::optional(while_cold) : std::nullopt;
  const rate_limit limit{named->second.rate, now - named->second.named, cold};
  return cold && cold_rate < limit.rate ? while_cold : limit;
}

// After a wait an upstream is chosen again, since the key may have moved or the upstream may leave;
// the permit is used if the choice is the same.
task<exchange::permit_outcome> exchange::take_permit(const destination& to) {
  const auto& name = service().upstreams[to.upstream].name;
  const auto asked_at = monotonic_now();
  permitted_until_.reset();
  if (std::exchange(permit_, std::nullopt) == name && asked_at < permit_until_) {
    if (permit_until_ != monotonic_time::max()) permitted_until_ = permit_until_;
    co_return permit_outcome{true, {}};
  }
  const auto limit = limit_of(to, asked_at);
  if (!worker_.shared().ask_permit) permitted_until_ = monotonic_time::max();
  if (!limit || !worker_.shared().ask_permit) co_return permit_outcome{true, {}};
  const auto target =
      share_of(match_.policy.target_latency, limit->cold ? cold_target_share : target_share);
  const auto left = std::max(duration::zero(), (deadline_ - asked_at) / left_divisor);
  const permit_request request{name, limit->rate, limit->age,
                               target == duration::zero() ? left : std::min(target, left)};
  ++permits_asked_;
  const auto decision = co_await ask_permit(request);
  if (!decision) co_return refuse_permit(to, *limit, {});
  if (!decision->granted) co_return refuse_permit(to, *limit, *decision);
  const auto now = monotonic_now();
  // The permit was given out after asked_at, and a process that was paused got the answer late.
  permit_until_ =
      limit->cold ? asked_at + decision->wait + cold_permit_life : monotonic_time::max();
  const bool at_once = decision->wait == duration::zero() && now - asked_at < negligible_wait;
  if (at_once) {
    if (limit->cold) permitted_until_ = permit_until_;
    co_return permit_outcome{true, {}};
  }
  permit_ = name;
  co_await caller_.pause_until(now + decision->wait);
  co_return permit_outcome{false, route_request()};
}

// Returns no value if the deadline passed or the caller left before the answer.
task<std::optional<permit_decision>> exchange::ask_permit(const permit_request& request) {
  const auto answer = std::make_shared<std::optional<permit_decision>>();
  worker_.shared().ask_permit(
      request, [answer, &target = worker_, scope = caller_.id()](permit_decision decision) {
        *answer = decision;
        if (auto* waiting = target.find(scope)) waiting->wake();
      });
  caller_.set_deadline(deadline_);
  while (!*answer && !caller_.caller_gone() && monotonic_now() < deadline_) {
    co_await caller_.pause_until(deadline_);
  }
  co_return *answer;
}

// A request without a key goes to another upstream. Otherwise it is refused at once: waiting longer
// would only make others wait.
exchange::permit_outcome exchange::refuse_permit(const destination& to, const rate_limit& limit,
                                                 const permit_decision& decision) {
  const auto& name = service().upstreams[to.upstream].name;
  worker_.counters().add("permits_refused_total", {});
  if (limit.cold) worker_.counters().add("cold_permits_refused_total", {});
  if (!service().service.keyed && !caller_.caller_gone() && permits_asked_ < max_permits_asked) {
    traffic().placed->on_limit_used_up(name, decision.wait, monotonic_now());
    return {false, route_request()};
  }
  return {false, no_room_response(name.value,
                                  limit.cold ? "the upstream is cold and takes no more requests now"
                                             : "the upstream takes no more requests now",
                                  spread_retry_after(decision.wait))};
}

// Returns a time between `wait` and that plus twice the usual time, as a fixed one would bring the
// callers back together.
duration exchange::spread_retry_after(duration wait) {
  const auto& retry_after = worker_.settings().limits.retry_after;
  constexpr std::uint64_t spread_steps = 1000;
  const auto spread = static_cast<duration::rep>(worker_.random() % (2 * spread_steps));
  return std::max(retry_after, wait) +
         retry_after * spread / static_cast<duration::rep>(spread_steps);
}

}  // namespace plantainpaddle
