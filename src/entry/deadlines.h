// The deadlines of a traffic thread's connections, checked together in sweeps, so that a request
// sets and clears several without a timer's cost.
//
//   deadline_entry entry(sweeper, [this] { socket.cancel(); });
//   entry.set(now + seconds(10));
//   ... wait ...
//   if (entry.expired()) ...        // the callback ran; it is repeated at each sweep until set
//   anew
//
// A deadline is met late by at most one sweep period: sweep_period for near ones, slow_period for
// entries parked as idle. Not thread-safe.
#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "base/time.h"

namespace plantainpaddle {

class deadline_entry;

class deadline_sweeper {
 public:
  static constexpr duration sweep_period = milliseconds(5);
  static constexpr duration slow_period = milliseconds(500);

  // Runs the callbacks of what is due.
  void sweep(monotonic_time now);
  std::size_t size() const { return near_.size() + idle_.size(); }

 private:
  friend class deadline_entry;
  using list = std::vector<deadline_entry*>;
  static void check(list& entries, monotonic_time now);

  list near_;
  list idle_;
  monotonic_time next_slow_{};
};

class deadline_entry {
 public:
  deadline_entry(deadline_sweeper& sweeper, std::function<void()> on_due);
  ~deadline_entry();
  deadline_entry(const deadline_entry&) = delete;
  deadline_entry& operator=(const deadline_entry&) = delete;

  void set(monotonic_time due) {
    due_ = due;
    expired_ = false;
  }
  monotonic_time due() const { return due_; }
  bool expired() const { return expired_; }
  // Idle entries are looked at every slow_period only.
  void set_idle(bool idle);

 private:
  friend class deadline_sweeper;
  deadline_sweeper::list& home() { return idle_ ? sweeper_.idle_ : sweeper_.near_; }
  void insert();
  void remove();

  deadline_sweeper& sweeper_;
  std::function<void()> on_due_;
  monotonic_time due_ = monotonic_time::max();
  std::size_t index_ = 0;
  bool expired_ = false;
  bool idle_ = false;
};

}  // namespace plantainpaddle
