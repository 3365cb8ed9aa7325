// A pipe that polls as writable takes PIPE_BUF bytes without blocking, so no write is larger than
// that. The rate is bounded by a token bucket that holds the bytes of one second.
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
  const double elapsed = std::chrono::duration<double>(now - last_refill_).count();
  allowance_ = std::min(rate, allowance_ + std::max(0.0, elapsed) * rate);
  last_refill_ = now;
  const bool low_priority = level <= log_level::debug;
  const std::size_t capacity = low_priority ? max_bytes / 2 : max_bytes;
  const double reserve = low_priority ? rate / 2 : 0;
  const auto size = static_cast<double>(line.size());
  if (pending_.size() + line.size() > capacity || allowance_ - size < reserve) {
    ++dropped_;
    return false;
  }
  allowance_ -= size;
  pending_ += line;
  if (!settings_.buffered) write_some();
  return true;
}

void log_buffer::flush(monotonic_time) {
  const std::lock_guard lock(mutex_);
  write_some();
  if (dropped_ == reported_ || pending_.size() > max_bytes / 2) return;
  pending_ += "{\"level\":\"warning\",\"message\":\"log lines dropped\",\"count\":" +
              std::to_string(dropped_ - reported_) + "}\n";
  reported_ = dropped_;
}

void log_buffer::write_some() {
  std::size_t written = 0;
  while (written < pending_.size()) {
    pollfd ready{settings_.descriptor, POLLOUT, 0};
    if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) break;
    const std::size_t size = std::min<std::size_t>(PIPE_BUF, pending_.size() - written);
    const auto accepted = ::write(settings_.descriptor, pending_.data() + written, size);
    if (accepted <= 0) break;
    written += static_cast<std::size_t>(accepted);
  }
  pending_.erase(0, written);
}

std::uint64_t log_buffer::dropped() const {
  const std::lock_guard lock(mutex_);
  return dropped_;
}

}  // namespace plantainpaddle
