// The grants that this instance holds for upstreams that check no fences, as their dispatcher.
//
//   dispatcher_leases leases(life, seed);
//   grant_answer answer = leases.handle(upstream, order, now);          // from the cell's assigner
//   auto until = leases.admit(upstream, shard, fence, now);             // nothing: don't send
//   ... send with a deadline of at most *until ...
//   leases.finish(upstream, shard, fence, now);                         // or finish_at(…,
//   deadline)
//
// To the assigner a dispatcher is the owner: "upstream~instance". Another dispatcher, or another
// life of the same, is another owner, so that the rules for owners hold between dispatchers without
// further ones. A request whose outcome is unknown may still run until the deadline that it was
// sent with: its shard counts as busy until then. Thread-safe. Memory is one grant per upstream and
// one entry per unfinished request.
#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "ownership/grant_holder.h"

namespace plantainpaddle {

class dispatcher_leases {
 public:
  dispatcher_leases(std::uint64_t life, std::uint64_t seed) : life_(life), seed_(seed) {}

  // usable: as this instance sees the upstream. If it isn't, the answer asks for its shards to be
  // moved.
  grant_answer handle(const upstream_id& upstream, const grant_order& order, bool usable,
                      monotonic_time now);

  // The latest deadline that the request may have; nothing if the shard isn't held at that fence.
  std::optional<monotonic_time> admit(const upstream_id& upstream, shard_id shard,
                                      fence_number fence, monotonic_time now);
  // The request surely doesn't run any more.
  void finish(const upstream_id& upstream, shard_id shard, fence_number fence);
  // It may run until the time.
  void finish_at(const upstream_id& upstream, shard_id shard, fence_number fence,
                 monotonic_time until);

  // The instance leaves: answers say so, and the assigner moves the shards to other dispatchers.
  void set_leaving();

 private:
  struct unfinished {
    monotonic_time until;
    shard_id shard;
    fence_number fence;
  };
  struct lease {
    grant_holder holder;
    std::vector<unfinished> pending;
  };
  static void settle(lease& held, monotonic_time now);

  std::uint64_t life_;
  std::uint64_t seed_;
  std::mutex mutex_;
  std::map<upstream_id, lease> leases_;
  bool leaving_ = false;
};

}  // namespace plantainpaddle
