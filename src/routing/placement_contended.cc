// Placement where upstreams are contended: instances share their observations, so that the loads
// are those of some 200 ms ago over all instances. Several upstreams are drawn with probabilities
// proportional to their capacity, and the one where the request is expected to end first gets it.
// The best of all would be the same one for all instances until the next report.
//
// Expected time: the request's own work and its share of the backlog, at the upstream's usual
// speed, plus what a momentary slowdown adds. A slowdown by s is assumed to last for one decay time
// from its report: backlog and work W take min(W (s - 1), decay time (1 - 1 / s)) longer, and this
// decays with the report's age.
//
// Upstreams of other domains are considered as soon as the best one of the own domain makes the
// request wait, or is slowed, by more than the cost of the way there. Each request decides by
// itself, and the margin is below the differences that reports are off by, so that there is no mode
// that could flap.
//
// Cost: O(upstreams * candidates).
#include <algorithm>
#include <cmath>

#include "base/durations.h"
#include "base/unit_fraction.h"
#include "routing/placement.h"

namespace plantainpaddle {
namespace {

constexpr duration usage_period = milliseconds(50);  // for which the service's usage is kept
// Without a report for so long no instance has had an answer of the upstream, so that it has little
// to do, or reports aren't exchanged and its load isn't known. It counts with this instance's own
// requests then.
constexpr duration usage_memory = seconds(2);
constexpr duration min_retry_after = milliseconds(50);
constexpr double min_success_share = 0.05;

// SplitMix64: derives the further random numbers of a choice from one.
std::uint64_t next_random(std::uint64_t& state) {
  state += 0x9e3779b97f4a7c15U;
  std::uint64_t mixed = state;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9U;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebU;
  return mixed ^ (mixed >> 31);
}

}  // namespace

placement::time_estimate placement::estimate_time(const placement_upstream& upstream,
                                                  const upstream_observations& state,
                                                  std::string_view work, monotonic_time now) const {
  const auto slots = static_cast<double>(std::max(1U, upstream.slots));
  const double cold = now < upstream.warm_since ? 1 / config_.cold_speed : 1;
  const double factor = slowness_of(state, now) * cold;
  const double ahead = std::max(0.0, estimated_load(state, now) + 1 - slots) / slots;
  const double own_us = micros(service_time(work)) * factor;
  // Those ahead are of all kinds.
  const double wait_us = mean_time_us_.value_or(micros(service_time(work))) * factor * ahead;
  const double slowdown = std::max(1.0, state.slowdown);
  const double decay_us = micros(config_.slowdown_decay_time);
  const double holds = std::exp(-std::max(0.0, micros(now - state.slowdown_at) / decay_us));
  const double slowed_us =
      holds * std::min((own_us + wait_us) * (slowdown - 1), decay_us * (1 - 1 / slowdown));
  return {from_micros(own_us + wait_us + slowed_us), from_micros(wait_us), from_micros(own_us)};
}

double placement::usage(monotonic_time now) const {
  if (now - usage_at_ < usage_period) return usage_;
  double load = 0;
  double slots = 0;
  for (const auto& upstream : upstreams_) {
    const auto& state = observations_of(upstream.name);
    if (!upstream.usable || state.unreachable) continue;
    const bool recent = now - state.reported_at <= usage_memory;
    load += recent ? estimated_load(state, now) : state.outstanding;
    slots += upstream.slots;
  }
  usage_at_ = now;
  usage_ = slots > 0 ? load / slots : 0;
  return usage_;
}

bool placement::fill_weights(const placement_request& request, bool include_refusing,
                             std::optional<std::size_t> except, std::vector<double>& local,
                             std::vector<double>& remote) const {
  local.assign(upstreams_.size(), 0);
  remote.assign(upstreams_.size(), 0);
  const auto now = request.now;
  bool any = false;
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    const auto& upstream = upstreams_[i];
    if (!upstream.usable || except == i) continue;
    if (request.only.value_or(upstream.name) != upstream.name) continue;
    const auto& state = observations_of(upstream.name);
    if (state.unreachable || now < state.paused_until) continue;
    const bool accepting = request.only || ((include_refusing || now >= state.refusing_until) &&
                                            now >= state.limited_until);
    if (!accepting) continue;
    const double weight = upstream.slots * (now < upstream.warm_since ? config_.cold_speed : 1) /
                          state.slowness * (1 - state.failure_share) *
                          share_within_limit(upstream, state, request);
    const bool is_local = request.only || upstream.domain == config_.domain;
    (is_local ? local : remote)[i] = weight;
    any = any || weight > 0;
  }
  return any;
}

