// What must hold of a cell, judged by somebody who sees every process and true time.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ownership/cell_record.h"

namespace plantainpaddle::model {

// What one upstream may run at the moment.
struct running_grants {
  upstream_id upstream;
  std::vector<shard_grant> grants;
};

class oracle {
 public:
  // A write took effect in the store.
  void stored(const cell_record& record);
  // An assigner says that this record is in the store.
  void published(const cell_record& record);
  // An upstream takes requests for these.
  void granted(const upstream_id& upstream, const std::vector<shard_grant>& grants);
  // One life of an upstream was given an order; what it held before and after.
  void ordered(const std::string& upstream_life, const grant_order& order, grant_status status,
               const std::vector<shard_grant>& before, const std::vector<shard_grant>& after);
  // A request starts.
  void started(const upstream_id& upstream, const shard_grant& grant);
  void running(const std::vector<running_grants>& now);
  void object(const std::string& what);

  // Shards that were recorded at a new fence.
  std::uint64_t moves() const { return moves_; }
  const std::optional<std::string>& violation() const { return violation_; }

 private:
  std::optional<std::string> violation_;
  std::uint64_t moves_ = 0;
  std::map<revision_number, cell_record> records_;
  std::map<shard_grant, std::optional<upstream_id>> owners_;  // of each fence ever recorded
  std::map<shard_id, fence_number> highest_granted_;
  std::map<std::string, term_number> highest_ordered_;  // by life of an upstream
  std::map<std::string, std::set<shard_grant>> revoked_;
};

}  // namespace plantainpaddle::model
