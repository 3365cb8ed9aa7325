// Answers of the platform's metadata store, with any status.
#include <cstdint>

#include "platform/store_protocol.h"

using namespace plantainpaddle;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return 0;
  constexpr unsigned statuses[] = {200, 404, 410, 412, 429, 503};
  const unsigned status = statuses[data[0] % std::size(statuses)];
  const std::string_view body(reinterpret_cast<const char*>(data) + 1, size - 1);
  const item_protocol protocol;
  (void)protocol.read_range(status, body);
  (void)protocol.read_get(status, body);
  (void)protocol.read_poll(status, body);
  (void)protocol.read_transaction(status, body);
  (void)protocol.read_lease(status, body);
  (void)protocol.read_renewal(status, body);
  return 0;
}
