// Requests per shard since the last look, counted by the traffic threads of one instance.
//
//   shard_counts counts(256);
//   counts.add(shard);                        // any thread, no lock
//   auto taken = counts.take();               // resets all
//
// Memory is four bytes a shard.
#pragma once

#include <atomic>
#include <cstdint>
#include <vector>

#include "peer/messages.h"

namespace plantainpaddle {

class shard_counts {
 public:
  explicit shard_counts(std::uint32_t shards) : counts_(shards) {}

  void add(shard_id shard) {
    if (shard.value < counts_.size()) counts_[shard.value].fetch_add(1, std::memory_order_relaxed);
  }

  std::size_t size() const { return counts_.size(); }
  // All shards with requests.
  std::vector<shard_requests::entry> take();

 private:
  std::vector<std::atomic<std::uint32_t>> counts_;
};

}  // namespace plantainpaddle
