// Division of a service's keys into shards: by hash, or by ranges of numbers, which are split and
// merged as the load shifts.
//
//   auto shard = find_shard(service_row, keys, key_text);    // nullopt: no shard has the key
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

// Keys are any text. The number of shards is that of the service's row.
struct hashed_keys {
  bool operator==(const hashed_keys&) const = default;
};

// Keys are numbers. Shard i has the keys from first_keys[i] up to, but not including,
// first_keys[i + 1]; the last shard has the rest.
struct numbered_keys {
  std::vector<std::uint32_t> first_keys;  // ascending; the first is 0
  bool operator==(const numbered_keys&) const = default;
};

// Numbered keys are less than this.
inline constexpr std::uint32_t numbered_key_count = 65536;

using key_space = std::variant<hashed_keys, numbered_keys>;

// Parses a decimal number. Returns nullopt unless all of the text is a number less than
// numbered_key_count.
std::optional<std::uint32_t> parse_numbered_key(std::string_view key);

// Returns the shard of a key, or nullopt if the key is malformed or there are no shards yet. Takes
// O(log shards) for numbered keys.
std::optional<shard_id> find_shard(const service_row& service, const key_space& keys,
                                   std::string_view key);

}  // namespace plantainpaddle
