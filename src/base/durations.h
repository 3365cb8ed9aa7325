// Arithmetic on durations that aren't whole multiples of each other.
//
//   const auto grace = share_of(drain, 0.35);
//   const auto delay = doubled(milliseconds(200), failures, seconds(2));
#pragma once

#include <algorithm>

#include "base/time.h"

namespace plantainpaddle {

inline double micros(duration d) { return static_cast<double>(d.count()); }
inline duration from_micros(double us) { return duration(static_cast<duration::rep>(us)); }

// Returns that share of the duration, rounded towards zero.
inline duration share_of(duration whole, double share) {
  return from_micros(micros(whole) * share);
}

// Returns `first` doubled so many times, but at most `longest`. For delays between repetitions.
inline duration doubled(duration first, int times, duration longest) {
  constexpr int most_times = 16;
  return std::min(longest, first * (1 << std::clamp(times, 0, most_times)));
}

}  // namespace plantainpaddle
