// Outlier detection by this instance's own observations. Consecutive failures, or a latency many
// times the median of the other upstreams, set an upstream aside, for a time that doubles with each
// repetition. It is used again once a probe on a fresh connection, sent after that time, is
// answered. A silent connection may be a fault of the connection alone, so it only causes such a
// probe: the upstream is set aside if the probe fails too.
//
// Cost: O(upstreams) for an observation or a call of probes_due(), otherwise O(1).

#include "routing/health.h"

#include <algorithm>
#include <cmath>

namespace plantainpaddle {
namespace {

// The newest observation has a weight of 1/16 in the smoothed latency.
constexpr int latency_smoothing = 16;
constexpr std::uint32_t max_doublings = 16;

}  // namespace

health_tracker::health_tracker(health_config config, std::size_t upstreams)
    : config_(config), states_(upstreams) {}

std::size_t health_tracker::max_set_aside() const {
  return static_cast<std::size_t>(std::floor(config_.set_aside * static_cast<double>(size())));
}

std::size_t health_tracker::set_aside_count(monotonic_time) const {
  return static_cast<std::size_t>(
      std::count_if(states_.begin(), states_.end(), [](const auto& s) { return s.is_set_aside; }));
}

void health_tracker::set_upstream_aside(std::size_t upstream, monotonic_time now) {
  auto& state = states_[upstream];
  if (!state.is_set_aside && set_aside_count(now) >= max_set_aside()) return;
  const auto doublings = std::min(state.times_set_aside, max_doublings);
  state.is_set_aside = true;
  state.set_aside_until =
      now + std::min<duration>(config_.max_set_aside_time,
                               duration(config_.min_set_aside_time * (1LL << doublings)));
  state.needs_probe = true;
  state.probe_sent_at.reset();
  ++state.times_set_aside;
}

bool health_tracker::is_slow(std::size_t upstream) const {
  if (states_[upstream].samples < config_.min_samples) return false;
  std::vector<duration> others;
  for (std::size_t i = 0; i < states_.size(); ++i) {
    if (i != upstream && states_[i].samples >= config_.min_samples) {
      others.push_back(states_[i].latency);
    }
  }
  if (others.empty()) return false;
  const auto median = others.begin() + static_cast<std::ptrdiff_t>(others.size() / 2);
  std::nth_element(others.begin(), median, others.end());
  return static_cast<double>(states_[upstream].latency.count()) >
         config_.slow_factor * static_cast<double>(median->count());
}

void health_tracker::on_success(std::size_t upstream, duration latency, monotonic_time now) {
  auto& state = states_[upstream];
  state.consecutive_failures = 0;
  state.latency =
      state.samples == 0 ? latency : state.latency + (latency - state.latency) / latency_smoothing;
  ++state.samples;
  if (state.is_set_aside) return;
  if (is_slow(upstream)) {
    set_upstream_aside(upstream, now);
  } else if (state.samples >= config_.min_samples) {
    state.times_set_aside = 0;
  }
}

void health_tracker::on_failure(std::size_t upstream, failure_kind kind, monotonic_time now) {
  auto& state = states_[upstream];
  switch (kind) {
    case failure_kind::overload:
      return;
    case failure_kind::silent:
      state.needs_probe = true;
      return;
    case failure_kind::refused:
    case failure_kind::dead:
    case failure_kind::timeout:
    case failure_kind::error:
      break;
  }
  ++state.consecutive_failures;
  if (!state.is_set_aside && state.consecutive_failures >= config_.failures_to_set_aside)
    set_upstream_aside(upstream, now);
}

void health_tracker::on_report(std::size_t upstream, const load_report& report,
                               monotonic_time now) {
  states_[upstream].report = report;
  states_[upstream].reported_at = now;
}

std::vector<std::size_t> health_tracker::probes_due(monotonic_time now) {
  std::vector<std::size_t> due;
  for (std::size_t i = 0; i < states_.size(); ++i) {
    auto& state = states_[i];
    if (state.probe_sent_at && now >= *state.probe_sent_at + config_.probe_timeout) {
      on_probe(i, false, now);
    }
    if (!state.needs_probe || state.probe_sent_at) continue;
    if (state.is_set_aside && now < state.set_aside_until) continue;
    state.probe_sent_at = now;
    due.push_back(i);
  }
  return due;
}

void health_tracker::on_probe(std::size_t upstream, bool answered, monotonic_time now) {
  auto& state = states_[upstream];
  if (!state.probe_sent_at) return;
  state.probe_sent_at.reset();
  if (!answered) {
    set_upstream_aside(upstream, now);
    state.needs_probe = true;
    return;
  }
  state.needs_probe = false;
  state.consecutive_failures = 0;
  if (state.is_set_aside) {
    state.is_set_aside = false;
    state.samples = 0;  // its latency is judged by new observations only
  }
}

bool health_tracker::usable(std::size_t upstream, monotonic_time) const {
  return !states_[upstream].is_set_aside;
}

double health_tracker::share(std::size_t upstream, monotonic_time now) const {
  const auto& state = states_[upstream];
  if (!state.report || now >= state.reported_at + config_.report_life) return 1;
  double report_share = 1 - 0.75 * std::clamp(state.report->cold, 0.0, 1.0);
  if (state.report->shedding) report_share = std::min(report_share, config_.min_report_share);
  if (state.report->draining) report_share = 0;
  report_share = std::max(report_share, config_.min_report_share);
  const double age = static_cast<double>((now - state.reported_at).count()) /
                     static_cast<double>(config_.report_life.count());
  return report_share + (1 - report_share) * std::clamp(age, 0.0, 1.0);
}

}  // namespace plantainpaddle
