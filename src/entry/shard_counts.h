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
#include <mutex>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "peer/messages.h"

namespace plantainpaddle {

class shard_counts {
 public:
  explicit shard_counts(std::uint32_t shards, bool numbered = false)
      : counts_(shards), numbered_(numbered) {}

  void add(shard_id shard) {
    if (shard.value < counts_.size()) counts_[shard.value].fetch_add(1, std::memory_order_relaxed);
  }

  // The same of a key that is a number, also counted by itself while there is room.
  void add(shard_id shard, std::string_view key);

  std::size_t size() const { return counts_.size(); }
  // All shards with requests.
  std::vector<shard_requests::entry> take();
  // Requests of each key since the last call.
  std::vector<std::pair<std::uint32_t, std::uint32_t>> take_keys();

 private:
  static constexpr std::size_t max_keys = 4096;  // counted between two calls of take_keys()

  std::vector<std::atomic<std::uint32_t>> counts_;
  bool numbered_;
  std::mutex keys_mutex_;
  std::unordered_map<std::uint32_t, std::uint32_t> keys_;
};

}  // namespace plantainpaddle
