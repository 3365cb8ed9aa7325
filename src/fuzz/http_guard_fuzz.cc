// The guard, the parser behind it, and the heads made from what passes: whatever the bytes, no
// crash, and nothing goes to an upstream that the guard itself would refuse.
#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <memory>

#include "entry/heads.h"
#include "entry/http_guard.h"
#include "upstream/message_parser.h"

namespace {

using namespace plantainpaddle;

void require(bool holds) {
  if (!holds) std::abort();
}

// Feeds the body in pieces as a socket would, window by window.
void read_body(message_parser<true>& parser, wire_buffer& buffer, std::string_view rest,
               std::size_t window, std::size_t step) {
  std::uint64_t decoded = parser.body_bytes();
  while (!parser.is_done()) {
    boost::beast::error_code code;
    parser.parse_body(buffer, code);
    if (code) return;
    require(parser.body().size() == parser.body_bytes() - decoded);
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

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto head_size = find_head_end(text, 0);
  if (head_size == 0) {
    check_partial_head(text);
    return 0;
  }
  const auto head = text.substr(0, head_size);
  if (check_head(head) != head_fault::none || head_size > max_head_bytes) return 0;
  require(check_partial_head(head) == head_fault::none);
  auto buffer = std::make_unique<wire_buffer>();
  std::memcpy(buffer->bytes.data(), head.data(), head.size());
  buffer->end = head.size();
  auto parser = std::make_unique<message_parser<true>>();
  boost::beast::error_code code;
  parser->parse_head(*buffer, head_size, code);
  if (code) return 0;
  require(parser->is_header_done() && buffer->begin == head_size);
  require(!(parser->chunked() && parser->content_length()));
  std::string sent;
  write_request_head(sent, *parser, {.request_id = "r", .forwarded = "for=192.0.2.1"},
                     {body_framing::length, 3}, own_header_names);
  require(check_head(sent) == head_fault::none);
  read_body(*parser, *buffer, text.substr(head_size), head_size, 1 + size % 7);
  return 0;
}
