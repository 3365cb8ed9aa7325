// Whether this instance has been late for so long that duties for others, such as assigning key
// ranges, belong to an instance with more processor time. Fed with how late each tick of the event
// loop is.
//
//   lateness own({});
//   own.add(now - due, now);                 // each tick
//   if (own.is_late()) hand_over();
#pragma once

#include "base/time.h"

namespace plantainpaddle {

struct lateness_config {
  // Time constant of the mean. A single pause, as another process on the machine may cause it, is
  // over before a successor has taken over.
  duration memory = seconds(3);
  // A mean above this is late: moves of keys wait for a tick up to three times, and together with
  // the calls between them they should take less than a second.
  duration late_above = milliseconds(150);
  duration in_time_below = milliseconds(60);
  // A tick counts as no longer late than this and for no longer than the span, so that one long
  // pause isn't taken for many late ticks.
  duration longest_lag = milliseconds(500);
  duration longest_span = milliseconds(250);
  bool operator==(const lateness_config&) const = default;
};

class lateness {
 public:
  explicit lateness(lateness_config config) : config_(config) {}

  // A tick has come `lag` after it was due.
  void add(duration lag, monotonic_time now);
  bool is_late() const { return late_; }
  duration mean() const { return std::chrono::duration_cast<duration>(mean_); }

 private:
  lateness_config config_;
  std::chrono::duration<double> mean_{0};
  monotonic_time last_{};
  bool late_ = false;
};

}  // namespace plantainpaddle
