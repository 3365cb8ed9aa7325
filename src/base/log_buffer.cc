// A pipe that polls as writable takes PIPE_BUF bytes without a wait, so writes are of that size.
#include "base/log_buffer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>

namespace plantainpaddle {

bool log_buffer::add(std::string_view line, log_level level, monotonic_time now) {
  const std::lock_guard lock(mutex_);
  const auto rate = static_cast<double>(settings_.bytes_per_s);
  const double span = std::chrono::duration<double>(now - refilled_).count();
  allowance_ = std::min(rate, allowance_ + std::max(0.0, span) * rate);
  refilled_ = now;
  const bool routine = level <= log_level::debug;
  const std::size_t room = routine ? max_bytes / 2 : max_bytes;
  const double reserve = routine ? rate / 2 : 0;
  const auto size = static_cast<double>(line.size());
  if (waiting_.size() + line.size() > room || allowance_ - size < reserve) {
    ++dropped_;
    return false;
  }
  allowance_ -= size;
  waiting_ += line;
  if (!settings_.buffered) write_some();
  return true;
}

void log_buffer::flush(monotonic_time) {
  const std::lock_guard lock(mutex_);
  write_some();
  if (dropped_ == told_ || waiting_.size() > max_bytes / 2) return;
  waiting_ += "{\"level\":\"warning\",\"message\":\"log lines dropped\",\"count\":" +
              std::to_string(dropped_ - told_) + "}\n";
  told_ = dropped_;
}

void log_buffer::write_some() {
  std::size_t written = 0;
  while (written < waiting_.size()) {
    pollfd ready{settings_.descriptor, POLLOUT, 0};
    if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) break;
    const std::size_t size = std::min<std::size_t>(PIPE_BUF, waiting_.size() - written);
    const auto taken = ::write(settings_.descriptor, waiting_.data() + written, size);
    if (taken <= 0) break;
    written += static_cast<std::size_t>(taken);
  }
  waiting_.erase(0, written);
}

std::uint64_t log_buffer::dropped() const {
  const std::lock_guard lock(mutex_);
  return dropped_;
}

}  // namespace plantainpaddle
