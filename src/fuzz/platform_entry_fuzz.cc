// What other writers put into the platform's store: desired states and upstreams' entries.
#include <cstdint>
#include <cstdlib>

#include "platform/platform_codec.h"
#include "routing/registry_snapshot.h"

using namespace plantainpaddle;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto entry = parse_registered_upstream("servers/i-1", text);
  if (entry && (entry->slots == 0 || entry->address.empty())) std::abort();
  const auto state = parse_desired_state(text);
  if (!state) return 0;
  upstream_list list;
  if (entry) list.on_entry(*entry, monotonic_time{});
  const auto snapshot = make_registry_snapshot(*state, list, {}, {}, {}, monotonic_time{});
  for (const auto& route : snapshot.split_routes) {
    const auto match = match_route(snapshot, route.row.host, route.row.path_prefix, size);
    if (match.route != nullptr && match.service == nullptr) std::abort();
  }
  return 0;
}
