// Load of an upstream: the smoothed mean of its reported loads, plus the difference of the last
// report from that mean, which decays with the report's age, plus the requests that this instance
// has sent since; but at least the requests that this instance has outstanding there. Slowness: the
// smoothed ratio of the observed service times to the mean that the same kind of work takes over
// all upstreams. Speed is its inverse.
//
// An upstream is chosen by two choices: two are drawn with probabilities proportional to their
// capacity (slots times speed), and the less loaded one gets the request. Speed determines the
// shares of the load in the long run and the estimated load evens it out in the short run. Neither
// needs communication between the instances.
//
// Cost: a choice takes O(upstreams * log upstreams), the end of an attempt O(upstreams).
#include "routing/placement.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include "base/durations.h"
#include "routing/balance.h"

namespace plantainpaddle {
namespace {

// Bounds of the ratio of an observed service time to the mean: beyond them it says no more about
// the speed.
constexpr double min_time_ratio = 0.2;
constexpr double max_time_ratio = 12;
constexpr double work_time_smoothing = 0.03;  // for mean times over all upstreams
constexpr duration min_retry_after = milliseconds(50);

}  // namespace

std::optional<reported_load> parse_reported_load(std::string_view text) {
  constexpr std::size_t least_figures = 3;
  constexpr double percent = 100;
  std::array<std::uint32_t, least_figures + 1> figures{};
  std::size_t count = 0;
  while (count < figures.size()) {
    while (text.starts_with(' ')) text.remove_prefix(1);
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), figures[count]);
    if (parsed.ec != std::errc()) return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(parsed.ptr - text.data()));
    ++count;
    if (!text.starts_with(',')) break;
    text.remove_prefix(1);
    if (text.empty()) return std::nullopt;
  }
  if (!text.empty() || count < least_figures) return std::nullopt;
  reported_load load{figures[0], figures[1], figures[2], {}};
  const auto slowdown = figures[least_figures];
  if (count > least_figures && slowdown > 0) load.slowdown = slowdown / percent;
  return load;
}

void placement::set_upstreams(const std::vector<placement_upstream>& upstreams, monotonic_time) {
  upstreams_ = upstreams;
  std::map<upstream_id, upstream_observations> observations;
  for (const auto& upstream : upstreams_) {
    const auto it = observations_.find(upstream.name);
    auto& kept = observations[upstream.name];
    if (it != observations_.end()) kept = it->second;
    // A pause was asked for by one life of the upstream and doesn't bind the next.
    if (kept.life != upstream.life) kept.paused_until = {};
    kept.life = upstream.life;
  }
  observations_ = std::move(observations);
}

const placement::upstream_observations& placement::observations_of(
    const upstream_id& upstream) const {
  static const upstream_observations none;
  const auto it = observations_.find(upstream);
  return it == observations_.end() ? none : it->second;
}

double placement::estimated_load(const upstream_observations& state, monotonic_time now) const {
  const auto own = static_cast<double>(state.outstanding);
  double decay_us = micros(config_.report_decay_time);
  // With reports of all instances the time for which one holds matters: about a service time.
  if (contended_) decay_us = std::max(decay_us, mean_time_us_.value_or(0));
  const double age = micros(now - state.reported_at) / decay_us;
  const double fresh = std::exp(-std::max(0.0, age));
  const double estimate = state.mean_load + (state.reported - state.mean_load) * fresh;
  return std::max(own, estimate + state.sent_since_report);
}

double placement::load(const upstream_id& upstream, monotonic_time now) const {
  return estimated_load(observations_of(upstream), now);
}

double placement::slowness_of(const upstream_observations& state, monotonic_time now) const {
  const auto decay = contended_ ? config_.contended_slowness_decay : config_.slowness_decay_time;
  const double age = micros(now - state.slowness_updated_at) / micros(decay);
  return 1 + (state.slowness - 1) * std::exp(-std::max(0.0, age));
}

double placement::speed(const upstream_id& upstream, monotonic_time now) const {
  return 1 / slowness_of(observations_of(upstream), now);
}

bool placement::is_unreachable(const upstream_id& upstream) const {
  return observations_of(upstream).unreachable;
}

void placement::note_released(fence_number fence) {
  constexpr std::size_t max_released_fences = 256;  // more than a service's concurrent moves
  released_.insert(fence);
  if (released_.size() > max_released_fences) released_.erase(released_.begin());
}

void placement::set_limit(const upstream_id& upstream, std::optional<double> rate,
                          monotonic_time now) {
  const auto it = observations_.find(upstream);
  if (it == observations_.end()) return;
  it->second.limit = rate;
  it->second.limit_seen = now;
}

void placement::on_limit_used_up(const upstream_id& upstream, duration wait, monotonic_time now) {
  const auto it = observations_.find(upstream);
  if (it == observations_.end()) return;
  it->second.limited_until = now + wait;
  it->second.limit_seen = now;
}

void placement::on_pause(const upstream_id& upstream, duration length, monotonic_time now) {
  const auto it = observations_.find(upstream);
  if (it == observations_.end()) return;
  it->second.paused_until = std::max(it->second.paused_until, now + length);
}

