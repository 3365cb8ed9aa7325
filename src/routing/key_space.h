// How the keys of a service are divided into shards: by hash, or as numbers in ranges of neighbours
// that are split and merged as the load moves.
//
//   auto shard = find_shard(service_row, keys, key_text);    // nothing: the key is malformed
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "table/rows.h"

namespace plantainpaddle {

// As many shards as the service's row says.
struct hashed_keys {
  bool operator==(const hashed_keys&) const = default;
};

// Shard i has the keys from first_keys[i] to the one before first_keys[i + 1].
struct numbered_keys {
  std::vector<std::uint32_t> first_keys;  // rising; the first is 0
  bool operator==(const numbered_keys&) const = default;
};

inline constexpr std::uint32_t numbered_key_count = 65536;

using key_space = std::variant<hashed_keys, numbered_keys>;

// The number that a key's text stands for; nothing if it isn't one below numbered_key_count.
std::optional<std::uint32_t> parse_numbered_key(std::string_view key);

// Nothing: no shard can have such a key, or there is none yet.
std::optional<shard_id> find_shard(const service_row& service, const key_space& keys,
                                   std::string_view key);

}  // namespace plantainpaddle
