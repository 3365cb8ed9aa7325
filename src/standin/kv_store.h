// The key-value store of the platform stand-in, in memory: revisions, compare-and-swap, leases and
// a bounded log of changes for watches. No sockets and no clock.
//
//   kv_store store;
//   store.put("a", "1", 0);
//   auto changes = store.events("a", "", 2);
//
// Keys and values are bytes; an empty range end means the key alone, "\0" all keys from it.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"

namespace plantainpaddle {

struct kv_entry {
  std::string key;
  std::string value;
  std::uint64_t created = 0;   // revision of the write that made it
  std::uint64_t modified = 0;  // revision of the last write
  std::uint64_t version = 0;   // writes since it was made
  std::uint64_t lease = 0;

  bool operator==(const kv_entry&) const = default;
};

struct kv_change {
  bool removed = false;
  kv_entry entry;  // of a removed key: key and revision only
};

struct kv_put {
  std::string key;
  std::string value;
  std::uint64_t lease = 0;
};

struct kv_limits {
  std::size_t value_bytes = 1'000'000;
  std::size_t total_bytes = 256 << 20;
  std::size_t log_changes = 10'000;
  std::size_t log_bytes = 64 << 20;
};

class kv_store {
 public:
  explicit kv_store(kv_limits limits = {}) : limits_(limits) {}

  std::uint64_t revision() const { return revision_; }
  // Changes up to this revision are no longer in the log.
  std::uint64_t compacted() const { return compacted_; }

  const kv_entry* find(const std::string& key) const;
  std::vector<kv_entry> range(const std::string& key, const std::string& end) const;
  // False: too large, no room, or no such lease.
  bool put(const std::string& key, const std::string& value, std::uint64_t lease);
  std::size_t remove(const std::string& key, const std::string& end);
  // All of it, at one revision, or nothing: false.
  bool commit(const std::vector<kv_put>& puts, const std::vector<std::string>& removals);

  // The lease's id; 0 asks for a new one. 0 back: it exists already.
  std::uint64_t grant_lease(std::uint64_t id, duration length, monotonic_time now);
  std::optional<duration> keep_alive(std::uint64_t id, monotonic_time now);  // its length
  bool revoke_lease(std::uint64_t id);                                       // removes its keys
  bool has_lease(std::uint64_t id) const { return leases_.contains(id); }
  // Revokes the leases that have lapsed.
  void expire(monotonic_time now);
  std::size_t lease_count() const { return leases_.size(); }

  // Changes of the range from a revision on. Nothing: some of them are compacted away.
  std::optional<std::vector<kv_change>> events(const std::string& key, const std::string& end,
                                               std::uint64_t from) const;
  void compact(std::uint64_t revision);
  // Becomes what a copy of this age is. Revisions and ids of leases are given out again, leases
  // have the time that they had left then, and there is no log.
  void restore(const kv_store& copy, duration age);

 private:
  struct lease {
    duration length{0};
    monotonic_time ends{};
    std::set<std::string> keys;
  };
  bool fits(const kv_put& put) const;
  void write(const kv_put& put);
  void erase(const std::string& key);
  void detach(const kv_entry& entry);
  void log(kv_change change);
  void drop_oldest();

  kv_limits limits_;
  std::uint64_t revision_ = 1;
  std::uint64_t compacted_ = 0;
  std::uint64_t next_lease_ = 1000;
  std::size_t total_bytes_ = 0;
  std::size_t log_bytes_ = 0;
  std::map<std::string, kv_entry> entries_;
  std::map<std::uint64_t, lease> leases_;
  std::deque<kv_change> log_;
};

// True if the key is in the range.
bool in_range(const std::string& candidate, const std::string& key, const std::string& end);

}  // namespace plantainpaddle
