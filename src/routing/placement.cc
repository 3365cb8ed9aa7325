// An upstream's load is estimated as its smoothed mean, corrected by the last statement as far as
// that is still fresh, and by the own requests sent since. Its speed is the smoothed ratio of
// observed times to what the same work takes on average. The draw is by capacity (slots times
// speed), the better of two wins: speed settles the shares in the long run, the estimate of load
// evens out the short run, and neither needs the instances to talk.
//
// Choosing costs O(upstreams); observations cost O(log upstreams).
#include "routing/placement.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "routing/balance.h"

namespace plantainpaddle {
namespace {

// An observed time beyond these multiples of the usual one says no more about the speed.
constexpr double least_ratio = 0.2;
constexpr double most_ratio = 12;
constexpr double work_smoothing = 0.03;  // of a work's mean time, over all upstreams
constexpr duration least_retry_after = milliseconds(50);

double micros(duration d) { return static_cast<double>(d.count()); }
duration from_micros(double d) { return duration(static_cast<duration::rep>(d)); }

}  // namespace

std::optional<reported_load> parse_reported_load(std::string_view text) {
  reported_load load;
  std::uint32_t* const fields[] = {&load.running, &load.waiting, &load.slots};
  for (auto* field : fields) {
    while (text.starts_with(' ')) text.remove_prefix(1);
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), *field);
    if (parsed.ec != std::errc()) return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(parsed.ptr - text.data()));
    const bool last = field == fields[2];
    if (last) break;
    if (!text.starts_with(',')) return std::nullopt;
    text.remove_prefix(1);
  }
  return text.empty() ? std::optional(load) : std::nullopt;
}

void placement::set_upstreams(const std::vector<placement_upstream>& listed, monotonic_time) {
  listed_ = listed;
  std::map<upstream_id, observed> kept;
  for (const auto& upstream : listed_) {
    const auto place = observed_.find(upstream.name);
    kept[upstream.name] = place == observed_.end() ? observed{} : place->second;
  }
  observed_ = std::move(kept);
}

const placement::observed& placement::seen(const upstream_id& upstream) const {
  static const observed nothing;
  const auto place = observed_.find(upstream);
  return place == observed_.end() ? nothing : place->second;
}

double placement::load_of(const observed& state, const placement_config& config,
                          monotonic_time now) {
  const auto own = static_cast<double>(state.outstanding);
  const double age = micros(now - state.reported_at) / micros(config.report_memory);
  const double fresh = std::exp(-std::max(0.0, age));
  const double estimate = state.mean_load + (state.reported - state.mean_load) * fresh;
  return std::max(own, estimate + state.sent_since_report);
}

double placement::load(const upstream_id& upstream, monotonic_time now) const {
  return load_of(seen(upstream), config_, now);
}

double placement::slowness_of(const observed& state, monotonic_time now) const {
  const double age = micros(now - state.timed_at) / micros(config_.speed_memory);
  return 1 + (state.slowness - 1) * std::exp(-std::max(0.0, age));
}

double placement::speed(const upstream_id& upstream, monotonic_time now) const {
  return 1 / slowness_of(seen(upstream), now);
}

bool placement::is_unreachable(const upstream_id& upstream) const {
  return seen(upstream).unreachable;
}

void placement::note_released(fence_number fence) {
  constexpr std::size_t most_moves = 256;  // at a time, of one service
  released_.insert(fence);
  if (released_.size() > most_moves) released_.erase(released_.begin());
}

std::vector<upstream_id> placement::probes_due(monotonic_time now) {
  std::vector<upstream_id> due;
  for (auto& [name, state] : observed_) {
    if (!state.unreachable || state.probed || now < state.probe_at) continue;
    state.probed = true;
    due.push_back(name);
  }
  return due;
}

void placement::on_probe(const upstream_id& upstream, bool connected, monotonic_time now) {
  const auto place = observed_.find(upstream);
  if (place == observed_.end()) return;
  auto& state = place->second;
  state.probed = false;
  state.probe_at = now + config_.probe_period;
  if (!connected) return;
  state.unreachable = false;
  state.failures = 0;
}

duration placement::service_time(std::string_view work) const {
  const auto place = work_times_.find(work);
  return place == work_times_.end() ? config_.first_service : from_micros(place->second);
}

duration placement::expected_time(const placement_upstream& facts, const observed& state,
                                  std::string_view work, monotonic_time now) const {
  const auto slots = static_cast<double>(std::max(1U, facts.slots));
  const double cold = now < facts.warm_since ? 1 / config_.cold_share : 1;
  const double service = micros(service_time(work)) * slowness_of(state, now) * cold;
  const double ahead = std::max(0.0, load_of(state, config_, now) + 1 - slots) / slots;
  return from_micros(service * (1 + ahead));
}

// A slot is probably free.
bool placement::is_idle(const placement_upstream& facts, monotonic_time now) const {
  const auto& state = seen(facts.name);
  return facts.usable && !state.unreachable && now >= state.full_until && now >= facts.warm_since &&
         load_of(state, config_, now) + 1 <= config_.near_load * facts.slots &&
         slowness_of(state, now) < config_.near_slowness && state.failing < config_.near_failing;
}

