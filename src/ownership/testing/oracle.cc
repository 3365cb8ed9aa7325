#include "ownership/testing/oracle.h"

#include <algorithm>

namespace plantainpaddle::model {
namespace {

std::string describe(const shard_grant& grant) {
  return "shard " + std::to_string(grant.shard.value) + " at fence " +
         std::to_string(grant.fence.value);
}

}  // namespace

void oracle::report(const std::string& description) {
  if (!violation_) violation_ = description;
}

void oracle::on_stored(const cell_record& record) {
  if (!records_.empty()) {
    const cell_record& before = records_.rbegin()->second;
    if (record.term < before.term) report("the stored term decreased");
    if (record.revision <= before.revision) report("the stored revision did not increase");
    for (const auto& [shard, entry] : before.shards) {
      const auto it = record.shards.find(shard);
      if (it == record.shards.end()) continue;  // released to another cell
      if (it->second.fence < entry.fence) report("a stored fence decreased");
      if (it->second.fence > entry.fence) ++moves_;
    }
  }
  records_[record.revision] = record;
  for (const auto& [shard, entry] : record.shards) {
    const shard_grant grant{shard, entry.fence};
    const auto [it, added] = owners_.emplace(grant, entry.owner);
    if (added || it->second == entry.owner) continue;
    if (it->second) report(describe(grant) + " was recorded with two owners");
    it->second = entry.owner;
  }
}

void oracle::on_published(const cell_record& record) {
  const auto it = records_.find(record.revision);
  if (it == records_.end() || it->second != record) {
    report("a published record differs from the stored one of revision " +
           std::to_string(record.revision.value));
  }
}

void oracle::on_granted(const upstream_id& upstream, const std::vector<shard_grant>& grants) {
  for (const auto& grant : grants) {
    const auto it = owners_.find(grant);
    if (it == owners_.end() || it->second != upstream) {
      report(upstream.value + " was granted " + describe(grant) + ", which is not recorded for it");
    }
    auto& highest = highest_granted_[grant.shard];
    highest = std::max(highest, grant.fence);
  }
}

void oracle::on_order(const std::string& upstream_life, const grant_order& order,
                      grant_status status, const std::vector<shard_grant>& before,
                      const std::vector<shard_grant>& after) {
  auto& highest = highest_term_[upstream_life];
  if (status == grant_status::accepted && order.term < highest) {
    report(upstream_life + " accepted an order of term " + std::to_string(order.term.value) +
           " after one of " + std::to_string(highest.value));
  }
  highest = std::max(highest, order.term);
  auto& revoked = revoked_[upstream_life];
  for (const auto& grant : before) {
    if (std::find(after.begin(), after.end(), grant) == after.end()) revoked.insert(grant);
  }
  for (const auto& grant : after) {
    if (revoked.contains(grant)) {
      report(upstream_life + " accepted " + describe(grant) + " again after it was revoked");
    }
  }
}

void oracle::on_request_started(const upstream_id& upstream, const shard_grant& grant) {
  if (grant.fence < highest_granted_[grant.shard]) {
    report(upstream.value + " starts a request of " + describe(grant) + " after fence " +
           std::to_string(highest_granted_[grant.shard].value) + " was granted");
  }
}

void oracle::check_running(const std::vector<running_grants>& current) {
  std::map<shard_id, const running_grants*> owner;
  for (const auto& holder : current) {
    for (const auto& grant : holder.grants) {
      const auto [it, added] = owner.emplace(grant.shard, &holder);
      if (added || it->second == &holder) continue;
      report(describe(grant) + " may run at " + holder.upstream.value +
             " while the shard may also run at " + it->second->upstream.value);
    }
  }
}

}  // namespace plantainpaddle::model
