#include "entry/shard_counts.h"

#include "routing/key_space.h"

namespace plantainpaddle {

std::vector<shard_requests::entry> shard_counts::take() {
  std::vector<shard_requests::entry> taken;
  for (std::uint32_t i = 0; i < counts_.size(); ++i) {
    const std::uint32_t requests = counts_[i].exchange(0, std::memory_order_relaxed);
    if (requests != 0) taken.push_back({shard_id{i}, requests});
  }
  return taken;
}

void shard_counts::add(shard_id shard, std::string_view key) {
  if (!numbered_) return add(shard);
  const auto number = parse_numbered_key(key);
  if (!number) return;
  const std::lock_guard lock(keys_mutex_);
  const auto place = keys_.find(*number);
  if (place != keys_.end()) {
    ++place->second;
  } else if (keys_.size() < max_keys) {
    keys_.emplace(*number, 1);
  }
}

std::vector<std::pair<std::uint32_t, std::uint32_t>> shard_counts::take_keys() {
  const std::lock_guard lock(keys_mutex_);
  std::vector<std::pair<std::uint32_t, std::uint32_t>> taken(keys_.begin(), keys_.end());
  keys_.clear();
  return taken;
}

}  // namespace plantainpaddle
