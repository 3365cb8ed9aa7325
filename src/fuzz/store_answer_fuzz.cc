// What a store may answer: bodies of reads and writes, lines of a watch, the instance list, and the
// values themselves.
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "ownership/cell_record.h"
#include "platform/etcd_codec.h"
#include "platform/instance_list.h"

using namespace plantainpaddle;

namespace {

void check(bool holds) {
  if (!holds) std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  parse_range_answer(text);
  parse_swap_answer(text);
  parse_watch_line(text);
  parse_instance_list(text);
  const auto decoded = decode_base64(encode_base64(text));
  check(decoded.has_value() && *decoded == text);
  if (const auto bytes = decode_base64(text)) decode_base64(encode_base64(*bytes));
  if (const auto record = parse_cell_record(text)) {
    const auto again = parse_cell_record(format_cell_record(*record));
    check(again.has_value() && *again == *record);
  }
  if (const auto layout = parse_service_layout(text)) {
    const auto again = parse_service_layout(format_service_layout(*layout));
    check(again.has_value() && *again == *layout);
  }
  return 0;
}
