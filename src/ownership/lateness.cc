#include "ownership/lateness.h"

#include <algorithm>
#include <cmath>

namespace plantainpaddle {

void lateness::add(duration lag, monotonic_time now) {
  const duration span = last_ == monotonic_time{} ? duration::zero() : now - last_;
  last_ = now;
  const std::chrono::duration<double> weighed =
      std::clamp(span, duration::zero(), config_.longest_span);
  const double kept = std::exp(-(weighed / std::chrono::duration<double>(config_.memory)));
  const std::chrono::duration<double> counted =
      std::clamp(lag, duration::zero(), config_.longest_lag);
  mean_ = mean_ * kept + counted * (1 - kept);
  late_ = mean_ > (late_ ? config_.in_time_below : config_.late_above);
}

}  // namespace plantainpaddle
