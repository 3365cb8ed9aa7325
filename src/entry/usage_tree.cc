#include "entry/usage_tree.h"

#include <algorithm>
#include <set>

#include "ownership/rendezvous.h"

namespace plantainpaddle {
namespace {

constexpr duration report_lifetime = seconds(3);  // a silent instance's usage counts this long
constexpr std::size_t max_reporters = 64;         // children, and roots of other domains

std::vector<std::string> tree_order(const instance_directory& directory, const domain_id& domain) {
  return rendezvous_order("limits", directory.live_in(domain));
}

}  // namespace

std::vector<std::string> limit_tree_parents(const instance_directory& directory) {
  const auto* self = directory.find(directory.self_name());
  if (self == nullptr) return {};
  const auto order = tree_order(directory, self->domain);
  const auto place = std::find(order.begin(), order.end(), self->name);
  if (place == order.end()) return {};
  const auto index = static_cast<std::size_t>(place - order.begin());
  if (index > 0) return {order[(index - 1) / limit_tree_fan_in]};
  std::set<domain_id> domains;
  for (const auto& info : directory.list()) {
    if (info.domain != self->domain) domains.insert(info.domain);
  }
  std::vector<std::string> roots;
  for (const auto& domain : domains) {
    auto other = tree_order(directory, domain);
    if (!other.empty()) roots.push_back(std::move(other.front()));
  }
  return roots;
}

void usage_tree::set_own(const std::vector<limit_use>& used) {
  own_.entries.clear();
  for (const auto& use : used) own_.entries.push_back({use.limit, use.tenant.value, use.used});
}

void usage_tree::add(sums& to, const std::map<instance_id, received>& parts, monotonic_time now,
                     const instance_id* except) {
  for (const auto& [id, part] : parts) {
    if (now > part.at + report_lifetime || (except != nullptr && id == *except)) continue;
    for (const auto& entry : part.usage.entries) to[{entry.limit, entry.tenant}] += entry.used;
  }
}

usage_tree::sums usage_tree::subtree_sum(monotonic_time now, const instance_id* except) const {
  sums total;
  for (const auto& entry : own_.entries) total[{entry.limit, entry.tenant}] += entry.used;
  add(total, children_, now, except);
  return total;
}

limit_usage usage_tree::to_usage(const sums& from) {
  limit_usage usage;
  for (const auto& [key, used] : from) usage.entries.push_back({key.first, key.second, used});
  return usage;
}

limit_usage usage_tree::report(monotonic_time now) const {
  return to_usage(subtree_sum(now, nullptr));
}

limit_usage usage_tree::on_report(const instance_id& from, bool same_domain,
                                  const limit_usage& usage, monotonic_time now) {
  auto& parts = same_domain ? children_ : roots_;
  std::erase_if(parts, [&](const auto& part) { return now > part.second.at + report_lifetime; });
  if (parts.size() < max_reporters || parts.contains(from)) parts[from] = {usage, now};
  if (!same_domain) return {};  // this root's own report tells the other root
  sums total = subtree_sum(now, &from);
  add(total, roots_, now, nullptr);
  add(total, parent_, now, nullptr);
  return to_usage(total);
}

void usage_tree::on_answer(const instance_id& from, bool same_domain, const limit_usage& usage,
                           monotonic_time now) {
  if (!same_domain) return;
  parent_.clear();
  parent_[from] = {usage, now};
}

std::vector<limit_use> usage_tree::usage_of_others(monotonic_time now) const {
  sums total;
  add(total, children_, now, nullptr);
  add(total, roots_, now, nullptr);
  add(total, parent_, now, nullptr);
  std::vector<limit_use> uses;
  for (const auto& [key, used] : total) uses.push_back({key.first, {key.second}, used});
  return uses;
}

}  // namespace plantainpaddle
