#include "routing/key_space.h"

#include <algorithm>
#include <charconv>

#include "ownership/shard_map.h"

namespace plantainpaddle {

std::optional<std::uint32_t> parse_numbered_key(std::string_view key) {
  std::uint32_t number = 0;
  const auto parsed = std::from_chars(key.data(), key.data() + key.size(), number);
  const bool whole = parsed.ec == std::errc() && parsed.ptr == key.data() + key.size();
  if (!whole || number >= numbered_key_count) return std::nullopt;
  return number;
}

namespace {

struct shard_finder {
  const service_row& service;
  std::string_view key;

  std::optional<shard_id> operator()(const hashed_keys&) const {
    return shard_of(service.name, key, service.shards);
  }

  std::optional<shard_id> operator()(const numbered_keys& keys) const {
    const auto number = parse_numbered_key(key);
    if (!number) return std::nullopt;
    const auto next = std::upper_bound(keys.first_keys.begin(), keys.first_keys.end(), *number);
    if (next == keys.first_keys.begin()) return std::nullopt;
    return shard_id{static_cast<std::uint32_t>(next - keys.first_keys.begin() - 1)};
  }
};

}  // namespace

std::optional<shard_id> find_shard(const service_row& service, const key_space& keys,
                                   std::string_view key) {
  return std::visit(shard_finder{service, key}, keys);
}

}  // namespace plantainpaddle
