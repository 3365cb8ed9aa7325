// Maps a key to its shard: the low bits of the XXH3 hash of service and key. Every instance
// computes the same shard, and nothing is stored for a key.
#pragma once

#include <string_view>

#include "base/ids.h"

namespace plantainpaddle {

// Returns the shard of a key, below shard_count, which must be a power of two. Takes time linear in
// the length of the key, whatever the number of shards.
shard_id shard_of(const service_id& service, std::string_view key,
                  std::uint32_t shard_count) noexcept;

}  // namespace plantainpaddle
