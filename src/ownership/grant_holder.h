// The upstream's side of ownership: which shards it may serve, until when.
//
//   grant_holder holder(life, nonce_seed);
//   grant_answer answer = holder.handle(order, now);
//   if (holder.admit(shard, fence, now)) { ...run...; holder.finish(shard, fence); }
//
// Used by the upstream stand-in, and by a dispatcher on behalf of upstreams that check no fences.
//
// Why it is right: a nonce is accepted once and only while it is the last one handed out by this
// life, and the grant ends a stated time after the nonce was handed out. So an order can extend
// nothing beyond what its sender could foresee when it sent it, however long it lay in a buffer. A
// revoked fence is remembered for the life, so a late order can't bring it back.
#pragma once

#include <map>
#include <vector>

#include "ownership/messages.h"

namespace plantainpaddle {

class grant_holder {
 public:
  grant_holder(std::uint64_t life, std::uint64_t nonce_seed);

  grant_answer handle(const grant_order& order, monotonic_time now);

  // True: the request may run, and finish() must follow. False: it must be refused, unrun.
  bool admit(shard_id shard, fence_number fence, monotonic_time now);
  void finish(shard_id shard, fence_number fence);

  // When the grant ends. Work that runs under it must have stopped by then.
  monotonic_time ends() const { return ends_; }
  std::size_t held_count(monotonic_time now) const { return now < ends_ ? held_.size() : 0; }
  // What requests are taken for, and what requests run under, sorted by shard. Nothing after the
  // end.
  std::vector<shard_grant> held(monotonic_time now) const;
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
  std::map<shard_id, fence_number> revoked_;  // highest revoked fence, per shard
  std::map<shard_grant, std::uint32_t> in_flight_;
};

}  // namespace plantainpaddle
