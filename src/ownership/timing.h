// Durations of the cell ownership protocol, and the margin that covers clock drift.
//
// Two leases make ownership exclusive. A grant lets an upstream serve shards, and an assigner may
// issue grants only while it holds the right to renew, which a standby or the store confirms. A
// party that depends on the end of another's lease waits with_drift_margin(length) by its own
// clock.
#pragma once

#include "base/time.h"

namespace plantainpaddle {

struct ownership_timing {
  // Interval between grant orders to one upstream, and between term questions to one standby.
  duration renew = milliseconds(250);
  // An unanswered order or question is given up after this time.
  duration attempt_timeout = milliseconds(200);
  // An upstream or assigner that has been silent for longer is suspected to have failed.
  duration suspicion = milliseconds(600);
  // Each further standby in the list waits this much longer before it takes over.
  duration takeover_stagger = milliseconds(200);
  // Length of a grant, counted from when the upstream handed out the nonce that the order uses.
  duration grant = milliseconds(1000);
  // Length of the right to renew, counted from when the confirmed question or store call was sent.
  duration right = milliseconds(900);
  // A new assigner waits this long for a standby that it can't reach; 0: without limit.
  duration hold{0};

  bool operator==(const ownership_timing&) const = default;
};

// Returns how long to wait by the local clock until d has certainly passed on another process's
// clock. Each clock may drift by up to 2 %; the margin is 5 % of d plus 50 ms.
inline constexpr duration with_drift_margin(duration d) { return d + d / 20 + milliseconds(50); }

}  // namespace plantainpaddle
