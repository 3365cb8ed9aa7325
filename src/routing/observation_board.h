// The latest report of each upstream that the instances of a failure domain have received, in the
// order in which they became known, so that each reader gets what it hasn't got yet.
//
//   observation_board board;
//   if (board.take(key, load, reported_at, now)) ...;   // newer than what was known
//   auto delta = board.since(position, limit, now);     // then board.since(delta.position, ...)
//
// An upstream that reports again moves to the end of the order. A reader that is limited to fewer
// than have changed thus gets each upstream in turn, with its latest report. No I/O and no clock.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "routing/placement.h"

namespace plantainpaddle {

// A hash of the upstream's id, by which messages name upstreams. Where two listed upstreams have
// the same one, neither is shared.
using observation_key = std::uint32_t;
observation_key observation_key_of(const upstream_id& upstream);

// Reports that are older aren't passed on: requests that ran then have ended.
inline constexpr duration max_shared_age = seconds(4);

struct shared_observation {
  observation_key key = 0;
  upstream_observation seen;
  bool operator==(const shared_observation&) const = default;
};

struct observation_delta {
  std::uint64_t position = 0;  // up to which the reader knows the board then
  std::vector<shared_observation> observations;
};

class observation_board {
 public:
  // Returns true if the report is newer than the known one.
  bool take(observation_key key, const reported_load& load, monotonic_time reported_at,
            monotonic_time now);
  // Returns at most `limit` observations that have come after the position. With `only`, those of
  // other upstreams are passed over.
  observation_delta since(std::uint64_t position, std::size_t limit, monotonic_time now,
                          const std::set<observation_key>* only = nullptr) const;
  void clear();
  std::size_t size() const { return entries_.size(); }

 private:
  struct entry {
    reported_load load;
    monotonic_time reported_at{};
    std::uint64_t sequence = 0;
  };

  void expire(monotonic_time now);

  std::unordered_map<observation_key, entry> entries_;
  std::map<std::uint64_t, observation_key> order_;  // by sequence
  std::uint64_t last_ = 0;
};

}  // namespace plantainpaddle
