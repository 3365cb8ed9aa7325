// Cell records and layouts from the store: any bytes are parsed or refused, and what was parsed
// says the same once formatted and parsed again.

#include <cstdint>
#include <cstdlib>

#include "ownership/cell_record.h"
#include "ownership/layout.h"

using namespace plantainpaddle;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  if (const auto record = parse_cell_record(text)) {
    const auto again = parse_cell_record(format_cell_record(*record));
    if (!again || *again != *record) std::abort();
  }
  if (const auto layout = parse_service_layout(text)) {
    const auto again = parse_service_layout(format_service_layout(*layout));
    if (!again || *again != *layout) std::abort();
    for (const auto& cell : layout->cells) home_shards(*layout, cell);
  }
  return 0;
}
