// Sums the usage of each limit over all instances, along a tree.
//
// The instances of a failure domain form a tree of fan-in limit_tree_fan_in by their rendezvous
// order; its root exchanges the domain's sum with the roots of the other domains. Each instance
// reports the sum of its subtree to its parent, whose answer is the usage outside of that subtree.
// The number of messages per instance is therefore bounded by the fan-in and the number of domains,
// whatever the number of instances. A change reaches all instances after one report period per
// level of the tree and one more.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "entry/instance_directory.h"
#include "peer/messages.h"
#include "routing/limiter.h"

namespace plantainpaddle {

inline constexpr std::size_t limit_tree_fan_in = 8;

// Names of the instances that this one reports to: its parent or, for a root, the roots of the
// other domains. Empty if this instance isn't live on the list.
std::vector<std::string> limit_tree_parents(const instance_directory& directory);

class usage_tree {
 public:
  // Replaces the usage that this instance has counted itself.
  void set_own(const std::vector<limit_use>& used);

  // The sum of this subtree, for the parent. The subtree of a root is its domain.
  limit_usage report(monotonic_time now) const;
  // Takes the report of a child, or of another domain's root if same_domain is false. Returns the
  // usage outside of the sender's subtree for a child, and nothing for a root.
  limit_usage on_report(const instance_id& from, bool same_domain, const limit_usage& usage,
                        monotonic_time now);
  // Takes the parent's answer. Another root's answer is ignored: its own reports say as much.
  void on_answer(const instance_id& from, bool same_domain, const limit_usage& usage,
                 monotonic_time now);

  // The usage of all other instances, without reports that are too old.
  std::vector<limit_use> usage_of_others(monotonic_time now) const;

 private:
  struct received {
    limit_usage usage;
    monotonic_time at;
  };
  using sums = std::map<std::pair<std::string, std::string>, double>;

  static void add(sums& to, const std::map<instance_id, received>& parts, monotonic_time now,
                  const instance_id* except);
  // The usage of this instance and its children, without the child `except` if it is set.
  sums subtree_sum(monotonic_time now, const instance_id* except) const;
  static limit_usage to_usage(const sums& from);

  limit_usage own_;
  std::map<instance_id, received> children_;
  std::map<instance_id, received> roots_;   // of other domains
  std::map<instance_id, received> parent_;  // usage outside of this subtree; at most one entry
};

}  // namespace plantainpaddle
