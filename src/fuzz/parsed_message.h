// A message that a fuzz target parses in a buffer of its own, as the data path does, and checks of
// what the parser keeps.
#pragma once

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <string_view>

#include "upstream/message_parser.h"

namespace plantainpaddle {

inline void require(bool holds) {
  if (!holds) std::abort();
}

// Returns whether the text lies within the bytes that the buffer holds.
inline bool holds_text(const wire_buffer& buffer, std::string_view text) {
  const char* const first = buffer.bytes.data();
  return text.data() >= first && text.data() + text.size() <= first + buffer.end;
}

template <bool is_request>
struct parsed_message {
  std::unique_ptr<wire_buffer> buffer = std::make_unique<wire_buffer>();
  std::unique_ptr<message_parser<is_request>> parser =
      std::make_unique<message_parser<is_request>>();

  // Returns false if the parser refuses the head, which must not exceed max_head_bytes.
  bool parse(std::string_view head) {
    std::memcpy(buffer->bytes.data(), head.data(), head.size());
    buffer->end = head.size();
    boost::beast::error_code code;
    parser->parse_head(*buffer, head.size(), code);
    return !code;
  }

  // Returns whether all fields are views of the buffer.
  bool holds_fields() const {
    const auto fields = parser->fields();
    return std::all_of(fields.begin(), fields.end(), [&](const auto& field) {
      return holds_text(*buffer, field.name) && holds_text(*buffer, field.value);
    });
  }
};

// Feeds the body to the parser in pieces, as a socket would. The pieces of `rest` have at most
// `step` bytes; `window` is where the buffer keeps them.
template <class Parser>
void read_body(Parser& parser, wire_buffer& buffer, std::string_view rest, std::size_t window,
               std::size_t step) {
  std::uint64_t decoded = parser.body_bytes();
  while (!parser.is_done()) {
    boost::beast::error_code code;
    parser.parse_body(buffer, code);
    if (code) return;
    require(parser.body().size() == parser.body_bytes() - decoded);
    require(parser.body().empty() || holds_text(buffer, parser.body()));
    decoded = parser.body_bytes();
    parser.clear_body();
    if (parser.is_done()) return;
    buffer.move_unread(window);
    const auto space = wire_buffer::capacity - buffer.end;
    const auto size = std::min({step, rest.size(), space});
    if (size == 0) return;
    std::memcpy(buffer.bytes.data() + buffer.end, rest.data(), size);
    buffer.end += size;
    rest.remove_prefix(size);
  }
}

}  // namespace plantainpaddle
