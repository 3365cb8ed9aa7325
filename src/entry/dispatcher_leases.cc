#include "entry/dispatcher_leases.h"

namespace plantainpaddle {
namespace {

// The least time between a request's deadline and the end of the grant. The upstream's clock may
// run slower, and it counts the deadline from the arrival of the request.
constexpr duration lease_margin = milliseconds(100);

}  // namespace

void dispatcher_leases::finish_expired(lease& held, monotonic_time now) {
  std::erase_if(held.pending, [&](const unfinished& request) {
    if (now < request.until) return false;
    held.holder.finish(request.shard, request.fence);
    return true;
  });
}

grant_answer dispatcher_leases::handle(const upstream_id& upstream, const grant_order& order,
                                       bool usable, monotonic_time now) {
  const std::lock_guard lock(mutex_);
  auto [place, added] = leases_.try_emplace(
      upstream, lease{grant_holder(life_, seed_ ^ std::hash<upstream_id>{}(upstream)), {}});
  finish_expired(place->second, now);
  grant_answer answer = place->second.holder.handle(order, now);
  answer.load.draining = leaving_ || !usable;
  return answer;
}

std::optional<monotonic_time> dispatcher_leases::admit(const upstream_id& upstream, shard_id shard,
                                                       fence_number fence, monotonic_time now) {
  const std::lock_guard lock(mutex_);
  const auto place = leases_.find(upstream);
  if (place == leases_.end()) return std::nullopt;
  auto& holder = place->second.holder;
  const monotonic_time latest = holder.ends() - lease_margin;
  if (now >= latest || !holder.admit(shard, fence, now)) return std::nullopt;
  return latest;
}

void dispatcher_leases::finish(const upstream_id& upstream, shard_id shard, fence_number fence) {
  const std::lock_guard lock(mutex_);
  const auto place = leases_.find(upstream);
  if (place != leases_.end()) place->second.holder.finish(shard, fence);
}

void dispatcher_leases::finish_at(const upstream_id& upstream, shard_id shard, fence_number fence,
                                  monotonic_time until) {
  const std::lock_guard lock(mutex_);
  const auto place = leases_.find(upstream);
  if (place != leases_.end()) place->second.pending.push_back({until, shard, fence});
}

void dispatcher_leases::set_leaving() {
  const std::lock_guard lock(mutex_);
  leaving_ = true;
}

}  // namespace plantainpaddle
