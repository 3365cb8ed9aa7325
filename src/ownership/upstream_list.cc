#include "ownership/upstream_list.h"

namespace plantainpaddle {

bool upstream_list::on_entry(const registered_upstream& entry, monotonic_time now) {
  listed fresh{entry, now + entry.warm_up_left, std::nullopt};
  auto [place, added] = upstreams_.try_emplace(entry.id, fresh);
  if (added) return true;
  auto& known = place->second;
  // Each beat states what is left of the warm-up: its end is where it was.
  auto same = entry;
  same.warm_up_left = known.entry.warm_up_left;
  const bool changed = same != known.entry || known.lapsed_until;
  if (entry.life == known.entry.life) fresh.warm_since = known.warm_since;
  known = fresh;
  return changed;
}

bool upstream_list::on_removed(const upstream_id& id, monotonic_time now) {
  const auto place = upstreams_.find(id);
  if (place == upstreams_.end()) return false;
  // A leaving upstream's entry is expected to go.
  const bool outage = ever_in_contact_ && now < regained_ + timing_.back_after;
  if (!outage || place->second.entry.leaving) {
    upstreams_.erase(place);
    return true;
  }
  if (!place->second.lapsed_until) place->second.lapsed_until = regained_ + timing_.back_after;
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
