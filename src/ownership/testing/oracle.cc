#include "ownership/testing/oracle.h"

#include <algorithm>

namespace plantainpaddle::model {
namespace {

std::string describe(const shard_grant& grant) {
  return "shard " + std::to_string(grant.shard.value) + " at fence " +
         std::to_string(grant.fence.value);
}

}  // namespace

void oracle::object(const std::string& what) {
  if (!violation_) violation_ = what;
}

void oracle::stored(const cell_record& record) {
  if (!records_.empty()) {
    const cell_record& before = records_.rbegin()->second;
    if (record.term < before.term) object("the stored term went back");
    if (record.revision <= before.revision) object("the stored revision did not grow");
    for (const auto& [shard, entry] : before.shards) {
      const auto place = record.shards.find(shard);
      if (place == record.shards.end()) continue;  // released to another cell
      if (place->second.fence < entry.fence) object("a stored fence went back");
      if (place->second.fence > entry.fence) ++moves_;
    }
  }
  records_[record.revision] = record;
  for (const auto& [shard, entry] : record.shards) {
    const shard_grant grant{shard, entry.fence};
    const auto [place, added] = owners_.emplace(grant, entry.owner);
    if (added || place->second == entry.owner) continue;
    if (place->second) object(describe(grant) + " was recorded with two owners");
    place->second = entry.owner;
  }
}

void oracle::published(const cell_record& record) {
  const auto place = records_.find(record.revision);
  if (place == records_.end() || place->second != record) {
    object("a record was published that is not what the store has had at revision " +
           std::to_string(record.revision.value));
  }
}

void oracle::granted(const upstream_id& upstream, const std::vector<shard_grant>& grants) {
  for (const auto& grant : grants) {
    const auto place = owners_.find(grant);
    if (place == owners_.end() || place->second != upstream) {
      object(upstream.value + " was granted " + describe(grant) + " without a record of it");
    }
    auto& highest = highest_granted_[grant.shard];
    highest = std::max(highest, grant.fence);
  }
}

void oracle::ordered(const std::string& upstream_life, const grant_order& order,
                     grant_status status, const std::vector<shard_grant>& before,
                     const std::vector<shard_grant>& after) {
  auto& highest = highest_ordered_[upstream_life];
  if (status == grant_status::accepted && order.term < highest) {
    object(upstream_life + " accepted an order of term " + std::to_string(order.term.value) +
           " after one of " + std::to_string(highest.value));
  }
  highest = std::max(highest, order.term);
  auto& revoked = revoked_[upstream_life];
  for (const auto& grant : before) {
    if (std::find(after.begin(), after.end(), grant) == after.end()) revoked.insert(grant);
  }
  for (const auto& grant : after) {
    if (revoked.contains(grant)) {
      object(upstream_life + " took " + describe(grant) + " again after it was revoked");
    }
  }
}

void oracle::started(const upstream_id& upstream, const shard_grant& grant) {
  if (grant.fence < highest_granted_[grant.shard]) {
    object(upstream.value + " starts a request of " + describe(grant) + " after fence " +
           std::to_string(highest_granted_[grant.shard].value) + " was granted");
  }
}

void oracle::running(const std::vector<running_grants>& now) {
  std::map<shard_id, const running_grants*> owner;
  for (const auto& side : now) {
    for (const auto& grant : side.grants) {
      const auto [place, added] = owner.emplace(grant.shard, &side);
      if (added || place->second == &side) continue;
      object(describe(grant) + " may run at " + side.upstream.value + " and the shard also at " +
             place->second->upstream.value);
    }
  }
}

}  // namespace plantainpaddle::model
