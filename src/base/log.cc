// Lines pass through Boost.Log to a log_buffer, so that no caller blocks on a slow reader.
#include "base/log.h"

#include <array>
#include <atomic>
#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <charconv>
#include <cmath>
#include <ctime>

#include "base/log_buffer.h"

namespace plantainpaddle {
namespace {

namespace sinks = boost::log::sinks;

std::atomic<log_level> threshold{log_level::info};
std::string& instance_label() {
  static std::string label;
  return label;
}

std::shared_ptr<log_buffer>& buffer() {
  static std::shared_ptr<log_buffer> lines;
  return lines;
}

class buffer_backend : public sinks::basic_formatted_sink_backend<char, sinks::concurrent_feeding> {
 public:
  static void consume(const boost::log::record_view& record, const string_type& line) {
    const auto level = boost::log::extract_or_default<int>("Severity", record, 0);
    buffer()->add(line + '\n', static_cast<log_level>(level), monotonic_now());
  }
};

std::string_view level_name(log_level level) {
  constexpr std::array<std::string_view, 5> names{"trace", "debug", "info", "warning", "error"};
  return names[static_cast<std::size_t>(level)];
}

void append_number(std::string& out, std::int64_t number) {
  std::array<char, 24> digits{};
  out.append(digits.data(),
             std::to_chars(digits.data(), digits.data() + digits.size(), number).ptr);
}

void append_padded(std::string& out, std::int64_t number, int width) {
  std::string digits = std::to_string(number);
  out.append(static_cast<std::size_t>(std::max(0, width - static_cast<int>(digits.size()))), '0');
  out += digits;
}

void append_time(std::string& out, duration since_epoch) {
  const auto whole_seconds = std::chrono::duration_cast<seconds>(since_epoch);
  const std::time_t time = whole_seconds.count();
  std::tm utc{};
  gmtime_r(&time, &utc);
  constexpr int tm_year_base = 1900;
  append_padded(out, utc.tm_year + tm_year_base, 4);
  for (const auto& [separator, number] : {std::pair{'-', utc.tm_mon + 1},
                                          {'-', utc.tm_mday},
                                          {'T', utc.tm_hour},
                                          {':', utc.tm_min},
                                          {':', utc.tm_sec}}) {
    out += separator;
    append_padded(out, number, 2);
  }
  out += '.';
  append_padded(out, (since_epoch - whole_seconds).count(), 6);
  out += 'Z';
}

void append_text(std::string& out, std::string_view text) {
  constexpr std::string_view digits = "0123456789abcdef";
  out += '"';
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (byte < 0x20) {
      out += "\\u00";
      out += digits[byte >> 4];
      out += digits[byte & 0xF];
    } else {
      out += c;
    }
  }
  out += '"';
}

void append_member(std::string& out, std::string_view name, std::string_view text) {
  if (text.empty()) return;
  out += ",\"";
  out += name;
  out += "\":";
  append_text(out, text);
}

struct value_writer {
  std::string& out;
  std::string_view name;

  void operator()(std::int64_t number) const {
    begin();
    append_number(out, number);
  }
  void operator()(double number) const {
    begin();
    std::array<char, 32> digits{};
    constexpr int decimals = 3;
    if (!std::isfinite(number)) number = 0;
    out.append(digits.data(), std::to_chars(digits.data(), digits.data() + digits.size(), number,
                                            std::chars_format::fixed, decimals)
                                  .ptr);
  }
  void operator()(std::string_view text) const { append_member(out, name, text); }

 private:
  void begin() const {
    out += ",\"";
    out += name;
    out += "\":";
  }
};

std::string begin_line(log_level level, std::string_view message) {
  std::string line = "{\"time\":\"";
  append_time(line, wall_time());
  line += "\",\"level\":\"";
  line += level_name(level);
  line += "\",\"message\":";
  append_text(line, message);
  append_member(line, "instance", instance_label());
  return line;
}

void end_line(log_level level, std::string line) {
  line += '}';
  static boost::log::sources::severity_logger_mt<int> logger;
  BOOST_LOG_SEV(logger, static_cast<int>(level)) << line;
}

}  // namespace

void start_log(const log_settings& settings) {
  threshold = settings.level;
  instance_label() = settings.instance;
  buffer() = std::make_shared<log_buffer>(settings);
  using frontend = sinks::unlocked_sink<buffer_backend>;
  boost::log::core::get()->remove_all_sinks();
  auto sink = boost::make_shared<frontend>(boost::make_shared<buffer_backend>());
  boost::log::core::get()->add_sink(sink);
}

bool log_enabled(log_level level) noexcept { return level >= threshold.load(); }

void set_log_level(log_level level) noexcept { threshold = level; }

void log_line(log_level level, const log_fields& fields) {
  if (!log_enabled(level)) return;
  std::string line = begin_line(level, fields.message);
  if (fields.at) append_member(line, "step", step_name(*fields.at));
  append_member(line, "peer", fields.peer);
  append_member(line, "service", fields.service);
  if (fields.revision) {
    value_writer{line, "revision"}(static_cast<std::int64_t>(*fields.revision));
  }
  append_member(line, "request", fields.request);
  end_line(level, std::move(line));
}

void log_event(log_level level, std::string_view message, std::initializer_list<log_value> values) {
  if (!log_enabled(level)) return;
  std::string line = begin_line(level, message);
  for (const auto& value : values) std::visit(value_writer{line, value.name}, value.value);
  end_line(level, std::move(line));
}

void log_error(log_level level, const error& e) {
  log_line(level,
           {.message = e.detail + " (" + e.code.message() + ")", .at = e.at, .peer = e.peer});
}

void flush_log() {
  if (buffer()) buffer()->flush(monotonic_now());
}

std::uint64_t dropped_log_lines() noexcept { return buffer() ? buffer()->dropped() : 0; }

std::optional<log_level> parse_log_level(std::string_view name) {
  for (const auto level : {log_level::trace, log_level::debug, log_level::info, log_level::warning,
                           log_level::error}) {
    if (level_name(level) == name) return level;
  }
  return std::nullopt;
}

}  // namespace plantainpaddle
