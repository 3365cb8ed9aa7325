// Log lines as JSON, one object per line, on standard output. Logging never blocks: lines that the
// reader of the output doesn't take in time are dropped and counted, lines of served requests
// first.
//
//   start_log({.level = log_level::info, .instance = "a1"});
//   log_line(log_level::warning, {.message = "store is slow", .at = step::store, .peer = address});
//   log_event(log_level::info, "range moved", {{"first", 17}, {"to", upstream.value}});
//   flush_log();                                   // several times a second, and at exit
//
// Every line has time, level and message; other members only if they are set.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "base/error.h"
#include "base/time.h"

namespace plantainpaddle {

// `trace` is for operations that succeeded; `trace` and `debug` lines are the first to be dropped.
enum class log_level { trace, debug, info, warning, error };

struct log_settings {
  log_level level = log_level::info;
  std::string instance;
  // Whether lines are kept until flush_log(), which saves system calls, or written at once.
  bool buffered = false;
  std::size_t bytes_per_s = 256 << 10;  // lines over this rate are dropped
  int descriptor = 1;                   // standard output
};

// The members that log lines have in common. Empty ones other than the message are omitted.
struct log_fields {
  std::string_view message;
  std::optional<step> at;
  std::string_view peer;
  std::string_view service;
  std::optional<std::uint64_t> revision;
  std::string_view request;
};

// A member of one line only: a number, a string or a duration, which is written in milliseconds.
struct log_value {
  template <class Number>
  requires std::is_arithmetic_v<Number> log_value(std::string_view n, Number v) : name(n) {
    if constexpr (std::is_floating_point_v<Number>) {
      value = static_cast<double>(v);
    } else {
      value = static_cast<std::int64_t>(v);
    }
  }
  log_value(std::string_view n, std::string_view v) : name(n), value(v) {}
  log_value(std::string_view n, duration v)
      : name(n), value(std::chrono::duration<double, std::milli>(v).count()) {}
  // Without a value the member is omitted.
  log_value(std::string_view n, std::optional<duration> v)
      : log_value(v ? log_value(n, *v) : log_value(n, std::string_view())) {}

  std::string_view name;
  std::variant<std::int64_t, double, std::string_view> value;  // an empty string is omitted
};

// Sets the level, instance name and output. To be called at program start, before other threads.
void start_log(const log_settings& settings);
bool log_enabled(log_level level) noexcept;
void set_log_level(log_level level) noexcept;
// Writes a line unless its level is disabled; so do the next two.
void log_line(log_level level, const log_fields& fields);
void log_event(log_level level, std::string_view message, std::initializer_list<log_value> values);
void log_error(log_level level, const error& e);
// Writes as many buffered lines as the output takes without blocking.
void flush_log();
// Returns how many lines were dropped since start_log().
std::uint64_t dropped_log_lines() noexcept;
// Parses "trace", "debug", "info", "warning" or "error".
std::optional<log_level> parse_log_level(std::string_view name);

}  // namespace plantainpaddle
