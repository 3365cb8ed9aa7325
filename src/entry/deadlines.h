// A deadline_sweeper checks the deadlines of a traffic thread's connections together, periodically.
// Setting a deadline only stores a time, so a request can set several without the cost of a timer.
//
//   deadline_entry entry(sweeper, [this] { socket.cancel(); });
//   entry.set(now + seconds(10));
//   ... wait ...
//   if (entry.expired()) ...        // the callback ran; each sweep repeats it until set()
//
// A callback runs late by at most one period: sweep_period for active entries, idle_sweep_period
// for idle ones. The owner calls sweep() every sweep_period. A sweep costs time in proportion to
// the number of active entries, and of idle ones where their period is over. Not thread-safe.
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
  static constexpr duration idle_sweep_period = milliseconds(500);

  // Runs the callbacks of all entries that are due.
  void sweep(monotonic_time now);
  std::size_t size() const { return active_.size() + idle_.size(); }

 private:
  friend class deadline_entry;
  using list = std::vector<deadline_entry*>;
  static void check(list& entries, monotonic_time now);

  list active_;
  list idle_;
  monotonic_time next_idle_sweep_{};
};

// One deadline, registered with its sweeper for its lifetime; set anew as often as needed.
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
  // Moves the entry to the idle ones, which are checked every idle_sweep_period only, or back.
  void set_idle(bool idle);

 private:
  friend class deadline_sweeper;
  deadline_sweeper::list& current_list() { return idle_ ? sweeper_.idle_ : sweeper_.active_; }
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
