#include "ownership/upstream_list.h"

#include <algorithm>
#include <vector>

namespace plantainpaddle {

void upstream_list::on_store_restored(monotonic_time now) {
  restored_ = now;
  if (ever_in_contact_) regained_ = now;
  in_contact_ = ever_in_contact_ = true;
}

// Within a life, an entry's sequence rises. A store that came back from an older copy shows entries
// that are older than known ones until their upstreams have written them again.
bool upstream_list::is_outdated(const registered_upstream& entry, monotonic_time now) const {
  if (restored_ == monotonic_time{} || now >= restored_ + timing_.back_after) return false;
  const auto is_older = [&](std::uint64_t life, std::uint64_t sequence) {
    return entry.life < life || (entry.life == life && entry.sequence < sequence);
  };
  const auto known = upstreams_.find(entry.id);
  if (known != upstreams_.end()) {
    return is_older(known->second.entry.life, known->second.entry.sequence);
  }
  const auto gone = departed_.find(entry.id);
  return gone != departed_.end() && is_older(gone->second.life, gone->second.sequence + 1);
}

void upstream_list::erase(const upstream_id& id, monotonic_time now) {
  const auto it = upstreams_.find(id);
  departed_[id] = {it->second.entry.life, it->second.entry.sequence, now};
  upstreams_.erase(it);
  std::erase_if(departed_,
                [&](const auto& gone) { return now - gone.second.at >= timing_.departed_memory; });
  std::erase_if(notices_, [&](const auto& given) {
    return !upstreams_.contains(given.first) && !departed_.contains(given.first);
  });
}

bool upstream_list::has_notice(const upstream_id& id, std::uint64_t life) const {
  const auto it = notices_.find(id);
  return it != notices_.end() && it->second == life;
}

bool upstream_list::on_notice(const upstream_id& id, std::uint64_t life, monotonic_time now) {
  const auto it = upstreams_.find(id);
  if (it == upstreams_.end() && !departed_.contains(id)) return false;
  auto& given = notices_[id];
  given = std::max(given, life);
  if (it == upstreams_.end() || it->second.entry.life != life) return false;
  if (it->second.entry.leaving) return false;
  it->second.entry.leaving = true;
  it->second.leaving_since = now;
  return true;
}

std::map<upstream_id, std::uint64_t> upstream_list::noticed() const {
  std::map<upstream_id, std::uint64_t> lives;
  for (const auto& [id, life] : notices_) {
    const auto it = upstreams_.find(id);
    if (it != upstreams_.end() && it->second.entry.life == life) lives[id] = life;
  }
  return lives;
}

bool upstream_list::on_entry(const registered_upstream& stored, monotonic_time now,
                             monotonic_time known_at) {
  if (is_outdated(stored, now)) return false;
  auto entry = stored;
  entry.leaving = entry.leaving || has_notice(entry.id, entry.life);
  listed fresh{entry, now + entry.warm_up_left, std::nullopt};
  if (entry.leaving) fresh.leaving_since = known_at;
  auto [it, added] = upstreams_.try_emplace(entry.id, fresh);
  if (added) return true;
  auto& known = it->second;
  // Each heartbeat states the remaining warm-up; the time at which it ends hasn't changed.
  auto same = entry;
  same.warm_up_left = known.entry.warm_up_left;
  same.sequence = known.entry.sequence;
  bool changed = same != known.entry || known.lapsed_until;
  if (entry.life == known.entry.life) {
    const bool cold_again = timing_.cold_again_margin && entry.warm_up_left > duration::zero() &&
                            fresh.warm_since > known.warm_since + *timing_.cold_again_margin;
    changed = changed || cold_again;
    if (!cold_again) fresh.warm_since = known.warm_since;
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
    erase(id, now);
    return true;
  }
  if (!it->second.lapsed_until) it->second.lapsed_until = regained_ + timing_.back_after;
  next_lapse_ = std::min(next_lapse_.value_or(*it->second.lapsed_until), *it->second.lapsed_until);
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
  if (!in_contact_ || !next_lapse_ || now < *next_lapse_) return false;
  next_lapse_.reset();
  std::vector<upstream_id> lapsed;
  for (const auto& [id, known] : upstreams_) {
    if (!known.lapsed_until) continue;
    if (now >= *known.lapsed_until) {
      lapsed.push_back(id);
    } else {
      next_lapse_ = std::min(next_lapse_.value_or(*known.lapsed_until), *known.lapsed_until);
    }
  }
  for (const auto& id : lapsed) erase(id, now);
  return !lapsed.empty();
}

}  // namespace plantainpaddle
