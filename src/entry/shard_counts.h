// Counts requests per shard, and per key if keys are numbers, for all traffic threads of an
// instance.
//
//   shard_counts counts(256);
//   counts.add(shard);                        // any thread, no lock
//   auto taken = counts.take();               // sets all counts to zero
//
// Memory is four bytes a shard and at most max_keys entries of numbered keys.
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
  // `numbered` says whether keys are numbers and counted one by one.
  explicit shard_counts(std::uint32_t shards, bool numbered = false)
      : counts_(shards), numbered_(numbered) {}

  void add(shard_id shard) {
    if (shard.value < counts_.size()) counts_[shard.value].fetch_add(1, std::memory_order_relaxed);
  }

  // Counts a request of the key. For numbered keys it counts only the key, under a lock and while
  // there is room for further keys; otherwise only the shard.
  void add(shard_id shard, std::string_view key);

  std::size_t size() const { return counts_.size(); }
  // Returns the shards with requests since the last call, and resets their counts.
  std::vector<shard_requests::entry> take();
  // Returns the numbered keys with requests since the last call, and resets them.
  std::vector<std::pair<std::uint32_t, std::uint32_t>> take_keys();

 private:
  static constexpr std::size_t max_keys = 4096;  // further keys aren't counted until take_keys()

  std::vector<std::atomic<std::uint32_t>> counts_;
  bool numbered_;
  std::mutex keys_mutex_;
  std::unordered_map<std::uint32_t, std::uint32_t> keys_;
};

}  // namespace plantainpaddle