duration placement::pause_left(const upstream_id& upstream, monotonic_time now) const {
  return std::max(duration::zero(), observations_of(upstream).paused_until - now);
}

// Returns the shortest pause that is left of the upstreams that could serve the request; nullopt if
// none of them pauses.
std::optional<duration> placement::shortest_pause(const placement_request& request) const {
  std::optional<duration> shortest;
  for (const auto& upstream : upstreams_) {
    if (!upstream.usable || request.only.value_or(upstream.name) != upstream.name) continue;
    const auto left = pause_left(upstream.name, request.now);
    if (left > duration::zero()) shortest = std::min(shortest.value_or(left), left);
  }
  return shortest;
}

std::vector<upstream_id> placement::probes_due(monotonic_time now) {
  std::vector<upstream_id> due;
  for (auto& [name, state] : observations_) {
    if (!state.unreachable || state.probe_pending || now < state.probe_at) continue;
    state.probe_pending = true;
    due.push_back(name);
  }
  return due;
}

void placement::on_probe(const upstream_id& upstream, bool connected, monotonic_time now) {
  const auto it = observations_.find(upstream);
  if (it == observations_.end()) return;
  auto& state = it->second;
  state.probe_pending = false;
  state.probe_at = now + config_.probe_period;
  if (!connected) return;
  state.unreachable = false;
  state.failures = 0;
}

duration placement::service_time(std::string_view work) const {
  const auto it = work_times_.find(work);
  return it == work_times_.end() ? config_.initial_service_time : from_micros(it->second);
}

std::optional<duration> placement::mean_service_time() const {
  return mean_time_us_ ? std::optional(from_micros(*mean_time_us_)) : std::nullopt;
}

duration placement::expected_time(const placement_upstream& upstream,
                                  const upstream_observations& state, std::string_view work,
                                  monotonic_time now) const {
  const auto slots = static_cast<double>(std::max(1U, upstream.slots));
  const double cold = now < upstream.warm_since ? 1 / config_.cold_speed : 1;
  const double service = micros(service_time(work)) * slowness_of(state, now) * cold;
  const double ahead = std::max(0.0, estimated_load(state, now) + 1 - slots) / slots;
  return from_micros(service * (1 + ahead));
}

// Returns the share of its slots that an upstream's limit leaves in use: by Little's law, a limit
// lets as many requests run as arrive within a service time.
double placement::share_within_limit(const placement_upstream& upstream,
                                     const upstream_observations& state,
                                     const placement_request& request) const {
  const bool named = state.limit && request.now - state.limit_seen < config_.limit_check_after;
  const bool cold = upstream.cold_rate > 0 && request.now < upstream.warm_since;
  if (!named && !cold) return 1;
  double rate = named ? *state.limit : upstream.cold_rate;
  if (named && cold) rate = std::min(rate, upstream.cold_rate);
  const double running = rate * micros(service_time(request.work)) / micros(seconds(1));
  return std::min(1.0, running / std::max(1U, upstream.slots));
}

// Whether the upstream probably has a free slot.
bool placement::has_free_slot(const placement_upstream& upstream, monotonic_time now) const {
  const auto& state = observations_of(upstream.name);
  return upstream.usable && !state.unreachable && now >= state.refusing_until &&
         now >= state.limited_until && now >= state.paused_until && now >= upstream.warm_since &&
         estimated_load(state, now) + 1 <= config_.local_max_load * upstream.slots &&
         slowness_of(state, now) < config_.local_max_slowness &&
         state.failure_share < config_.local_max_failure_share;
}

placement_decision placement::choose(const placement_request& request, std::uint64_t random) const {
  if (contended_) return choose_contended(request, random);
  std::vector<balance_candidate> candidates(upstreams_.size());
  const auto now = request.now;
  std::optional<std::size_t> except;
  bool local_only = false;
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    if (request.except == upstreams_[i].name && !request.only) except = i;
    if (upstreams_[i].domain == config_.domain && except != i && !request.only) {
      local_only = local_only || has_free_slot(upstreams_[i], now);
    }
  }
  bool any = false;
  const auto fill_candidates = [&](bool include_refusing) {
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
      const auto& upstream = upstreams_[i];
      const auto& state = observations_of(upstream.name);
      const bool wanted = request.only ? *request.only == upstream.name
                                       : !local_only || (upstream.domain == config_.domain &&
                                                         has_free_slot(upstream, now));
      const bool accepting = request.only || ((include_refusing || now >= state.refusing_until) &&
                                              now >= state.limited_until);
      candidates[i] = {
          .weight = upstream.domain == config_.domain ? 1 : config_.remote_domain_weight,
          .slots = upstream.slots,
          .outstanding = estimated_load(state, now),
          .share = (now < upstream.warm_since ? config_.cold_speed : 1) / state.slowness *
                   (1 - state.failure_share) * share_within_limit(upstream, state, request),
          .usable = upstream.usable && wanted && accepting && now >= state.paused_until &&
                    !state.unreachable};
      any = any || (candidates[i].usable && except != i);
    }
  };
  fill_candidates(false);
  // All of them have refused lately. Trying one is better than refusing the request.
  if (!any) fill_candidates(true);
  const auto chosen = choose_upstream(candidates, random, except);
  if (!chosen) {
    const auto pause = shortest_pause(request);
    if (pause) return {.why = placement_refusal::paused, .retry_after = *pause};
    return {.why = placement_refusal::no_usable_upstream};
  }
  const auto& upstream = upstreams_[*chosen];
  placement_decision decision{
      .upstream = upstream.name,
      .expected = expected_time(upstream, observations_of(upstream.name), request.work, now)};
  if (decision.expected <= request.left) return decision;
  decision.upstream.reset();
  decision.why = placement_refusal::too_late;
  decision.retry_after = std::max(min_retry_after, (decision.expected - request.left) / 2);
  return decision;
}

