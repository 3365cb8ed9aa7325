// Times of the ownership protocol, and the margin for clocks that drift.
#pragma once

#include "base/time.h"

namespace plantainpaddle {

struct ownership_timing {
  duration renew = milliseconds(250);  // between two orders to an upstream, and two questions
  duration attempt_timeout =
      milliseconds(200);  // an unanswered order or question is given up after this
  duration suspicion =
      milliseconds(600);  // silence after which an upstream or assigner is suspected
  duration takeover_stagger = milliseconds(200);  // further wait of each later standby
  duration grant = milliseconds(1000);
  duration right = milliseconds(900);  // right to renew, from the question it was confirmed by
  duration hold{0};                    // 0: a lost standby is waited for without limit

  bool operator==(const ownership_timing&) const = default;
};

// The time to wait by one's own clock until a span of d has surely passed on another clock whose
// rate differs by at most 2 %: 5 % and 50 ms more.
inline constexpr duration with_drift_margin(duration d) { return d + d / 20 + milliseconds(50); }

}  // namespace plantainpaddle
