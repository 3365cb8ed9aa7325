#include "base/time.h"

#include <pthread.h>

#include <charconv>
#include <cmath>
#include <ctime>

namespace plantainpaddle {

process_clock::time_point process_clock::now() noexcept {
  const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
  return time_point(std::chrono::duration_cast<duration>(since_boot));
}

duration time_since_boot() noexcept {
  timespec now{};
  if (clock_gettime(CLOCK_BOOTTIME, &now) != 0) return monotonic_now().time_since_epoch();
  return seconds(now.tv_sec) +
         std::chrono::duration_cast<duration>(std::chrono::nanoseconds(now.tv_nsec));
}

duration thread_cpu_time(std::thread& thread) noexcept {
  clockid_t clock = 0;
  timespec used{};
  if (!thread.joinable() || pthread_getcpuclockid(thread.native_handle(), &clock) != 0 ||
      clock_gettime(clock, &used) != 0) {
    return duration(0);
  }
  return seconds(used.tv_sec) +
         std::chrono::duration_cast<duration>(std::chrono::nanoseconds(used.tv_nsec));
}

duration wall_time() noexcept {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<duration>(since_epoch);
}

std::optional<duration> parse_duration(std::string_view text) {
  constexpr double max_seconds = 1e9;
  double number = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
  if (parsed.ec != std::errc() || !std::isfinite(number) || number < 0) return std::nullopt;
  const auto unit = text.substr(static_cast<std::size_t>(parsed.ptr - text.data()));
  if (unit != "ms" && unit != "s") return std::nullopt;
  if (unit == "ms") number /= 1000;
  if (number > max_seconds) return std::nullopt;
  return duration(std::llround(number * 1e6));
}

std::string format_duration(duration d) {
  return std::to_string(std::chrono::ceil<milliseconds>(d).count()) + "ms";
}

}  // namespace plantainpaddle
