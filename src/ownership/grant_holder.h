// The upstream's half of the ownership protocol: tracks which shards the upstream may serve, and
// until when.
//
//   grant_holder holder(life, nonce_seed);
//   grant_answer answer = holder.handle(order, now);
//   if (holder.admit(shard, fence, now)) { ...run...; holder.finish(shard, fence); }
//
// The stand-in upstream uses it, and so does a dispatcher on behalf of upstreams that check no
// fences.
//
// Correctness: a nonce is accepted once, and only while it is the last one that this process has
// handed out. The grant's length counts from when the nonce was handed out. An order that is
// delayed on its way can therefore extend the grant no further than its sender allowed for when it
// sent the order. Revoked fences are remembered for as long as the process runs, so that a late
// order can't bring one back.
//
// Cost: O(n log n) per order, where n counts the shards that are ordered, held or in flight; O(log
// n) to admit or finish a request.
#pragma once

#include <map>
#include <vector>

#include "ownership/messages.h"

namespace plantainpaddle {

class grant_holder {
 public:
  // life must differ between runs of the process; the nonces follow from nonce_seed.
  grant_holder(std::uint64_t life, std::uint64_t nonce_seed);

  // Applies the order if it is valid. The answer always carries a new nonce, also if it isn't.
  grant_answer handle(const grant_order& order, monotonic_time now);

  // Returns true if the request may run; the caller must then call finish(). Otherwise the request
  // must be refused without running it.
  bool admit(shard_id shard, fence_number fence, monotonic_time now);
  void finish(shard_id shard, fence_number fence);

  // Returns when the grant ends. Work that runs under it must have stopped by then.
  monotonic_time ends() const { return ends_; }
  std::size_t held_count(monotonic_time now) const { return now < ends_ ? held_.size() : 0; }
  // Returns the grants under which requests are admitted, sorted by shard; none once the grant has
  // ended.
  std::vector<shard_grant> held(monotonic_time now) const;
  // Returns the grants under which requests are in flight, sorted by shard; none once the grant has
  // ended.
  std::vector<shard_grant> running(monotonic_time now) const;

 private:
  void apply(const std::vector<shard_grant>& set);
  grant_answer answer(grant_status status, const grant_order& order, monotonic_time now);

  std::uint64_t life_;
  std::uint64_t nonce_;
  monotonic_time nonce_issued_{};
  term_number highest_term_;
  monotonic_time ends_{};
  std::map<shard_id, fence_number> held_;
  std::map<shard_id, fence_number> revoked_;        // highest revoked fence of each shard
  std::map<shard_grant, std::uint32_t> in_flight_;  // number of running requests
};

}  // namespace plantainpaddle
