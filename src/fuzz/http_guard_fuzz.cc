// The guard, the parser behind it, and the heads made from what passes: whatever the bytes, no
// crash, and nothing goes to an upstream that the guard itself would refuse.
#include <cstdint>

#include "entry/heads.h"
#include "entry/http_guard.h"
#include "fuzz/parsed_message.h"

using namespace plantainpaddle;

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
  parsed_message<true> received;
  if (!received.parse(head)) return 0;
  const auto& [buffer, parser] = received;
  require(parser->is_header_done() && buffer->begin == head_size);
  require(!(parser->chunked() && parser->content_length()));
  require(received.holds_fields() && holds_text(*buffer, parser->target()));
  std::string sent;
  write_request_head(sent, *parser, {.request_id = "r", .forwarded = "for=192.0.2.1"},
                     {body_framing::length, 3}, own_header_names);
  require(check_head(sent) == head_fault::none);
  read_body(*parser, *buffer, text.substr(head_size), head_size, 1 + size % 7);
  return 0;
}
