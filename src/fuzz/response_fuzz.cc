// The parser of upstreams' responses and the heads made from them: whatever the bytes, no crash,
// all fields are views of the buffer, and the head that the caller gets has the same fields.
#include <algorithm>
#include <cstdint>
#include <string>

#include "entry/heads.h"
#include "entry/http_guard.h"
#include "fuzz/parsed_message.h"

namespace {

using namespace plantainpaddle;

constexpr unsigned first_final_status = 200;
constexpr std::size_t added_fields = 4;  // at most, by the router

using parsed_response = parsed_message<false>;

// Checks that every field the caller gets is one that the upstream sent, or the router's own.
void check_relayed(const parsed_response& received, std::string_view sent) {
  require(sent.size() > max_head_bytes || find_head_end(sent, 0) == sent.size());
  if (sent.size() > max_head_bytes) return;
  parsed_response relayed;
  require(relayed.parse(sent));
  require(relayed.parser->status() == received.parser->status());
  for (const auto& field : relayed.parser->fields()) {
    const auto known = received.parser->fields();
    const bool same = std::any_of(known.begin(), known.end(), [&](const auto& one) {
      return one.name == field.name && one.value == field.value;
    });
    require(same || field.id == boost::beast::http::field::content_length ||
            field.name == own_header_names.request_id || field.name == own_header_names.outcome);
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto head_size = find_head_end(text, 0);
  if (head_size == 0 || head_size > max_head_bytes) return 0;
  parsed_response received;
  if (!received.parse(text.substr(0, head_size))) return 0;
  require(received.holds_fields());
  require(received.parser->reason().empty() ||
          holds_text(*received.buffer, received.parser->reason()));
  const bool final = received.parser->status() >= first_final_status;
  if (final && received.parser->fields().size() + added_fields <= max_head_fields) {
    std::string sent;
    write_response_head(sent, *received.parser, {.request_id = "r", .outcome = "complete"},
                        {body_framing::length, 3}, own_header_names);
    check_relayed(received, sent);
  }
  read_body(*received.parser, *received.buffer, text.substr(head_size), head_size, 1 + size % 7);
  return 0;
}
