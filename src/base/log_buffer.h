// Lines on their way to a descriptor whose reader may be slow or gone: bounded in bytes, in bytes a
// second, and never waited for.
//
//   log_buffer lines({.descriptor = 1});
//   lines.add(std::move(line), log_level::info, now);
//   lines.flush(now);
//
// Room is kept for the more important lines: those of served requests may use half of it, others
// all. Thread-safe.
#pragma once

#include <cstdint>
#include <mutex>
#include <string>

#include "base/log.h"

namespace plantainpaddle {

class log_buffer {
 public:
  static constexpr std::size_t max_bytes = 256 << 10;  // that wait to be written

  explicit log_buffer(log_settings settings) : settings_(std::move(settings)) {}

  // False if the line was dropped. It must end with a line feed.
  bool add(std::string_view line, log_level level, monotonic_time now);
  void flush(monotonic_time now);
  std::uint64_t dropped() const;

 private:
  void write_some();

  log_settings settings_;
  mutable std::mutex mutex_;
  std::string waiting_;
  double allowance_ = 0;  // bytes that may be added now
  monotonic_time refilled_{};
  std::uint64_t dropped_ = 0;
  std::uint64_t told_ = 0;  // of the dropped lines
};

}  // namespace plantainpaddle
