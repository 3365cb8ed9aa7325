// Buffers log lines for a descriptor whose reader may be slow or gone. Buffered bytes and bytes per
// second are bounded, and neither adding nor writing blocks on the reader; excess lines are
// dropped.
//
//   log_buffer lines({.descriptor = 1});
//   lines.add(std::move(line), log_level::info, now);
//   lines.flush(now);
//
// Half of both bounds is reserved for the more important lines: `trace` and `debug` lines, such as
// those of served requests, may use only the other half. Thread-safe.
#pragma once

#include <cstdint>
#include <mutex>
#include <string>

#include "base/log.h"

namespace plantainpaddle {

class log_buffer {
 public:
  static constexpr std::size_t max_bytes = 256 << 10;  // of lines not yet written

  explicit log_buffer(log_settings settings) : settings_(std::move(settings)) {}

  // Returns false if the line was dropped. The line must end with a line feed.
  bool add(std::string_view line, log_level level, monotonic_time now);
  // Writes what the descriptor takes without blocking. If lines were dropped since the last report
  // and half of the buffer is free, adds a line with their count.
  void flush(monotonic_time now);
  std::uint64_t dropped() const;

 private:
  void write_some();

  log_settings settings_;
  mutable std::mutex mutex_;
  std::string pending_;
  double allowance_ = 0;  // bytes that may be added now
  monotonic_time last_refill_{};
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_ = 0;  // dropped lines that a line in the log has counted
};

}  // namespace plantainpaddle
