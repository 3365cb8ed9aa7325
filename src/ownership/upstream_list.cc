#include "ownership/upstream_list.h"

namespace plantainpaddle {

bool upstream_list::on_entry(const registered_upstream& entry, monotonic_time now,
                             monotonic_time known_at) {
  listed fresh{entry, now + entry.warm_up_left, std::nullopt};
  if (entry.leaving) fresh.leaving_since = known_at;
  auto [it, added] = upstreams_.try_emplace(entry.id, fresh);
  if (added) return true;
  auto& known = it->second;
  // Each heartbeat states the remaining warm-up; the time at which it ends hasn't changed.
  auto same = entry;
  same.warm_up_left = known.entry.warm_up_left;
  const bool changed = same != known.entry || known.lapsed_until;
  if (entry.life == known.entry.life) {
    fresh.warm_since = known.warm_since;
    if (entry.leaving && known.entry.leaving) fresh.leaving_since = known.leaving_since;
  }
  known = fresh;
  return changed;
}

bool upstream_list::on_removed(const upstream_id& id, monotonic_time now) {
  const auto it = upstreams_.find(id);
  if (it == upstreams_.end()) return false;
  // A leaving upstream removes its entry, so there is no reason to wait for it.
  const bool outage = ever_in_contact_ && now < regained_ + timing_.back_after;
  if (!outage || it->second.entry.leaving) {
    upstreams_.erase(it);
    return true;
  }
  if (!it->second.lapsed_until) it->second.lapsed_until = regained_ + timing_.back_after;
  return false;
}

bool upstream_list::on_full_list(const std::set<upstream_id>& present, monotonic_time now) {
  std::set<upstream_id> missing;
  for (const auto& [id, known] : upstreams_) {
    if (!present.contains(id)) missing.insert(id);
  }
  bool changed = false;
  for (const auto& id : missing) changed = on_removed(id, now) || changed;
  return changed;
}

void upstream_list::on_contact(monotonic_time now) {
  if (!in_contact_ && ever_in_contact_) regained_ = now;
  in_contact_ = true;
  ever_in_contact_ = true;
}

bool upstream_list::expire(monotonic_time now) {
  if (!in_contact_) return false;
  return std::erase_if(upstreams_, [&](const auto& known) {
           return known.second.lapsed_until && now >= *known.second.lapsed_until;
         }) != 0;
}

bool upstream_list::is_replaced(const upstream_id& id, const service_id& service,
                                const std::string& address) const {
  if (upstreams_.contains(id)) return false;
  bool replaced = false;
  for (const auto& [name, known] : upstreams_) {
    if (known.entry.address != address) continue;
    if (known.entry.service == service) return false;
    replaced = true;
  }
  return replaced;
}

}  // namespace plantainpaddle
