// Keys are Zipf distributed. A promotion lifts a group of keys eightfold within an hour; one key
// alone grows to one and a half times an upstream's fair share within five minutes; groups of keys
// drift by up to 30 % over the day.

#include "bench/policy_trace.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <numeric>
#include <random>

namespace plantainpaddle::bench {
namespace {

constexpr std::size_t key_count = 20000;
constexpr double zipf_exponent = 0.8;
constexpr std::size_t promoted_keys = 300;
constexpr double promotion_factor = 8;
constexpr double drift = 0.3;
constexpr std::size_t drift_groups = 50;
constexpr double hot_key_share = 1.5;  // of an upstream's fair share

double hours_of(duration d) { return std::chrono::duration<double>(d).count() / 3600; }

// 0 before `from`, 1 after `to`, straight between them.
double ramp(double hour, double from, double to) {
  return std::clamp((hour - from) / (to - from), 0.0, 1.0);
}

duration at(int hour, int minute) {
  return std::chrono::hours(hour) + std::chrono::minutes(minute);
}

}  // namespace

std::size_t new_upstreams() { return 2; }

std::vector<upstream_change> make_changes(std::size_t upstreams) {
  std::vector<upstream_change> made{
      {at(0, 30), 3, change_kind::leave},
      {at(0, 50), 3, change_kind::join},
      {at(1, 0), upstreams, change_kind::join},
      {at(1, 5), upstreams + 1, change_kind::join},
      {at(4, 15), upstreams, change_kind::leave},
      {at(6, 30), 2, change_kind::lose},  // a freeze of 90 s
      {at(6, 30) + seconds(90), 2, change_kind::join},
      {at(7, 0), 4, change_kind::false_report},
      {at(7, 1), 4, change_kind::report_ends},
      {at(7, 20), 1, change_kind::lose},
      {at(7, 30), 1, change_kind::join},
  };
  for (int i = 0; i < 4; ++i) {
    const std::size_t upstream = 5U + static_cast<std::size_t>(i);
    made.push_back({at(4, 30 + 7 * i), upstream, change_kind::leave});
    made.push_back({at(4, 34 + 7 * i), upstream, change_kind::join});
  }
  std::stable_sort(made.begin(), made.end(),
                   [](const auto& a, const auto& b) { return a.at < b.at; });
  return made;
}

key_trace::key_trace(double requests_per_second, std::size_t upstreams, std::uint64_t seed)
    : base_(key_count),
      phase_(key_count),
      promoted_(key_count),
      rates_(key_count),
      fair_(requests_per_second / static_cast<double>(upstreams)),
      hot_key_(key_count / 2) {
  std::mt19937_64 random(seed);
  double total = 0;
  for (std::size_t k = 0; k < key_count; ++k) {
    total += base_[k] = std::pow(static_cast<double>(k + 1), -zipf_exponent);
    const auto group = static_cast<double>(random() % drift_groups);
    phase_[k] = 2 * std::numbers::pi * group / static_cast<double>(drift_groups);
  }
  for (auto& rate : base_) rate *= requests_per_second / total;
  for (std::size_t i = 0; i < promoted_keys; ++i) promoted_[100 + random() % 2000] = true;
}

const std::vector<double>& key_trace::rates(duration at) {
  const double hour = hours_of(at);
  const double promotion = 1 + (promotion_factor - 1) * (ramp(hour, 2, 3) - ramp(hour, 4, 5));
  const double hot = ramp(hour, 5.5, 5.5 + 1.0 / 12) - ramp(hour, 6.25, 6.25 + 1.0 / 12);
  for (std::size_t k = 0; k < base_.size(); ++k) {
    const double wave = std::sin(phase_[k] + 2 * std::numbers::pi * hour / hours_of(trace_length));
    rates_[k] = base_[k] * (1 + drift * wave) * (promoted_[k] ? promotion : 1);
  }
  rates_[hot_key_] += hot * hot_key_share * fair_;
  return rates_;
}

}  // namespace plantainpaddle::bench
