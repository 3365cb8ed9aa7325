// Checks the invariants of a simulated cell. The oracle sees every process and the store at true
// time, and keeps the first violation; model.h lists the invariants. The simulation calls one
// member for each event that an invariant depends on.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ownership/cell_record.h"

namespace plantainpaddle::model {

// The grants under which one upstream may run requests at present.
struct running_grants {
  upstream_id upstream;
  std::vector<shard_grant> grants;
};

class oracle {
 public:
  // A write took effect in the store.
  void on_stored(const cell_record& record);
  // An assigner published a record as being in the store.
  void on_published(const cell_record& record);
  // An upstream accepts requests under these grants.
  void on_granted(const upstream_id& upstream, const std::vector<shard_grant>& grants);
  // An upstream handled an order, and held `before` and `after` it. upstream_life names one life of
  // the upstream process, from a start to the next crash.
  void on_order(const std::string& upstream_life, const grant_order& order, grant_status status,
                const std::vector<shard_grant>& before, const std::vector<shard_grant>& after);
  // An upstream starts a request.
  void on_request_started(const upstream_id& upstream, const shard_grant& grant);
  // Checks that no shard may run at two upstreams. Called after each order and each admitted
  // request.
  void check_running(const std::vector<running_grants>& current);
  // Records a violation unless there is one already.
  void report(const std::string& description);

  // How many times a shard was recorded under a higher fence.
  std::uint64_t moves() const { return moves_; }
  const std::optional<std::string>& violation() const { return violation_; }

 private:
  std::optional<std::string> violation_;
  std::uint64_t moves_ = 0;
  std::map<revision_number, cell_record> records_;
  std::map<shard_grant, std::optional<upstream_id>> owners_;  // of each fence ever recorded
  std::map<shard_id, fence_number> highest_granted_;
  // Of the orders handled, accepted or not, by life of an upstream.
  std::map<std::string, term_number> highest_term_;
  std::map<std::string, std::set<shard_grant>> revoked_;  // by life of an upstream
};

}  // namespace plantainpaddle::model
