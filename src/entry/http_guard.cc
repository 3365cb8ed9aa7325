// Checks the head in one pass, line by line. A line ends at CR LF, and any other CR, LF or control
// character is a fault, so that nothing passes that another parser could take for a line's end.
// Field names must be tokens, so that "Content-Length :" or "\tContent-Length" can't hide a length.
// The cost per byte is constant: a few comparisons and table look-ups.
#include "entry/http_guard.h"

#include <array>
#include <cstdint>

namespace plantainpaddle {
namespace {

enum character_kind : std::uint8_t { is_token = 1, is_value = 2, is_target = 4 };

constexpr std::array<std::uint8_t, 256> make_kinds() {
  std::array<std::uint8_t, 256> kinds{};
  for (unsigned c = 0x21; c < 0x7f; ++c) kinds[c] = is_value | is_target;
  for (unsigned c = 0x80; c < 0x100; ++c) kinds[c] = is_value;
  kinds[' '] = kinds['\t'] = is_value;
  for (unsigned c = '0'; c <= '9'; ++c) kinds[c] |= is_token;
  for (unsigned c = 'a'; c <= 'z'; ++c) kinds[c] |= is_token;
  for (unsigned c = 'A'; c <= 'Z'; ++c) kinds[c] |= is_token;
  for (const char c : std::string_view("!#$%&'*+-.^_`|~")) {
    kinds[static_cast<unsigned char>(c)] |= is_token;
  }
  for (const char c : std::string_view("#\"<>\\^`{|}")) {
    kinds[static_cast<unsigned char>(c)] &= static_cast<std::uint8_t>(~is_target);
  }
  return kinds;
}

constexpr auto kinds = make_kinds();

bool all_of_kind(std::string_view text, character_kind kind) {
  for (const char c : text) {
    if ((kinds[static_cast<unsigned char>(c)] & kind) == 0) return false;
  }
  return true;
}

bool is_control(char c) { return (static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f; }

bool equals_lower(std::string_view text, std::string_view lower) {
  if (text.size() != lower.size()) return false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i] >= 'A' && text[i] <= 'Z' ? static_cast<char>(text[i] + 32) : text[i];
    if (c != lower[i]) return false;
  }
  return true;
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

bool is_host(std::string_view text) {
  constexpr std::size_t max_length = 255;
  if (text.empty() || text.size() > max_length) return false;
  for (const char c : text) {
    const bool plain = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    if (!plain && std::string_view("-._~:[]%").find(c) == std::string_view::npos) return false;
  }
  return true;
}

bool is_length(std::string_view text) {
  constexpr std::size_t max_digits = 18;
  if (text.empty() || text.size() > max_digits) return false;
  for (const char c : text) {
    if (c < '0' || c > '9') return false;
  }
  return true;
}

head_fault check_request_line(std::string_view line) {
  const auto first = line.find(' ');
  const auto last = line.rfind(' ');
  if (first == std::string_view::npos || first == last) return head_fault::request_line;
  const auto method = line.substr(0, first);
  const auto target = line.substr(first + 1, last - first - 1);
  if (method.empty() || !all_of_kind(method, is_token)) return head_fault::method;
  if (method == "CONNECT" || method == "TRACE") return head_fault::method;
  if (line.substr(last + 1) != "HTTP/1.1") {
    return line.substr(last + 1).starts_with("HTTP/") ? head_fault::version
                                                      : head_fault::request_line;
  }
  if (!target.starts_with('/') || !all_of_kind(target, is_target)) return head_fault::target;
  return head_fault::none;
}

// Counts of the fields that may occur only once.
struct seen_fields {
  unsigned hosts = 0;
  unsigned lengths = 0;
  unsigned codings = 0;
};

head_fault check_field(std::string_view line, seen_fields& seen) {
  if (line.front() == ' ' || line.front() == '\t') return head_fault::folded_line;
  const auto colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0) return head_fault::field_name;
  const auto name = line.substr(0, colon);
  if (!all_of_kind(name, is_token)) return head_fault::field_name;
  const auto value = trim(line.substr(colon + 1));
  if (!all_of_kind(value, is_value)) return head_fault::field_value;
  if (equals_lower(name, "host")) {
    if (++seen.hosts > 1 || !is_host(value)) return head_fault::host;
  } else if (equals_lower(name, "content-length")) {
    if (++seen.lengths > 1 || !is_length(value)) return head_fault::length;
  } else if (equals_lower(name, "transfer-encoding")) {
    if (++seen.codings > 1 || !equals_lower(value, "chunked")) return head_fault::transfer_coding;
  }
  if (seen.lengths != 0 && seen.codings != 0) return head_fault::length_and_chunked;
  return head_fault::none;
}

head_fault check_line_bytes(std::string_view line) {
  for (const char c : line) {
    if (c == '\r' || c == '\n') return head_fault::line_end;
    if (is_control(c)) return head_fault::control_character;
  }
  return head_fault::none;
}

}  // namespace

std::string_view fault_name(head_fault fault) noexcept {
  constexpr std::array<std::string_view, head_fault_count> names{
      "none",     "line-end",  "control-character", "request-line",       "method",
      "target",   "version",   "folded-line",       "field-name",         "field-value",
      "host",     "length",    "transfer-coding",   "length-and-chunked", "too-many-fields",
      "too-long", "pipelining"};
  return names[static_cast<std::size_t>(fault)];
}

unsigned fault_status(head_fault fault) noexcept {
  switch (fault) {
    case head_fault::method:
      return 405;
    case head_fault::version:
      return 505;
    case head_fault::transfer_coding:
      return 501;
    case head_fault::too_many_fields:
    case head_fault::too_long:
      return 431;
    default:
      return 400;
  }
}

std::size_t find_head_end(std::string_view bytes, std::size_t searched) noexcept {
  const auto end = bytes.find("\r\n\r\n", searched < 3 ? 0 : searched - 3);
  return end == std::string_view::npos ? 0 : end + 4;
}

head_fault check_head(std::string_view head, std::size_t max_fields) noexcept {
  seen_fields seen;
  std::size_t lines = 0;
  while (!head.empty()) {
    const auto end = head.find("\r\n");
    if (end == std::string_view::npos) return head_fault::line_end;
    const auto line = head.substr(0, end);
    head.remove_prefix(end + 2);
    if (line.empty()) break;
    auto fault = check_line_bytes(line);
    if (fault == head_fault::none) {
      fault = lines == 0 ? check_request_line(line) : check_field(line, seen);
    }
    if (fault != head_fault::none) return fault;
    if (lines++ > max_fields) return head_fault::too_many_fields;
  }
  if (lines == 0 || !head.empty()) return head_fault::line_end;
  return seen.hosts == 1 ? head_fault::none : head_fault::host;
}

head_fault check_partial_head(std::string_view bytes, std::size_t max_fields) noexcept {
  std::size_t lines = 0;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const char c = bytes[i];
    if (c == '\n' && (i == 0 || bytes[i - 1] != '\r')) return head_fault::line_end;
    if (c == '\r' && i + 1 < bytes.size() && bytes[i + 1] != '\n') return head_fault::line_end;
    if (c == '\n' && ++lines > max_fields + 1) return head_fault::too_many_fields;
    if (c != '\r' && c != '\n' && is_control(c)) return head_fault::control_character;
  }
  if (bytes.starts_with('\r')) return head_fault::line_end;
  return head_fault::none;
}

}  // namespace plantainpaddle
