#include "base/time.h"

#include <pthread.h>

#include <ctime>

namespace plantainpaddle {

process_clock::time_point process_clock::now() noexcept {
  const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
  return time_point(std::chrono::duration_cast<duration>(since_boot));
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

}  // namespace plantainpaddle
