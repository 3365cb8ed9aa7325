// Own observations decide. Failures in a row, or a latency many times the service's median, set an
// upstream aside for a rest that doubles; it comes back when a probe on a fresh connection is
// answered after the rest. A silent connection first asks for such a probe: only when that too
// fails is the upstream judged. Costs O(upstreams) for a latency check, O(1) otherwise.

#include "routing/health.h"

#include <algorithm>
#include <cmath>

namespace plantainpaddle {
namespace {

// Weight of the newest observation in the smoothed latency: 1 in 16.
constexpr int latency_smoothing = 16;
constexpr std::uint32_t max_doublings = 16;

}  // namespace

health_tracker::health_tracker(health_config config, std::size_t upstreams)
    : config_(config), states_(upstreams) {}

std::size_t health_tracker::most_set_aside() const {
  return static_cast<std::size_t>(std::floor(config_.set_aside * static_cast<double>(size())));
}

std::size_t health_tracker::set_aside(monotonic_time) const {
  return static_cast<std::size_t>(
      std::count_if(states_.begin(), states_.end(), [](const auto& s) { return s.aside; }));
}

void health_tracker::put_aside(std::size_t upstream, monotonic_time now) {
  auto& state = states_[upstream];
  if (!state.aside && set_aside(now) >= most_set_aside()) return;
  const auto doublings = std::min(state.rests, max_doublings);
  state.aside = true;
  state.aside_until = now + std::min<duration>(config_.longest_rest,
                                               duration(config_.first_rest * (1LL << doublings)));
  state.wants_probe = true;
  state.probe_sent.reset();
  ++state.rests;
}

bool health_tracker::is_slow(std::size_t upstream) const {
  if (states_[upstream].samples < config_.least_samples) return false;
  std::vector<duration> others;
  for (std::size_t i = 0; i < states_.size(); ++i) {
    if (i != upstream && states_[i].samples >= config_.least_samples) {
      others.push_back(states_[i].latency);
    }
  }
  if (others.empty()) return false;
  const auto middle = others.begin() + static_cast<std::ptrdiff_t>(others.size() / 2);
  std::nth_element(others.begin(), middle, others.end());
  return static_cast<double>(states_[upstream].latency.count()) >
         config_.slow_factor * static_cast<double>(middle->count());
}

void health_tracker::on_success(std::size_t upstream, duration latency, monotonic_time now) {
  auto& state = states_[upstream];
  state.failures = 0;
  state.latency =
      state.samples == 0 ? latency : state.latency + (latency - state.latency) / latency_smoothing;
  ++state.samples;
  if (state.aside) return;
  if (is_slow(upstream)) {
    put_aside(upstream, now);
  } else if (state.samples >= config_.least_samples) {
    state.rests = 0;
  }
}

void health_tracker::on_failure(std::size_t upstream, failure_kind kind, monotonic_time now) {
  auto& state = states_[upstream];
  switch (kind) {
    case failure_kind::overload:
      return;
    case failure_kind::silent:
      state.wants_probe = true;
      return;
    case failure_kind::refused:
    case failure_kind::dead:
    case failure_kind::timeout:
    case failure_kind::error:
      break;
  }
  ++state.failures;
  if (!state.aside && state.failures >= config_.failures_to_set_aside) put_aside(upstream, now);
}

void health_tracker::on_report(std::size_t upstream, const load_report& report,
                               monotonic_time now) {
  states_[upstream].report = report;
  states_[upstream].reported = now;
}

std::vector<std::size_t> health_tracker::probes_due(monotonic_time now) {
  std::vector<std::size_t> due;
  for (std::size_t i = 0; i < states_.size(); ++i) {
    auto& state = states_[i];
    if (state.probe_sent && now >= *state.probe_sent + config_.probe_timeout) {
      on_probe(i, false, now);
    }
    if (!state.wants_probe || state.probe_sent) continue;
    if (state.aside && now < state.aside_until) continue;
    state.probe_sent = now;
    due.push_back(i);
  }
  return due;
}

void health_tracker::on_probe(std::size_t upstream, bool answered, monotonic_time now) {
  auto& state = states_[upstream];
  if (!state.probe_sent) return;
  state.probe_sent.reset();
  if (!answered) {
    put_aside(upstream, now);
    state.wants_probe = true;
    return;
  }
  state.wants_probe = false;
  state.failures = 0;
  if (state.aside) {
    state.aside = false;
    state.samples = 0;  // judged by what it does from now on
  }
}

bool health_tracker::usable(std::size_t upstream, monotonic_time) const {
  return !states_[upstream].aside;
}

double health_tracker::share(std::size_t upstream, monotonic_time now) const {
  const auto& state = states_[upstream];
  if (!state.report || now >= state.reported + config_.report_life) return 1;
  double reported = 1 - 0.75 * std::clamp(state.report->cold, 0.0, 1.0);
  if (state.report->shedding) reported = std::min(reported, config_.least_report_share);
  if (state.report->draining) reported = 0;
  reported = std::max(reported, config_.least_report_share);
  const double age = static_cast<double>((now - state.reported).count()) /
                     static_cast<double>(config_.report_life.count());
  return reported + (1 - reported) * std::clamp(age, 0.0, 1.0);
}

}  // namespace plantainpaddle
