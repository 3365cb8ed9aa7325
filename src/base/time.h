// Time as the decisions see it: microseconds on a monotonic clock that is passed in as an argument.
//
//   monotonic_time deadline = now + milliseconds(250);
//
// Packages that decide (ownership, routing) take the time from their caller and never read a clock;
// monotonic_now() is for the packages that do input and output.
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

// The clock of one process. Its epoch has no meaning outside of that process.
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

// Processor time that a running thread has used.
duration thread_cpu_time(std::thread& thread) noexcept;

// Microseconds since 1970-01-01 UTC, for logs and history only: never for leases or deadlines.
duration wall_time() noexcept;

// A length of time as settings and wires write it: a number and its unit, "870ms" or "2.5s".
std::optional<duration> parse_duration(std::string_view text);
std::string format_duration(duration d);

}  // namespace plantainpaddle
