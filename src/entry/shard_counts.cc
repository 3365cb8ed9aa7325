#include "entry/shard_counts.h"

namespace plantainpaddle {

std::vector<shard_requests::entry> shard_counts::take() {
  std::vector<shard_requests::entry> taken;
  for (std::uint32_t i = 0; i < counts_.size(); ++i) {
    const std::uint32_t requests = counts_[i].exchange(0, std::memory_order_relaxed);
    if (requests != 0) taken.push_back({shard_id{i}, requests});
  }
  return taken;
}

}  // namespace plantainpaddle
