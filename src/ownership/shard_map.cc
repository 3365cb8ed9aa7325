#include "ownership/shard_map.h"

#include "base/hash.h"

namespace plantainpaddle {

shard_id shard_of(const service_id& service, std::string_view key,
                  std::uint32_t shard_count) noexcept {
  return shard_id{static_cast<std::uint32_t>(hash64(service.value, key) & (shard_count - 1))};
}

}  // namespace plantainpaddle