// Draws upstreams by weight, each at most once, and returns the one of the least score.
std::optional<placement::scored_upstream> placement::draw_best(
    std::vector<double>& weights, std::uint64_t& random, const placement_request& request) const {
  std::optional<scored_upstream> best;
  for (std::uint32_t drawn = 0; drawn < config_.contended_candidates; ++drawn) {
    double total = 0;
    for (const double weight : weights) total += weight;
    double left = unit_fraction(next_random(random)) * total;
    std::optional<std::size_t> chosen;
    for (std::size_t i = 0; i < weights.size() && left >= 0; ++i) {
      if (weights[i] <= 0) continue;
      chosen = i;
      left -= weights[i];
    }
    if (!chosen) return best;
    weights[*chosen] = 0;
    const auto& state = observations_of(upstreams_[*chosen].name);
    const auto time = estimate_time(upstreams_[*chosen], state, request.work, request.now);
    const double score =
        micros(time.expected) / std::max(min_success_share, 1 - state.failure_share);
    if (!best || score < best->score) best = {*chosen, time, score};
  }
  return best;
}

placement_decision placement::choose_contended(const placement_request& request,
                                               std::uint64_t random) const {
  std::vector<double> local;
  std::vector<double> remote;
  std::optional<std::size_t> except;
  for (std::size_t i = 0; i < upstreams_.size() && !request.only; ++i) {
    if (request.except == upstreams_[i].name) except = i;
  }
  // All may have refused lately, or only the one of the failed attempt may be left. Trying one is
  // better than refusing the request.
  if (!fill_weights(request, false, except, local, remote) &&
      !fill_weights(request, true, except, local, remote) &&
      !fill_weights(request, true, std::nullopt, local, remote)) {
    const auto pause = shortest_pause(request);
    if (pause) return {.why = placement_refusal::paused, .retry_after = *pause};
    return {.why = placement_refusal::no_usable_upstream};
  }
  auto best = draw_best(local, random, request);
  if (!best || best->time.expected - best->time.work > config_.remote_cost) {
    const auto other = draw_best(remote, random, request);
    const double cost = micros(config_.remote_cost);
    if (other && (!best || other->score + cost < best->score)) best = other;
  }
  if (!best) return {.why = placement_refusal::no_usable_upstream};
  const auto& upstream = upstreams_[best->index];
  const auto& state = observations_of(upstream.name);
  placement_decision decision{.upstream = upstream.name, .expected = best->time.expected};
  decision.considered = upstream.name;
  decision.wait = best->time.wait;
  decision.usage = std::max(usage(request.now), state.mean_load / std::max(1U, upstream.slots));
  decision.load = estimated_load(state, request.now);
  if (state.reported_at != monotonic_time{}) decision.report_age = request.now - state.reported_at;
  if (decision.expected <= request.left) return decision;
  decision.upstream.reset();
  decision.why = placement_refusal::too_late;
  decision.retry_after = std::max(min_retry_after, (decision.expected - request.left) / 2);
  return decision;
}

void placement::observe(const upstream_id& upstream, const upstream_observation& seen,
                        monotonic_time now) {
  const auto it = observations_.find(upstream);
  if (it == observations_.end()) return;
  auto& state = it->second;
  const auto reported_at = now - seen.age;
  if (reported_at <= state.reported_at) return;
  const double reported = seen.load.running + seen.load.waiting;
  state.mean_load += config_.time_smoothing * 2 * (reported - state.mean_load);
  state.reported = reported;
  state.reported_at = reported_at;
  // Requests that this instance sent before the report are in it.
  if (state.last_sent && *state.last_sent <= reported_at) state.sent_since_report = 0;
  if (!seen.load.slowdown) return;
  state.slowdown = *seen.load.slowdown;
  state.slowdown_at = reported_at;
}

std::vector<std::pair<upstream_id, upstream_observation>> placement::heard_since(
    monotonic_time since, monotonic_time now) const {
  std::vector<std::pair<upstream_id, upstream_observation>> heard;
  for (const auto& [name, state] : observations_) {
    if (state.own_reported_at <= since || state.own_reported_at < state.reported_at) continue;
    heard.emplace_back(name, upstream_observation{state.own, now - state.own_reported_at});
  }
  return heard;
}

}  // namespace plantainpaddle
