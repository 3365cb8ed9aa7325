// Records of ranges, and what instances tell each other: what reads well is written back the same.
#include <cstdint>
#include <cstdlib>

#include "entry/load_report.h"

using namespace plantainpaddle;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  if (const auto record = parse_range_record(text)) {
    if (parse_range_record(format_range_record(*record)) != record) std::abort();
    std::uint32_t next = 0;
    for (const auto& entry : record->ranges) {
      if (entry.first != next || entry.last < entry.first) std::abort();
      next = entry.last + 1;
    }
    if (next != last_numbered_key + 1) std::abort();
  }
  if (const auto report = parse_load_report(text)) {
    if (parse_load_report(format_load_report(*report)) != report) std::abort();
  }
  (void)parse_pushed_record(text);
  return 0;
}
