// Finds out for how long the machine was suspended, which the monotonic clock doesn't count. What
// was true before a suspension is older than that clock says.
//
//   suspensions suspended;
//   suspended.observe(now, time_since_boot());    // several times a second
//   const auto age = now - at + suspended.since(at);
#pragma once

#include <deque>
#include <optional>

#include "base/time.h"

namespace plantainpaddle {

class suspensions {
 public:
  void observe(monotonic_time now, duration since_boot);
  // Returns for how long the machine was suspended after `at`, as far as it has been observed; a
  // suspension that began just before `at` may be included.
  duration since(monotonic_time at) const;

 private:
  struct suspension {
    monotonic_time seen{};
    duration length{0};
  };
  std::optional<duration> offset_;  // of the time since boot to the monotonic clock
  std::deque<suspension> seen_;
};

}  // namespace plantainpaddle
