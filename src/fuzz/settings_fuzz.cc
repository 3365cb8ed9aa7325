// Settings files: read or refused, never more.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "entry/settings.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace plantainpaddle;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto settings = parse_entry_settings(text, "file");
  if (settings && (settings->threads == 0 || settings->store.empty() || settings->name.empty())) {
    std::abort();
  }
  return 0;
}
