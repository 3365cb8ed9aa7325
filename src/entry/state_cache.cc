#include "entry/state_cache.h"

#include "base/hash.h"
#include "table/parse.h"

namespace plantainpaddle {

namespace {

// The hashes of all items are combined by exclusive or, which doesn't depend on their order.
std::uint64_t hash_of(const state_item& item) { return hash64(item.key, item.version); }

}  // namespace

result<bool> state_cache::apply(const state_item& item) {
  const auto known = items_.find(item.key);
  if (known != items_.end() && known->second.version >= item.version) return false;
  if (!item.key.starts_with(keys_.prefix)) return false;
  const std::string_view rest = std::string_view(item.key).substr(keys_.prefix.size());
  if (rest.starts_with("table/")) {
    auto read = parse_service_table(item.value);
    if (!read) return read.error();
    const service_id name = read->service.name;
    tables_[name] = std::move(*read);
  } else if (rest.starts_with("layout/")) {
    auto read = parse_service_layout(item.value);
    if (!read) return read.error();
    const service_id name = read->service;
    layouts_[name] = std::move(*read);
  } else if (rest.starts_with("cell/")) {
    auto read = parse_cell_record(item.value);
    if (!read) return read.error();
    const cell_id name = read->cell;
    cells_[name] = {std::move(*read), item.version};
  } else {
    return false;
  }
  if (known != items_.end()) summary_ ^= hash_of(known->second);
  summary_ ^= hash_of(item);
  items_[item.key] = item;
  return true;
}

std::uint64_t state_cache::version_of(const std::string& key) const {
  const auto known = items_.find(key);
  return known == items_.end() ? 0 : known->second.version;
}

state_digest state_cache::digest() const {
  state_digest digest{summary_, true, {}};
  for (const auto& [key, item] : items_) digest.entries.push_back({key, item.version});
  return digest;
}

state_push state_cache::newer_than(const state_digest& theirs, std::size_t max_bytes) const {
  std::map<std::string_view, std::uint64_t> versions;
  for (const auto& entry : theirs.entries) versions[entry.key] = entry.version;
  state_push push;
  std::size_t bytes = 0;
  for (const auto& [key, item] : items_) {
    const auto known = versions.find(key);
    if (known != versions.end() && known->second >= item.version) continue;
    bytes += key.size() + item.value.size();
    if (bytes > max_bytes && !push.items.empty()) break;
    push.items.push_back(item);
  }
  return push;
}

}  // namespace plantainpaddle
