// The grants that this instance holds as the dispatcher of upstreams that don't check fencing
// tokens.
//
//   dispatcher_leases leases(life, seed);
//   grant_answer answer = leases.handle(upstream, order, now);          // from the cell's assigner
//   auto until = leases.admit(upstream, shard, fence, now);             // empty: don't send
//   ... send with a deadline of at most *until ...
//   leases.finish(upstream, shard, fence, now);                         // or finish_at()
//
// For the assigner, upstream and dispatcher together are the owner, "upstream~instance". Another
// dispatcher, or the same one after a restart, is another owner, so that the rules for owners also
// exclude two dispatchers of one shard. A request whose outcome is unknown may run until the
// deadline that it was sent with; its shard counts as busy until then. Thread-safe. Memory is one
// grant per upstream and one entry per unfinished request.
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

  // Handles an order of the cell's assigner. `usable` says whether this instance can use the
  // upstream; if it can't, the answer asks the assigner to move the shards.
  grant_answer handle(const upstream_id& upstream, const grant_order& order, bool usable,
                      monotonic_time now);

  // Returns the latest deadline that a request may have; empty if the shard isn't held under that
  // fencing token or the grant ends too soon. Each admitted request needs one finish() or
  // finish_at().
  std::optional<monotonic_time> admit(const upstream_id& upstream, shard_id shard,
                                      fence_number fence, monotonic_time now);
  // The request has certainly ended.
  void finish(const upstream_id& upstream, shard_id shard, fence_number fence);
  // The request's outcome is unknown; it may run until the given time.
  void finish_at(const upstream_id& upstream, shard_id shard, fence_number fence,
                 monotonic_time until);

  // This instance leaves: later answers ask the assigner to move the shards to other dispatchers.
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
  // Finishes the requests of unknown outcome whose time is up.
  static void finish_expired(lease& held, monotonic_time now);

  std::uint64_t life_;
  std::uint64_t seed_;
  std::mutex mutex_;
  std::map<upstream_id, lease> leases_;
  bool leaving_ = false;
};

}  // namespace plantainpaddle
