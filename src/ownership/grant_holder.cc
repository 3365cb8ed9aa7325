#include "ownership/grant_holder.h"

#include <algorithm>

#include "base/hash.h"

namespace plantainpaddle {
namespace {

std::uint64_t next_nonce(std::uint64_t nonce) {
  const std::uint64_t next =
      hash64({reinterpret_cast<const char*>(&nonce), sizeof nonce}, /*seed=*/1);
  return next == 0 ? 1 : next;  // 0 means "no nonce"
}

std::vector<shard_grant> to_set(const std::map<shard_id, fence_number>& held) {
  std::vector<shard_grant> set;
  set.reserve(held.size());
  for (const auto& [shard, fence] : held) set.push_back({shard, fence});
  return set;
}

}  // namespace

grant_holder::grant_holder(std::uint64_t life, std::uint64_t nonce_seed)
    : life_(life), nonce_(next_nonce(nonce_seed)) {}

grant_answer grant_holder::handle(const grant_order& order, monotonic_time now) {
  // A lapsed grant holds nothing, but its fences are not revoked: they can be granted again without
  // a write to the store for as long as the record names this upstream.
  if (now >= ends_) held_.clear();
  if (order.term < highest_term_) return answer(grant_status::stale_term, order, now);
  highest_term_ = order.term;
  if (order.nonce == 0 || order.life != life_ || order.nonce != nonce_) {
    return answer(grant_status::stale_nonce, order, now);
  }
  // The order came after the end of the grant that it asks for. Accepting it would report a grant
  // that holds nothing, which the assigner would take for a refusal of the fences.
  if (nonce_issued_ + order.length <= now) return answer(grant_status::stale_nonce, order, now);
  if (order.set) {
    apply(*order.set);
  } else if (digest_of(to_set(held_)) != order.digest) {
    return answer(grant_status::need_set, order, now);
  }
  ends_ = std::max(ends_, nonce_issued_ + order.length);
  return answer(grant_status::accepted, order, now);
}

void grant_holder::apply(const std::vector<shard_grant>& set) {
  std::map<shard_id, fence_number> next;
  for (const auto& grant : set) {
    const auto revoked = revoked_.find(grant.shard);
    if (revoked != revoked_.end() && grant.fence <= revoked->second) continue;
    next.emplace(grant.shard, grant.fence);
  }
  for (const auto& [shard, fence] : held_) {
    const auto kept = next.find(shard);
    if (kept == next.end() || kept->second != fence) {
      revoked_[shard] = std::max(revoked_[shard], fence);
    }
  }
  held_ = std::move(next);
}

grant_answer grant_holder::answer(grant_status status, const grant_order& order,
                                  monotonic_time now) {
  nonce_ = next_nonce(nonce_);
  nonce_issued_ = now;
  grant_answer reply;
  reply.status = status;
  reply.life = life_;
  reply.nonce = nonce_;
  reply.highest_term = highest_term_;
  if (now < ends_) reply.held = to_set(held_);
  reply.held_digest = digest_of(reply.held);
  if (reply.held_digest == order.digest) reply.held.clear();
  for (const auto& [grant, count] : in_flight_) {
    const auto held = held_.find(grant.shard);
    if (held == held_.end() || held->second != grant.fence) reply.draining.push_back(grant);
  }
  return reply;
}

bool grant_holder::admit(shard_id shard, fence_number fence, monotonic_time now) {
  if (now >= ends_) return false;
  const auto held = held_.find(shard);
  if (held == held_.end() || held->second != fence) return false;
  ++in_flight_[{shard, fence}];
  return true;
}

void grant_holder::finish(shard_id shard, fence_number fence) {
  const auto it = in_flight_.find({shard, fence});
  if (it == in_flight_.end()) return;
  if (--it->second == 0) in_flight_.erase(it);
}

std::vector<shard_grant> grant_holder::held(monotonic_time now) const {
  return now < ends_ ? to_set(held_) : std::vector<shard_grant>{};
}

std::vector<shard_grant> grant_holder::running(monotonic_time now) const {
  std::vector<shard_grant> grants;
  if (now >= ends_) return grants;
  for (const auto& [grant, count] : in_flight_) grants.push_back(grant);
  return grants;
}

}  // namespace plantainpaddle
