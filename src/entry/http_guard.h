// The strict check of a request's head, before any other parser sees it.
//
//   auto size = find_head_end(bytes, searched);       // 0: not whole yet
//   head_fault fault = check_head(bytes.substr(0, size));
//
// What two parsers may read differently is refused, not repaired: two lengths, length and chunked,
// bare LF or CR, folded lines, blanks before the colon, control characters, absolute targets.
#pragma once

#include <cstddef>
#include <string_view>

namespace plantainpaddle {

enum class head_fault {
  none,
  line_end,           // a bare CR or LF, or an empty line in front
  control_character,  // NUL and the like
  request_line,       // not "METHOD SP target SP version"
  method,             // CONNECT, TRACE or not a token
  target,             // not "/path" with visible characters
  version,            // not HTTP/1.1
  folded_line,        // obs-fold
  field_name,         // empty, blank before the colon, or not a token
  field_value,        // a character that isn't allowed
  host,               // none, two or a bad one
  length,             // two, or not a plain number
  transfer_coding,    // not exactly "chunked" once
  length_and_chunked,
  too_many_fields,
  too_long,    // the head's limit
  pipelining,  // bytes of a next request came before the answer
};
inline constexpr std::size_t head_fault_count =
    static_cast<std::size_t>(head_fault::pipelining) + 1;

std::string_view fault_name(head_fault fault) noexcept;
unsigned fault_status(head_fault fault) noexcept;  // 400, 405, 431, 501 or 505

// Size of the head with its empty line, 0 if it isn't whole. Bytes before `searched` needn't be
// looked at again.
std::size_t find_head_end(std::string_view bytes, std::size_t searched) noexcept;

// One pass over a whole head with its empty line; no allocation.
head_fault check_head(std::string_view head) noexcept;

// Whether the bytes read so far can't begin a good head, so that waiting for the rest is useless.
head_fault check_partial_head(std::string_view bytes) noexcept;

}  // namespace plantainpaddle