placement_answer placement::choose(const placement_request& question, std::uint64_t random) const {
  std::vector<balance_candidate> candidates(listed_.size());
  const auto now = question.now;
  std::optional<std::size_t> except;
  bool near_only = false;
  for (std::size_t i = 0; i < listed_.size(); ++i) {
    if (question.except == listed_[i].name && !question.only) except = i;
    if (listed_[i].domain == config_.domain && except != i && !question.only) {
      near_only = near_only || is_idle(listed_[i], now);
    }
  }
  bool any = false;
  const auto offer = [&](bool also_full) {
    for (std::size_t i = 0; i < listed_.size(); ++i) {
      const auto& facts = listed_[i];
      const auto& state = seen(facts.name);
      const bool wanted =
          question.only ? *question.only == facts.name
                        : !near_only || (facts.domain == config_.domain && is_idle(facts, now));
      const bool room = question.only || also_full || now >= state.full_until;
      candidates[i] = {.weight = facts.domain == config_.domain ? 1 : config_.far_share,
                       .slots = facts.slots,
                       .outstanding = load_of(state, config_, now),
                       .share = (now < facts.warm_since ? config_.cold_share : 1) / state.slowness *
                                (1 - state.failing),
                       .usable = facts.usable && wanted && room && !state.unreachable};
      any = any || (candidates[i].usable && except != i);
    }
  };
  offer(false);
  // All of them full by their own word: to try one beats refusing everything.
  if (!any) offer(true);
  const auto chosen = choose_upstream(candidates, random, except);
  if (!chosen) return {.why = placement_refusal::nobody};
  const auto& facts = listed_[*chosen];
  placement_answer answer{.upstream = facts.name,
                          .expected = expected_time(facts, seen(facts.name), question.work, now)};
  if (answer.expected <= question.left) return answer;
  answer.upstream.reset();
  answer.why = placement_refusal::too_late;
  answer.retry_after = std::max(least_retry_after, (answer.expected - question.left) / 2);
  return answer;
}

void placement::on_sent(const upstream_id& upstream) {
  const auto place = observed_.find(upstream);
  if (place == observed_.end()) return;
  ++place->second.outstanding;
  ++place->second.sent_since_report;
}

void placement::learn_time(observed& state, const placement_upstream& facts,
                           const attempt_report& end, monotonic_time now) {
  const double latency = micros(end.latency);
  const auto slots = static_cast<double>(std::max(1U, facts.slots));
  const double waiting = end.load ? static_cast<double>(end.load->waiting) : 0;
  const double alone = latency / (1 + waiting / slots);  // without the wait in its queue
  auto place = work_times_.find(end.work);
  if (place == work_times_.end()) {
    place = work_times_.emplace(std::string(end.work), alone).first;
  }
  const double usual = std::max(1.0, place->second);
  const double ratio = std::clamp(alone / usual, least_ratio, most_ratio);
  state.slowness = slowness_of(state, now);
  state.slowness += config_.time_smoothing * (ratio - state.slowness);
  state.timed_at = now;
  place->second += work_smoothing * (std::min(alone, most_ratio * usual) - place->second);
}

void placement::on_end(const upstream_id& upstream, const attempt_report& end, monotonic_time now) {
  const auto place = observed_.find(upstream);
  if (place == observed_.end()) return;
  auto& state = place->second;
  if (state.outstanding > 0) --state.outstanding;
  if (end.load) {
    const double stated = end.load->running + end.load->waiting;
    state.mean_load += config_.time_smoothing * 2 * (stated - state.mean_load);
    state.reported = stated;
    state.reported_at = now;
    state.sent_since_report = 0;
  } else if (state.sent_since_report > 0) {
    --state.sent_since_report;
  }
  const auto smooth_failures = [&](double failed) {
    state.failing += config_.failure_smoothing * (failed - state.failing);
  };
  switch (end.ended) {
    case attempt_outcome::answered: {
      state.failures = 0;
      state.unreachable = false;
      smooth_failures(0);
      const auto facts = std::find_if(listed_.begin(), listed_.end(),
                                      [&](const auto& u) { return u.name == upstream; });
      if (facts != listed_.end()) learn_time(state, *facts, end, now);
      break;
    }
    case attempt_outcome::failed:
      smooth_failures(1);
      break;
    case attempt_outcome::refused:
      state.failures = 0;
      state.full_until = now + config_.full_memory;
      smooth_failures(1);
      break;
    case attempt_outcome::identity_mismatch:
      state.unreachable = true;
      state.probed = false;
      state.probe_at = now + config_.misplaced_rest;
      break;
    case attempt_outcome::unreachable:
      state.failures = config_.failures_to_rest;
      [[fallthrough]];
    case attempt_outcome::silent:
      smooth_failures(1);
      if (++state.failures < config_.failures_to_rest || state.unreachable) break;
      state.unreachable = true;
      state.probed = false;
      state.probe_at = now;
      break;
    case attempt_outcome::abandoned:
      break;
  }
}

}  // namespace plantainpaddle
