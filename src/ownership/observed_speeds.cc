// The slowness of an upstream is the mean of the relative times of its answers, each weighted by
// its age, together with `prior_answers` answers of relative time 1. Its speed is the inverse.
//
// The prior keeps chance from moving keys: with work whose time varies by its own mean, the mean of
// n answers has a standard deviation of 1 / sqrt(n), while the speeds of upstreams differ by about
// a quarter. Its weight is the ratio of the two variances.
#include "ownership/observed_speeds.h"

#include <algorithm>
#include <cmath>

namespace plantainpaddle {
namespace {

constexpr std::size_t max_kinds = 64;
constexpr std::size_t max_upstreams = 4096;
// The mean time of a kind of work is over about so many of its latest answers.
constexpr double mean_answers = 200;
// Relative times beyond these bounds say no more about the speed: they show a single slow or
// failing request.
constexpr double min_relative_time = 0.1;
constexpr double max_relative_time = 6;
// One report has no more weight than so many answers, which an instance doesn't get of one upstream
// between two reports.
constexpr std::uint32_t max_answers = 64;
constexpr double prior_answers = 16;
// Time constant of the decay of a sample's weight. Upstreams keep their speeds for far longer; an
// upstream that changes its machine is known by its new speed within this time.
constexpr duration memory = seconds(20);
// An estimate of less weight makes no difference to a speed.
constexpr double negligible_weight = 0.1;
constexpr double min_speed = 0.25;
constexpr double max_speed = 2.5;

double kept_share(monotonic_time since, monotonic_time now) {
  const double age = std::chrono::duration<double>(now - since).count();
  return std::exp(-std::max(0.0, age) / std::chrono::duration<double>(memory).count());
}

}  // namespace

void answer_times::add(const upstream_id& upstream, std::string_view work, duration time) {
  const auto us = static_cast<double>(time.count());
  if (us <= 0) return;
  auto place = kinds_.find(work);
  if (place == kinds_.end()) {
    if (kinds_.size() >= max_kinds) return;
    place = kinds_.emplace(std::string(work), kind{}).first;
  }
  auto& mean = place->second;
  mean.answers = std::min(mean.answers + 1, mean_answers);
  const double longest = mean.mean_us > 0 ? max_relative_time * mean.mean_us : us;
  mean.mean_us += (std::min(us, longest) - mean.mean_us) / mean.answers;
  if (!sums_.contains(upstream) && sums_.size() >= max_answer_samples) return;
  auto& sum = sums_[upstream];
  ++sum.answers;
  sum.relative_times += std::clamp(us / mean.mean_us, min_relative_time, max_relative_time);
}

answer_samples answer_times::take() {
  answer_samples taken;
  for (const auto& [upstream, sum] : sums_) {
    taken[upstream] = {sum.answers, sum.relative_times / sum.answers};
  }
  sums_.clear();
  return taken;
}

void observed_speeds::add(const answer_samples& samples, monotonic_time now) {
  for (const auto& [upstream, sample] : samples) {
    if (!estimates_.contains(upstream) && estimates_.size() >= max_upstreams) {
      std::erase_if(estimates_, [&](const auto& known) {
        return known.second.weight * kept_share(known.second.updated, now) < negligible_weight;
      });
      if (estimates_.size() >= max_upstreams) continue;
    }
    auto& known = estimates_[upstream];
    const double kept = kept_share(known.updated, now);
    const auto answers = static_cast<double>(std::min(sample.answers, max_answers));
    const double time = std::clamp(sample.relative_time, min_relative_time, max_relative_time);
    known.weight = known.weight * kept + answers;
    known.relative_times = known.relative_times * kept + answers * time;
    known.updated = now;
  }
}

double observed_speeds::weight(const upstream_id& upstream, monotonic_time now) const {
  const auto known = estimates_.find(upstream);
  return known == estimates_.end() ? 0
                                   : known->second.weight * kept_share(known->second.updated, now);
}

double observed_speeds::speed(const upstream_id& upstream, monotonic_time now) const {
  const auto known = estimates_.find(upstream);
  if (known == estimates_.end()) return 1;
  const double kept = kept_share(known->second.updated, now);
  const double slowness = (prior_answers + known->second.relative_times * kept) /
                          (prior_answers + known->second.weight * kept);
  return std::clamp(1 / slowness, min_speed, max_speed);
}

}  // namespace plantainpaddle