void placement::on_sent(const upstream_id& upstream, std::optional<monotonic_time> now) {
  const auto it = observations_.find(upstream);
  if (it == observations_.end()) return;
  it->second.last_sent = now;
  ++it->second.outstanding;
  ++it->second.sent_since_report;
}

void placement::update_times(upstream_observations& state, const placement_upstream& upstream,
                             const attempt_report& report, monotonic_time now) {
  const double latency = micros(report.latency);
  const auto slots = static_cast<double>(std::max(1U, upstream.slots));
  const double waiting = report.load ? static_cast<double>(report.load->waiting) : 0;
  double service_us = latency / (1 + waiting / slots);  // less the wait in its queue
  if (contended_ && report.load && report.load->slowdown) {
    // What the momentary slowdown added isn't part of the upstream's usual speed.
    const double slowed_us = std::min(service_us, micros(config_.slowdown_decay_time));
    service_us -= slowed_us * (1 - 1 / std::max(1.0, *report.load->slowdown));
  }
  mean_time_us_ = mean_time_us_.value_or(service_us) +
                  work_time_smoothing * (service_us - mean_time_us_.value_or(service_us));
  auto it = work_times_.find(report.work);
  if (it == work_times_.end()) {
    it = work_times_.emplace(std::string(report.work), service_us).first;
  }
  const double mean_us = std::max(1.0, it->second);
  const double ratio = std::clamp(service_us / mean_us, min_time_ratio, max_time_ratio);
  state.slowness = slowness_of(state, now);
  // The mean of the first answers and one of usual speed, and smoothed from then on. With the
  // smoothing alone, an instance took longer to learn a speed than a day's load stays the same.
  const double first_weight = contended_ ? 1.0 / (2.0 + state.timed_answers) : 0;
  ++state.timed_answers;
  state.slowness += std::max(config_.time_smoothing, first_weight) * (ratio - state.slowness);
  state.slowness_updated_at = now;
  it->second += work_time_smoothing * (std::min(service_us, max_time_ratio * mean_us) - it->second);
}

void placement::on_end(const upstream_id& upstream, const attempt_report& report,
                       monotonic_time now) {
  const auto it = observations_.find(upstream);
  if (it == observations_.end()) return;
  auto& state = it->second;
  if (state.outstanding > 0) --state.outstanding;
  if (report.load) {
    const double reported = report.load->running + report.load->waiting;
    state.mean_load += config_.time_smoothing * 2 * (reported - state.mean_load);
    state.reported = reported;
    state.reported_at = now;
    state.sent_since_report = 0;
    state.own = *report.load;
    state.own_reported_at = now;
    if (report.load->slowdown) {
      state.slowdown = *report.load->slowdown;
      state.slowdown_at = now;
    }
  } else if (state.sent_since_report > 0) {
    --state.sent_since_report;
  }
  const auto smooth_failures = [&](double failed) {
    state.failure_share += config_.failure_smoothing * (failed - state.failure_share);
  };
  switch (report.ended) {
    case attempt_outcome::answered: {
      state.failures = 0;
      state.unreachable = false;
      smooth_failures(0);
      const auto listed = std::find_if(upstreams_.begin(), upstreams_.end(),
                                       [&](const auto& u) { return u.name == upstream; });
      if (listed != upstreams_.end()) update_times(state, *listed, report, now);
      break;
    }
    case attempt_outcome::failed:
      if (!report.asked_for_pause) smooth_failures(1);
      break;
    case attempt_outcome::refused:
      state.failures = 0;
      // The upstream has said how it wants to be treated, which is no failure.
      if (report.asked_for_pause) break;
      state.refusing_until = now + config_.refusal_backoff;
      smooth_failures(1);
      break;
    case attempt_outcome::identity_mismatch:
      state.unreachable = true;
      state.probe_pending = false;
      state.probe_at = now + config_.identity_mismatch_backoff;
      break;
    case attempt_outcome::unreachable:
      state.failures = config_.unreachable_after_failures;
      [[fallthrough]];
    case attempt_outcome::silent:
      smooth_failures(1);
      if (++state.failures < config_.unreachable_after_failures || state.unreachable) break;
      state.unreachable = true;
      state.probe_pending = false;
      state.probe_at = now;
      break;
    case attempt_outcome::abandoned:
      break;
  }
}

}  // namespace plantainpaddle
