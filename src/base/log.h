// Log lines as JSON, one object a line, on standard output. A line is never waited for: what the
// reader doesn't take in time is dropped and counted, lines of served requests first.
//
//   start_log({.level = log_level::info, .instance = "a1"});
//   log_line(log_level::warning, {.message = "store is slow", .at = step::store, .peer = address});
//   log_event(log_level::info, "range moved", {{"first", 17}, {"to", upstream.value}});
//   flush_log();                                   // several times a second, and before the end
//
// Every line has time, level and message; the other members only where they are set.
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

// `trace` is for what went as it should: the first to be dropped.
enum class log_level { trace, debug, info, warning, error };

struct log_settings {
  log_level level = log_level::info;
  std::string instance;
  // Lines wait for flush_log(), which saves system calls; otherwise each is written at once.
  bool buffered = false;
  std::size_t bytes_per_s = 256 << 10;  // over which lines are dropped
  int descriptor = 1;                   // standard output
};

struct log_fields {
  std::string_view message;
  std::optional<step> at;
  std::string_view peer;
  std::string_view service;
  std::optional<std::uint64_t> revision;
  std::string_view request;
};

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

  std::string_view name;
  std::variant<std::int64_t, double, std::string_view> value;  // an empty text is left out
};

void start_log(const log_settings& settings);
bool log_enabled(log_level level) noexcept;
void set_log_level(log_level level) noexcept;
void log_line(log_level level, const log_fields& fields);
void log_event(log_level level, std::string_view message, std::initializer_list<log_value> values);
void log_error(log_level level, const error& e);
// Writes what the reader takes without a wait.
void flush_log();
std::uint64_t dropped_log_lines() noexcept;
std::optional<log_level> parse_log_level(std::string_view name);

}  // namespace plantainpaddle
