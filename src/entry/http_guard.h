// Checks a request's head strictly before any other parser sees it, against request smuggling.
//
//   auto size = find_head_end(bytes, searched);       // 0: incomplete
//   head_fault fault = check_head(bytes.substr(0, size));
//
// A head that two parsers may read differently is refused, not repaired: two lengths, a length with
// chunked, a bare LF or CR, folded lines, whitespace before the colon, control characters, absolute
// targets.
#pragma once

#include <cstddef>
#include <string_view>

#include "upstream/message_parser.h"

namespace plantainpaddle {

// Why a head is refused; fault_name() gives the name in metrics.
enum class head_fault {
  none,
  line_end,           // a bare CR or LF, or an empty line in front
  control_character,  // NUL and the other control characters except tab
  request_line,       // not "METHOD SP target SP version"
  method,             // CONNECT, TRACE or not a token
  target,             // not "/path" with visible characters
  version,            // not HTTP/1.1
  folded_line,        // obs-fold
  field_name,         // empty, blank before the colon, or not a token
  field_value,        // a character that isn't allowed
  host,               // missing, repeated or malformed
  length,             // repeated, or not 1 to 18 digits
  transfer_coding,    // not exactly "chunked" once
  length_and_chunked,
  too_many_fields,
  too_long,    // over the limit of the head's size
  pipelining,  // bytes of the next request came before the response
};
inline constexpr std::size_t head_fault_count =
    static_cast<std::size_t>(head_fault::pipelining) + 1;

std::string_view fault_name(head_fault fault) noexcept;
// HTTP status of the refusal: 400, 405, 431, 501 or 505.
unsigned fault_status(head_fault fault) noexcept;

// Returns the size of the head in bytes with its empty line, or 0 if it is incomplete. The first
// `searched` bytes were searched by earlier calls; only the last three of them are searched again,
// because the empty line's four bytes may have begun there.
std::size_t find_head_end(std::string_view bytes, std::size_t searched) noexcept;

// Checks a complete head with its empty line in one pass, without allocation.
head_fault check_head(std::string_view head, std::size_t max_fields = max_head_fields) noexcept;

// Finds a fault in the bytes of an incomplete head that no further bytes can repair, so that the
// request is refused without waiting for the rest.
head_fault check_partial_head(std::string_view bytes,
                              std::size_t max_fields = max_head_fields) noexcept;

}  // namespace plantainpaddle
