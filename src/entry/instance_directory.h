// What this instance knows of the other instances: the platform's list, which lags, and the life of
// each as the instances themselves told it.
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
    learn(self);
  }

  void set_list(std::vector<instance_info> list);
  // Grows with each change of what is known.
  std::uint64_t generation() const { return generation_; }
  // Grows with each new list.
  std::uint64_t list_generation() const { return list_generation_; }
  // The instance was heard of in this life.
  void learn(const instance_id& id);

  const std::vector<instance_info>& list() const { return list_; }
  const instance_info* find(const std::string& name) const;
  std::string self_name() const { return instance_name(self_); }

  // Names of the live instances of a failure domain, in the list's order.
  std::vector<std::string> live_in(const domain_id& domain) const;
  // Names of the live instances outside of a failure domain.
  std::vector<std::string> live_outside(const domain_id& domain) const;
  // Those that may assign a cell of the domain or stand by for it, best first. For `stay` the
  // instances of the cell's own domain come first; the others follow, so that a domain with a
  // single instance left has somebody to confirm its assigner's right while the store is down.
  std::vector<std::string> assigner_order(const std::string& cell, const domain_id& domain,
                                          isolation_mode isolation) const;
  // The watcher of the store and its deputy in a failure domain.
  std::vector<std::string> watchers_of(const domain_id& domain) const;
  bool is_watcher() const;

  // An instance did not answer this one. It counts as unreachable until it is heard of again.
  void mark_unreachable(const std::string& name);
  bool is_unreachable(const std::string& name) const { return unreachable_.contains(name); }

  // The current life of an instance; nullptr if it has not told.
  const instance_id* life_of(const std::string& name) const;
  // True if the instance is known to be gone in that life: it has another life, or isn't on the
  // list.
  bool is_gone(const instance_id& id) const;

 private:
  instance_id self_;
  domain_id domain_;
  std::vector<instance_info> list_;
  std::map<std::string, instance_id> lives_;
  std::set<std::string> unreachable_;
  std::uint64_t generation_ = 0;
  std::uint64_t list_generation_ = 0;
};

}  // namespace plantainpaddle
