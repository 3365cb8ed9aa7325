// Durations in microseconds and time points on a monotonic clock.
//
//   monotonic_time deadline = now + milliseconds(250);
//
// Packages that make decisions (ownership, routing) take the time as an argument and never read a
// clock; monotonic_now() is for the packages that do I/O.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

namespace plantainpaddle {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

using duration = std::chrono::microseconds;

// The monotonic clock of this process. Its time points mean nothing to other processes.
struct process_clock {
  using duration = plantainpaddle::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<process_clock, duration>;
  static constexpr bool is_steady = true;
  static time_point now() noexcept;
};

using monotonic_time = process_clock::time_point;

inline monotonic_time monotonic_now() noexcept { return process_clock::now(); }

// Returns the time since the machine started, which unlike monotonic_now() includes the time for
// which it was suspended.
duration time_since_boot() noexcept;

// Returns the CPU time that a thread has used; 0 if it isn't joinable or its clock can't be read.
duration thread_cpu_time(std::thread& thread) noexcept;

// Returns the microseconds since 1970-01-01 UTC. For logs and history only: the clock may be set,
// so leases and deadlines must not depend on it.
duration wall_time() noexcept;

// Parses a duration as settings and messages write it: a number of at least 0 and its unit, "870ms"
// or "2.5s", up to 1e9 s.
std::optional<duration> parse_duration(std::string_view text);
// Formats whole milliseconds, rounded up: "870ms".
std::string format_duration(duration d);

}  // namespace plantainpaddle
