#include "entry/instance_directory.h"

#include <algorithm>

#include "ownership/rendezvous.h"

namespace plantainpaddle {
namespace {

constexpr std::size_t watchers_per_domain = 2;  // one may fail

template <class Wanted>
std::vector<std::string> live_names(const std::vector<instance_info>& list, Wanted wanted) {
  std::vector<std::string> names;
  for (const auto& info : list) {
    if (info.state == instance_state::live && wanted(info)) names.push_back(info.name);
  }
  return names;
}

}  // namespace

void instance_directory::set_list(std::vector<instance_info> list) {
  list_ = std::move(list);
  ++generation_;
  ++list_generation_;
}

void instance_directory::mark_reachable(const instance_id& id) {
  const std::string name = instance_name(id);
  const bool reachable_again = unreachable_.erase(name) != 0;
  const auto known = current_ids_.find(name);
  if (known != current_ids_.end() && known->second == id && !reachable_again) return;
  current_ids_[name] = id;
  ++generation_;
}

void instance_directory::mark_unreachable(const std::string& name) {
  if (unreachable_.insert(name).second) ++generation_;
}

const instance_info* instance_directory::find(const std::string& name) const {
  const auto place = std::find_if(list_.begin(), list_.end(),
                                  [&](const instance_info& info) { return info.name == name; });
  return place == list_.end() ? nullptr : &*place;
}

std::vector<std::string> instance_directory::live_in(const domain_id& domain) const {
  return live_names(list_, [&](const instance_info& info) { return info.domain == domain; });
}

std::vector<std::string> instance_directory::live_outside(const domain_id& domain) const {
  return live_names(list_, [&](const instance_info& info) { return info.domain != domain; });
}

std::vector<std::string> instance_directory::assigner_order(const std::string& cell,
                                                            const domain_id& domain,
                                                            isolation_mode isolation) const {
  auto outside = rendezvous_order(cell, live_outside(domain));
  if (isolation == isolation_mode::move) return outside;
  auto order = rendezvous_order(cell, live_in(domain));
  order.insert(order.end(), outside.begin(), outside.end());
  return order;
}

std::vector<std::string> instance_directory::watchers_of(const domain_id& domain) const {
  auto order = rendezvous_order("watcher", live_in(domain));
  if (order.size() > watchers_per_domain) order.resize(watchers_per_domain);
  return order;
}

bool instance_directory::is_watcher() const {
  const auto watchers = watchers_of(domain_);
  return std::find(watchers.begin(), watchers.end(), self_name()) != watchers.end();
}

const instance_id* instance_directory::current_id(const std::string& name) const {
  const auto place = current_ids_.find(name);
  return place == current_ids_.end() ? nullptr : &place->second;
}

bool instance_directory::is_gone(const instance_id& id) const {
  const std::string name = instance_name(id);
  const auto* current = current_id(name);
  return (current != nullptr && *current != id) || find(name) == nullptr;
}

}  // namespace plantainpaddle
