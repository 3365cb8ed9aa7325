// What this instance knows of the other instances: the platform's list, which lags behind, and the
// identity of each, which the instances state themselves in their messages.
//
// An instance keeps its name over a restart but gets a new id ("name@number"), so that an id stands
// for one run of the process.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "platform/instance_list.h"
#include "table/rows.h"

namespace plantainpaddle {

class instance_directory {
 public:
  instance_directory(instance_id self, domain_id domain) : self_(self), domain_(domain) {
    mark_reachable(self);
  }

  // Replaces the platform's list.
  void set_list(std::vector<instance_info> list);
  // Grows with each change of the list, of an id or of reachability.
  std::uint64_t generation() const { return generation_; }
  // Grows with each new list.
  std::uint64_t list_generation() const { return list_generation_; }
  // Records that an instance with this id sent a message or an answer.
  void mark_reachable(const instance_id& id);

  const std::vector<instance_info>& list() const { return list_; }
  // Returns the entry of the list; nullptr if there is none.
  const instance_info* find(const std::string& name) const;
  std::string self_name() const { return instance_name(self_); }

  // Names of the live instances of a failure domain, in the list's order.
  std::vector<std::string> live_in(const domain_id& domain) const;
  // Names of the live instances outside of a failure domain.
  std::vector<std::string> live_outside(const domain_id& domain) const;
  // Names of the live instances that may assign a cell of the domain or be its standby, best first.
  // For `stay` the instances of the cell's own domain come first. The others follow, so that a
  // domain with a single instance left has standbys that confirm its assigner's right while the
  // store is down. For `move` only instances of other domains are candidates.
  std::vector<std::string> assigner_order(const std::string& cell, const domain_id& domain,
                                          isolation_mode isolation) const;
  // Names of the at most two live instances of a failure domain that watch the store.
  std::vector<std::string> watchers_of(const domain_id& domain) const;
  bool is_watcher() const;

  // Records that an instance did not answer. It counts as unreachable until mark_reachable().
  void mark_unreachable(const std::string& name);
  bool is_unreachable(const std::string& name) const { return unreachable_.contains(name); }

  // Returns the latest known id of the instance with this name; nullptr if it is unknown.
  const instance_id* current_id(const std::string& name) const;
  // True if the instance is known to have restarted under another id, or isn't on the list.
  bool is_gone(const instance_id& id) const;

 private:
  instance_id self_;
  domain_id domain_;
  std::vector<instance_info> list_;
  std::map<std::string, instance_id> current_ids_;
  std::set<std::string> unreachable_;
  std::uint64_t generation_ = 0;
  std::uint64_t list_generation_ = 0;
};

}  // namespace plantainpaddle
