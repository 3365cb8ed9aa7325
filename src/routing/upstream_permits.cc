// An issuer spaces permits evenly by the interval that the rate allows, with a small burst after a
// pause, and issues a permit in advance if the request can wait for it. In any time t it issues at
// most rate * t + max_burst.
//
// Instances learn of others' coming and going at different times, so two of them may be asked for
// the same upstream. One that may not be everyone's first choice, because it hasn't been known for
// settle_time or because another one outranks it, issues at unsettled_share of the rate and without
// a burst. An instance that is no longer registered keeps its rank for settle_time. So the first in
// everyone's order issues at the whole rate, and beside it at most its successor or predecessor, at
// unsettled_share.
//
// An instance that reaches neither of the first two issuers sends its part of alone_share, one
// request at a time. The phase differs between instances, so that those that lose the same issuer
// don't send at once. All shares together are one and a half times the limit.
//
// With quiet_time and list_life this also holds for instances that start together, and for those
// that are cut off from the list for so long that others no longer count on them.
//
// Cost: O(log upstreams) for a request; O(instances log instances) for an upstream's first request
// after the instances have changed.
#include "routing/upstream_permits.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "ownership/rendezvous.h"

namespace plantainpaddle {
namespace {

constexpr std::size_t max_issuers = 2;  // that an instance asks in turn

duration interval_of(double rate) { return duration(static_cast<duration::rep>(1e6 / rate)); }

}  // namespace

double permit_burst(double rate, const permit_config& config) {
  const double due = rate * std::chrono::duration<double>(config.burst_time).count();
  return std::clamp(due, 1.0, config.max_burst);
}

upstream_permits::upstream_permits(std::string self, permit_config config)
    : self_(std::move(self)), config_(config) {}

void upstream_permits::set_instances(const std::map<std::string, std::string>& addresses,
                                     monotonic_time now, monotonic_time known_at) {
  list_known_at_ = std::min(known_at, now);
  for (const auto& [name, address] : addresses) {
    const auto [it, added] = instances_.try_emplace(name, instance{address, now, {}});
    if (added) ++version_;
    it->second.address = address;
    it->second.gone_at.reset();
  }
  for (auto& [name, known] : instances_) {
    if (!addresses.contains(name) && !known.gone_at) known.gone_at = now;
  }
  const auto forgotten = std::erase_if(instances_, [&](const auto& known) {
    return known.second.gone_at && now - *known.second.gone_at >= config_.settle_time;
  });
  if (forgotten != 0) ++version_;
  std::erase_if(suspect_until_, [&](const auto& entry) { return now >= entry.second; });
  std::erase_if(upstreams_, [&](const auto& entry) {
    return now - entry.second.used_at >= config_.forget_after;
  });
}

upstream_permits::upstream_state& upstream_permits::state_of(const upstream_id& upstream,
                                                             monotonic_time now) {
  auto& state = upstreams_[upstream];
  state.used_at = now;
  return state;
}

const std::vector<std::string>& upstream_permits::order_of(const upstream_id& upstream,
                                                           upstream_state& state) const {
  if (state.order_version == version_) return state.order;
  std::vector<std::string> names;
  for (const auto& [name, known] : instances_) names.push_back(name);
  state.order = rendezvous_order(upstream.value, std::move(names));
  if (state.order.size() > max_issuers) state.order.resize(max_issuers);
  state.order_version = version_;
  return state.order;
}

bool upstream_permits::is_suspect(const std::string& name, monotonic_time now) const {
  const auto it = suspect_until_.find(name);
  return it != suspect_until_.end() && now < it->second;
}

permit_step upstream_permits::begin(const permit_request& request, monotonic_time now) {
  auto& state = state_of(request.upstream, now);
  if (now < state.refused_until) return permit_decision{false, state.refused_until - now};
  const bool asks = !config_.list_life || now - list_known_at_ < *config_.list_life;
  for (const auto& name : order_of(request.upstream, state)) {
    if (!asks || (name == self_ && !may_issue(now))) continue;
    if (!is_suspect(name, now)) return ask(request, name, now);
  }
  return decide_alone(request, state, now);
}

bool upstream_permits::knows_others(monotonic_time now) const {
  if (config_.quiet_time == duration::zero()) return true;
  const auto it = instances_.find(self_);
  return it != instances_.end() && now - it->second.since >= config_.quiet_time;
}

bool upstream_permits::may_issue(monotonic_time now) const {
  return knows_others(now) && (!config_.list_life || now - list_known_at_ < *config_.list_life);
}

permit_step upstream_permits::ask(const permit_request& request, const std::string& name,
                                  monotonic_time now) {
  if (name == self_) return issue(request, now);
  return permit_issuer{name, instances_.at(name).address};
}

permit_step upstream_permits::on_no_answer(const permit_request& request,
                                           const permit_issuer& asked, monotonic_time now) {
  suspect_until_[asked.name] = now + config_.suspect_time;
  return begin(request, now);
}

void upstream_permits::on_answer(const permit_request& request, const permit_decision& answer,
                                 monotonic_time now) {
  if (answer.granted) return;
  state_of(request.upstream, now).refused_until = now + std::min(answer.wait, config_.longest_wait);
}

permit_decision upstream_permits::issue(const permit_request& request, monotonic_time now) {
  auto& state = state_of(request.upstream, now);
  if (state.asked_at == monotonic_time{}) state.next = now;
  state.asked_at = now;
  const auto named = now - request.rate_age;
  if (state.rate == 0 || named >= state.rate_named) {
    state.rate = request.rate;
    state.rate_named = named;
  }
  const auto& order = order_of(request.upstream, state);
  const bool first = !order.empty() && order.front() == self_;
  const bool settled = first && now - instances_.at(self_).since >= config_.settle_time;
  const double rate = settled ? state.rate : state.rate * config_.unsettled_share;
  const double burst = settled ? permit_burst(rate, config_) : 1.0;
  const auto interval = interval_of(rate);
  const auto saved = duration(static_cast<duration::rep>((burst - 1) * interval.count()));
  state.next = std::max(state.next, now - saved);
  const auto wait = std::max(duration::zero(), state.next - now);
  const auto longest = std::min(request.longest_wait, config_.longest_wait);
  if (wait > longest) return {false, wait - longest};
  state.next += interval;
  return {true, wait};
}

permit_decision upstream_permits::decide_alone(const permit_request& request, upstream_state& state,
                                               monotonic_time now) const {
  const auto share = static_cast<double>(std::max<std::size_t>(1, instances_.size()));
  const auto interval = interval_of(request.rate * config_.alone_share / share);
  if (!knows_others(now)) return {false, config_.quiet_time};
  // What fell due while the issuer was there isn't sent, as all instances would send it at once.
  const bool paused = now - std::exchange(state.alone_at, now) > config_.suspect_time;
  const bool resumes = paused && config_.quiet_time != duration::zero();
  if (!state.next_alone || resumes || *state.next_alone > now + interval) {
    constexpr double whole = 18446744073709551616.0;  // 2^64
    const double phase = static_cast<double>(hash64(self_, request.upstream.value)) / whole;
    state.next_alone = now + duration(static_cast<duration::rep>(phase * interval.count()));
  }
  if (now < *state.next_alone) return {false, *state.next_alone - now};
  state.next_alone = now + interval;
  return {true, duration::zero()};
}

std::map<upstream_id, double> upstream_permits::limits_asked_for(monotonic_time now) const {
  std::map<upstream_id, double> limits;
  for (const auto& [upstream, state] : upstreams_) {
    const bool asked = state.asked_at != monotonic_time{};
    if (asked && now - state.asked_at < config_.limit_life) limits[upstream] = state.rate;
  }
  return limits;
}

}  // namespace plantainpaddle
