// Sums what is asked of each limit over all instances, along a tree.
//
// The instances of a failure domain form a tree of fan-in limit_tree_fan_in by their rendezvous
// order; its root exchanges the domain's sum with the roots of the other domains. Each instance
// reports the sum of its part upwards and is answered with what is asked elsewhere, so that an
// instance has a bounded number of messages whatever the number of instances. A change reaches all
// after one period per level and one more.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "entry/instance_directory.h"
#include "peer/messages.h"
#include "routing/limiter.h"

namespace plantainpaddle {

inline constexpr std::size_t limit_tree_fan_in = 8;

// Whom this instance reports to: its parent; of a root, the roots of the other domains.
std::vector<std::string> limit_tree_parents(const instance_directory& directory);

class usage_tree {
 public:
  void set_own(const std::vector<limit_use>& used);

  // The sum of this part, for the parent; a root's part is its domain.
  limit_usage report(monotonic_time now) const;
  // A child's or another root's report; the answer is what is asked outside of the sender's part.
  limit_usage on_report(const instance_id& from, bool same_domain, const limit_usage& usage,
                        monotonic_time now);
  // The parent's answer, or another root's, which adds nothing to that root's own reports.
  void on_answer(const instance_id& from, bool same_domain, const limit_usage& usage,
                 monotonic_time now);

  // What is asked of the other instances.
  std::vector<limit_use> elsewhere(monotonic_time now) const;

 private:
  struct received {
    limit_usage usage;
    monotonic_time at;
  };
  using sums = std::map<std::pair<std::string, std::string>, double>;

  static void add(sums& to, const std::map<instance_id, received>& parts, monotonic_time now,
                  const instance_id* except);
  // What is asked of this instance and its children, but for one of them.
  sums own_part(monotonic_time now, const instance_id* except) const;
  static limit_usage to_usage(const sums& from);

  limit_usage own_;
  std::map<instance_id, received> children_;
  std::map<instance_id, received> roots_;  // of other domains
  std::map<instance_id, received>
      parent_;  // what is asked outside of this part; at most one is fresh
};

}  // namespace plantainpaddle
