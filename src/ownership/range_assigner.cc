// Grants leases on key ranges so that no two upstreams hold a key at once, for these reasons:
//
// 1. The record changes by compare-and-swap, and a takeover writes it, so that any write that an
//    earlier assigner still has in flight fails.
// 2. A range's owner gets a grant only when every former owner has released the range under the
//    owner's fence or its grants have expired. An upstream that released under a fence refuses all
//    lower ones, so that a late renewal, from any assigner, doesn't restore its hold.
// 3. The grants of a former owner that doesn't answer have expired once the longest hold has passed
//    since the last grant that may have been sent to it. The assigner notes its own grants as it
//    sends them. An earlier assigner may send renewals until its proof of leadership expires, at
//    most `proof_validity` after the takeover. Once the owner has accepted a grant under a newer
//    fence, it refuses the earlier assigner's, and only this assigner's grants count. An assigner
//    that relinquishes leadership states for how long its grants and its predecessors' may last,
//    and sends nothing afterwards. An upstream keeps the longer of two holds.
// 4. An upstream that restarts forgets its fences. So a fence is granted over one link only: the
//    link's end is the earliest sign of a restart, and a new link gets new fences through the
//    record. The first grant over a link also waits for a proof of leadership that was requested
//    after the link opened. Until then, no successor can have given the upstream's present
//    incarnation a fence that its next one would have forgotten.
// 5. A proof of leadership expires `proof_validity` after its request was sent. A process that was
//    paused finds it expired before it sends.
// 6. When the store comes back from an older copy, ranges are in doubt until it is known that
//    nobody else holds them, and grants are restricted that the next assigner couldn't know of:
//    range_assigner_doubts.cc.
// 7. Orders go only over connections that are known to lead to the upstream that they are for, and
//    an upstream counts as ended only if another one answers at the address where it has answered
//    this assigner: upstream_presence.cc.
//
// Each new fence is above last_fence of the record in which it is first written, and the fences of
// an era are above those of earlier eras, so fences only rise.
//
// tick() and adopt() take time linear in the number of ranges, which the plan's most_ranges bounds.
#include "ownership/range_assigner.h"

#include <algorithm>
#include <set>

namespace plantainpaddle {

duration longest_hold(const range_timing& timing, duration hold) {
  const auto length = static_cast<double>(hold.count());
  return duration(static_cast<duration::rep>(length * (1 + timing.clock_drift))) + timing.margin;
}

duration range_assigner::longest_predecessor_hold() const {
  return longest_hold(timing_, std::max(timing_.hold, timing_.outage_hold));
}

void range_assigner::start(range_record record, std::uint64_t version,
                           range_predecessor predecessor, monotonic_time now) {
  record_ = std::move(record);
  version_ = version;
  if (predecessor.relinquished && predecessor.lapses_in) {
    predecessors_expire_at_ = now + *predecessor.lapses_in;
  } else {
    const auto renewals_end =
        predecessor.exists && !predecessor.relinquished ? now + timing_.proof_validity : now;
    predecessors_expire_at_ = renewals_end + longest_predecessor_hold();
  }
  states_.assign(record_.ranges.size(), {});
  for (std::size_t i = 0; i < states_.size(); ++i) {
    auto& state = states_[i];
    state.predecessor_may_renew = predecessor.exists;
    state.named_at = now;
    for (const auto& name : record_.ranges[i].former) {
      state.former.push_back({name, predecessors_expire_at_});
    }
  }
  if (record_.lapsed) {
    for (auto& state : states_) state.lapsed_at = now;
  }
  if (record_.unsettled) begin_doubts(predecessor.era_seen.value_or(now));
}

void range_assigner::set_upstreams(const std::vector<range_upstream>& listed, monotonic_time now) {
  std::set<upstream_id> served_before;
  for (auto& [name, state] : upstreams_) {
    if (state.listed && state.serving) served_before.insert(name);
    state.listed = state.serving = false;
  }
  for (const auto& upstream : listed) {
    auto [it, added] = upstreams_.try_emplace(upstream.name);
    auto& state = it->second;
    if (added) state.unlinked_since = now;
    state.capacity = upstream.capacity;
    state.listed = true;
    state.serving = upstream.serving;
    if (upstream.life == state.life && upstream.sequence > state.sequence) state.heard_at = now;
    state.life = upstream.life;
    state.sequence = upstream.sequence;
  }
  for (const auto& [name, state] : upstreams_) {
    if ((state.listed && state.serving) != served_before.contains(name)) upstreams_changed_ = true;
  }
}

void range_assigner::on_entries_known(monotonic_time until) {
  if (until - entries_until_ > timing_.max_entries_gap) entries_since_ = until;
  entries_until_ = std::max(entries_until_, until);
}

void range_assigner::on_link(const upstream_id& upstream, link_number link, monotonic_time now) {
  auto& state = upstreams_[upstream];
  if (link == 0 && state.link != 0) {
    state.unlinked_since = now;
    for (std::size_t i = 0; i < states_.size(); ++i) {
      if (record_.ranges[i].owner != upstream) continue;
      states_[i].under_way = false;
      states_[i].claims.clear();
    }
  }
  if (link != 0) {
    state.linked_since = now;
    state.ended = false;
  }
  if (state.link != link) upstreams_changed_ = true;
  state.link = link;
  state.busy = false;
}

void range_assigner::on_reached(const upstream_id& upstream, monotonic_time now) {
  auto& state = upstreams_[upstream];
  const bool suspect = now - state.unlinked_since >= timing_.suspect_after;
  if (state.link == 0 && !suspect) state.unlinked_since = now;
}

void range_assigner::on_displaced(const upstream_id& upstream, bool ended, monotonic_time now) {
  auto& state = upstreams_[upstream];
  if (state.link != 0) return;
  state.unlinked_since = std::min(state.unlinked_since, now - timing_.suspect_after);
  upstreams_changed_ = true;
  if (!ended) return;
  state.ended = true;
  for (std::size_t i = 0; i < states_.size(); ++i) {
    if (record_.ranges[i].owner == upstream) {
      states_[i].held_until = std::min(states_[i].held_until, now);
      states_[i].predecessor_may_renew = false;
    }
    for (auto& former : states_[i].former) {
      if (former.name != upstream) continue;
      former.expires_at = std::min(former.expires_at, now);
      former.release_pending = false;
    }
  }
}

void range_assigner::confirm(monotonic_time sent) {
  confirmed_ = std::max(confirmed_, sent);
  renew_until_ = confirmed_ + timing_.proof_validity;
}

std::optional<std::size_t> range_assigner::find(std::uint32_t first, std::uint32_t last,
                                                fence_number fence) const {
  for (std::size_t i = 0; i < record_.ranges.size(); ++i) {
    const auto& entry = record_.ranges[i];
    if (entry.first != first || entry.last != last) continue;
    if (release_fence(entry.fence) == fence) return i;
  }
  return std::nullopt;
}

void range_assigner::end_grant(const range_action::grant& order) {
  const auto it = upstreams_.find(order.upstream);
  if (it != upstreams_.end() && it->second.link == order.link) it->second.busy = false;
}

void range_assigner::on_granted(const range_action::grant& order, monotonic_time now) {
  end_grant(order);
  // The ranges may have been split or joined since.
  for (std::size_t i = 0; i < states_.size(); ++i) {
    const auto& entry = record_.ranges[i];
    auto& state = states_[i];
    if (end_claim(i, order, true)) continue;
    if (entry.owner != order.upstream || entry.fence != order.fence) continue;
    if (entry.first < order.first || entry.last > order.last) continue;
    state.granted = true;
    // The upstream refuses an earlier assigner's grants from now on, but one that it accepted
    // before may last longer than this grant.
    if (state.predecessor_may_renew) {
      const auto longest = std::min(now + longest_predecessor_hold(), predecessors_expire_at_);
      state.held_until = std::max(state.held_until, longest);
    }
    if (now >= doubt_ends_ || !is_inherited(record_, entry.fence))
      state.predecessor_may_renew = false;
    state.under_way = false;
    state.handover.clear();
    state.renew_at = std::max(state.renew_at, now);
    if (state.in_doubt && state.sent_at >= settled_from_) settle(state);
  }
}

void range_assigner::on_refused(const range_action::grant& order, monotonic_time now) {
  end_grant(order);
  // Another assigner issued a higher fence: the record shows it, or the range gets a new fence.
  for (std::size_t i = 0; i < states_.size(); ++i) {
    const auto& entry = record_.ranges[i];
    if (end_claim(i, order, false)) continue;
    if (entry.owner != order.upstream || entry.fence != order.fence) continue;
    if (entry.first < order.first || entry.last > order.last) continue;
    states_[i].under_way = false;
    states_[i].granted = false;
    states_[i].link = 0;  // matches no link, so that the range gets a new fence
    states_[i].renew_at = now + timing_.renew;
  }
}

void range_assigner::on_released(const range_action::release& order, const std::string& handover,
                                 monotonic_time) {
  const auto it = find(order.first, order.last, order.fence);
  if (!it) return;
  auto& state = states_[*it];
  for (auto& former : state.former) {
    if (former.name != order.upstream) continue;
    former.released = former.has_released = true;
    former.release_pending = false;
    if (!handover.empty() && state.former.back().name == former.name) state.handover = handover;
  }
}

void range_assigner::on_release_failed(const range_action::release& order, monotonic_time now) {
  const auto it = find(order.first, order.last, order.fence);
  if (!it) return;
  for (auto& former : states_[*it].former) {
    if (former.name != order.upstream) continue;
    former.release_pending = false;
    former.retry_at = now + timing_.release_retry;
  }
}

void range_assigner::on_written(std::uint64_t version, monotonic_time now) {
  if (write_ != write_state::under_way) return;
  write_ = write_state::idle;
  version_ = version;
  adopt(std::move(next_), now);
}

void range_assigner::on_not_written(monotonic_time now) {
  if (write_ != write_state::under_way) return;
  write_ = write_state::idle;
  write_after_ = now + timing_.write_retry;
}

bool range_assigner::on_read(const instance_id& self, range_record record, std::uint64_t version,
                             monotonic_time now) {
  if (suspended_) return true;
  if (record.assigner != self || record.term != record_.term) {
    stopped_ = true;
    return false;
  }
  if (version != version_) adopt(std::move(record), now);
  // A write whose answer was lost may still take effect. The next write has the same version as its
  // condition, so that one of the two fails.
  version_ = version;
  write_ = write_state::idle;
  return true;
}

// Replaces the record and derives the new entries' states from the old ones. Each new entry lies
// within an old one or merges adjacent entries of one owner.
void range_assigner::adopt(range_record next, monotonic_time now) {
  std::vector<range_state> states;
  std::size_t begin = 0;  // of the old entries that overlap the new one
  for (const auto& entry : next.ranges) {
    range_state made;
    bool first = true;
    while (record_.ranges[begin].last < entry.first) ++begin;
    const auto& same_place = record_.ranges[begin];
    if (same_place.first == entry.first && same_place.last == entry.last &&
        same_place.fence == entry.fence && same_place.owner == entry.owner) {
      // Nothing has moved, so that a release that is under way still answers for its former owner.
      made = states_[begin];
      std::erase_if(made.former, [&](const auto& f) {
        return std::find(entry.former.begin(), entry.former.end(), f.name) == entry.former.end();
      });
      states.push_back(std::move(made));
      continue;
    }
    for (std::size_t i = begin; i < record_.ranges.size(); ++i) {
      const auto& before = record_.ranges[i];
      if (before.first > entry.last) break;
      const auto& old = states_[i];
      const bool in_doubt = made.in_doubt || old.in_doubt;
      const auto lapsed_at = std::max(made.lapsed_at, old.lapsed_at);
      const auto highest_granted = std::max(made.highest_granted, old.highest_granted);
      const auto named_at =
          std::max(made.named_at, before.owner == entry.owner ? old.named_at : now);
      if (before.owner == entry.owner) {
        const bool same_fence = before.fence == entry.fence;
        if (first && same_fence) {
          made = old;
        } else if (first) {
          made = {.held_until = old.held_until,
                  .predecessor_may_renew = old.predecessor_may_renew,
                  .handover = old.handover};
        } else {
          made.granted = made.granted && old.granted && same_fence;
          made.predecessor_may_renew = made.predecessor_may_renew || old.predecessor_may_renew;
          made.held_until = std::max(made.held_until, old.held_until);
          made.renew_at = std::min(made.renew_at, old.renew_at);
        }
        // The answer to a grant in flight doesn't cover the merged range.
        if (before.last < entry.last) made.under_way = false;
      } else if (entry.owner) {
        // A former owner that gets the range back may still hold it by its last grant.
        const auto again = std::find_if(old.former.begin(), old.former.end(),
                                        [&](const auto& f) { return f.name == *entry.owner; });
        if (again != old.former.end() && !again->released) {
          made.held_until = std::max(made.held_until, again->expires_at);
          if (again->may_claim && !again->has_released) made.earlier_fence = again->fence;
        }
      }
      made.in_doubt = in_doubt;
      made.lapsed_at = lapsed_at;
      made.named_at = named_at;
      made.highest_granted = highest_granted;
      made.claims.clear();
      for (const auto& name : entry.former) {
        former_owner carried{.name = name};
        const auto known = std::find_if(old.former.begin(), old.former.end(),
                                        [&](const auto& f) { return f.name == name; });
        if (known != old.former.end()) {
          carried = *known;
          // A release under a lower fence doesn't block grants under fences between the two.
          if (before.fence != entry.fence) carried.released = carried.release_pending = false;
          if (before.first != entry.first || before.last != entry.last)
            carried.release_pending = false;
        }
        if (before.owner == name) {
          carried.expires_at = std::max(carried.expires_at, expires_at(old));
          carried.released = carried.release_pending = false;
          carried.has_released = false;
          // One with former owners has no grant yet, and claims nothing.
          if (before.former.empty()) {
            carried.fence = before.fence;
          } else {
            carried.fence = old.earlier_fence;
            carried.may_claim = old.earlier_fence.has_value();
          }
        }
        const auto same = std::find_if(made.former.begin(), made.former.end(),
                                       [&](const auto& f) { return f.name == name; });
        if (same == made.former.end()) {
          made.former.push_back(carried);
        } else {
          same->expires_at = std::max(same->expires_at, carried.expires_at);
          same->released = same->released && carried.released;
          same->has_released = same->has_released && carried.has_released;
          same->may_claim = same->may_claim || carried.may_claim;
          if (same->fence != carried.fence) same->fence.reset();
          same->release_pending = false;
        }
      }
      first = false;
    }
    std::erase_if(made.former, [&](const auto& f) {
      return std::find(entry.former.begin(), entry.former.end(), f.name) == entry.former.end();
    });
    states.push_back(std::move(made));
  }
  record_ = std::move(next);
  states_ = std::move(states);
}

monotonic_time range_assigner::expires_at(const range_state& state) const {
  return state.predecessor_may_renew ? std::max(state.held_until, predecessors_expire_at_)
                                     : state.held_until;
}

bool range_assigner::is_resolved(const former_owner& former, monotonic_time now) const {
  return former.released || now >= former.expires_at;
}

bool range_assigner::all_resolved(const range_state& state, monotonic_time now) const {
  return std::all_of(state.former.begin(), state.former.end(),
                     [&](const auto& former) { return is_resolved(former, now); });
}

bool range_assigner::is_usable(const upstream_state& state, monotonic_time now) const {
  const bool reachable = state.link != 0 || now - state.unlinked_since < timing_.suspect_after;
  return state.listed && state.serving && reachable;
}

std::vector<range_upstream> range_assigner::usable_upstreams(monotonic_time now) const {
  std::vector<range_upstream> found;
  for (const auto& [name, state] : upstreams_) {
    found.push_back({name, state.capacity, is_usable(state, now)});
  }
  return found;
}

bool range_assigner::is_isolated(monotonic_time now) const {
  std::size_t listed = 0;
  std::size_t unreachable = 0;
  for (const auto& [name, state] : upstreams_) {
    if (!state.listed) continue;
    ++listed;
    const bool lost = state.link == 0 && now - state.unlinked_since >= timing_.suspect_after;
    unreachable += lost ? 1 : 0;
  }
  return static_cast<double>(unreachable) > timing_.max_unreachable * static_cast<double>(listed);
}

// Removes former owners that no longer hold keys, so that the next assigner needn't have them
// release the keys. They stay until the owner has its grant, which shows other instances the end of
// the move.
void range_assigner::clear_former(range_record& next, monotonic_time now) const {
  for (std::size_t i = 0; i < next.ranges.size(); ++i) {
    auto& entry = next.ranges[i];
    if (!entry.former.empty() && states_[i].granted && all_resolved(states_[i], now)) {
      entry.former.clear();
    }
  }
}

// Gives new fences to owners whose fences were granted over a link that has ended.
void range_assigner::stage_fences(range_record& next) const {
  std::set<upstream_id> bound;
  for (std::size_t i = 0; i < record_.ranges.size(); ++i) {
    const auto& owner = record_.ranges[i].owner;
    if (!owner || !states_[i].link || states_[i].in_doubt) continue;
    const auto it = upstreams_.find(*owner);
    if (it == upstreams_.end() || it->second.link == 0) continue;
    if (*states_[i].link != it->second.link) bound.insert(*owner);
  }
  if (bound.empty()) return;
  renew_fences(next, [&](std::size_t i) {
    if (states_[i].in_doubt || !bound.contains(*next.ranges[i].owner)) return fence_change::none;
    const bool restricted =
        is_restricted(states_[i]) && !is_inherited(record_, record_.ranges[i].fence);
    return restricted ? fence_change::same_block : fence_change::next_block;
  });
}

void range_assigner::rebalance(const key_load& load, monotonic_time now) {
  if (is_isolated(now)) return;
  planned_ = plan_ranges(record_, usable_upstreams(now), load, plan_);
}

void range_assigner::stage(const key_load& load, monotonic_time now) {
  next_ = record_;
  next_.unsettled = has_doubt();
  clear_former(next_, now);
  stage_fences(next_);
  stage_lapses(next_, now);
  const auto usable = usable_upstreams(now);
  bool has_unserved = false;
  for (std::size_t i = 0; i < states_.size(); ++i) {
    const auto& entry = record_.ranges[i];
    const auto owner = entry.owner ? upstreams_.find(*entry.owner) : upstreams_.end();
    const bool served = owner != upstreams_.end() && is_usable(owner->second, now);
    has_unserved = has_unserved || (!served && !states_[i].in_doubt);
  }
  if (has_unserved && !is_isolated(now)) {
    range_plan_config reassign_config = plan_;
    reassign_config.most_moves = 0;
    reassign_config.most_relief_moves = 0;
    for (const auto& move : plan_ranges(next_, usable, load, reassign_config)) {
      if (overlaps(move, [](const auto& state) { return state.in_doubt; })) continue;
      move_range(next_, move.first, move.last, move.to,
                 [&](const auto& entry) { return is_lapsing(entry); });
    }
  }
  if (has_doubt()) planned_.clear();
  for (const auto& move : planned_) {
    const auto it = upstreams_.find(move.to);
    if (it == upstreams_.end() || !is_usable(it->second, now)) continue;
    if (overlaps(move, [&](const auto& state) { return is_restricted(state); })) continue;
    move_range(next_, move.first, move.last, move.to);
  }
  planned_.clear();
  note_lapsed(next_, now);
  note_lives(next_);
  if (!has_doubt()) merge_ranges(next_);
}

std::vector<range_order> range_assigner::tick(const key_load& load, monotonic_time now) {
  std::vector<range_order> out;
  if (stopped_) return out;
  if (suspended_) {
    emit_grants(out, now);
    return out;
  }
  end_doubts(now);
  const bool due = upstreams_changed_ || now >= stage_after_;
  if (write_ == write_state::idle && now >= write_after_ && due) {
    upstreams_changed_ = false;
    stage_after_ = now + timing_.stage_period;
    stage(load, now);
    const bool newly_lapsed = next_.lapsed && !record_.lapsed;
    if (next_.ranges != record_.ranges || next_.unsettled != record_.unsettled || newly_lapsed) {
      next_.mark = record_.mark + 1;
      write_ = write_state::under_way;
      out.emplace_back(range_action::write{version_, next_});
    }
  }
  emit_releases(out, now);
  emit_grants(out, now);
  return out;
}

void range_assigner::emit_releases(std::vector<range_order>& out, monotonic_time now) {
  if (!may_release(now)) return;
  for (std::size_t i = 0; i < states_.size(); ++i) {
    const auto& entry = record_.ranges[i];
    for (auto& former : states_[i].former) {
      if (former.release_pending || former.released || now < former.retry_at) continue;
      const auto it = upstreams_.find(former.name);
      const bool linked = it != upstreams_.end() && it->second.link != 0;
      if (now >= former.expires_at && !linked) continue;
      former.release_pending = true;
      out.emplace_back(
          range_action::release{former.name, entry.first, entry.last, release_fence(entry.fence)});
    }
  }
}

void range_assigner::emit_grants(std::vector<range_order>& out, monotonic_time now) {
  if (!may_renew(now)) return;
  for (std::size_t i = 0; i < states_.size(); ++i) {
    const auto& entry = record_.ranges[i];
    auto& state = states_[i];
    if (!entry.owner || state.under_way) continue;
    const auto it = upstreams_.find(*entry.owner);
    if (it == upstreams_.end() || it->second.link == 0 || it->second.busy) continue;
    auto& owner = it->second;
    const auto link = owner.link;
    if (state.link != link && confirmed_ <= owner.linked_since) continue;
    if (state.in_doubt && (state.link != link || !state.claims.empty())) {
      if (auto* claim = next_claim(i, owner, now)) {
        claim->under_way = true;
        claim->renew_at = now + timing_.renew;
        auto order = make_grant(i, owner, now);
        order.first = claim->first;
        order.last = claim->last;
        order.fence = claim_fence(record_, entry);
        out.emplace_back(std::move(order));
      }
      continue;
    }
    if (now < state.renew_at) continue;
    if (state.link && *state.link != link) continue;  // waits for a new fence
    if (!state.link && is_taken_back(entry)) continue;
    if (!all_resolved(state, now) || (!state.link && !may_first_grant(i, now))) continue;
    if (is_restricted(state) && !may_release(now)) continue;
    state.renew_at = now + timing_.renew;
    state.under_way = true;
    out.emplace_back(make_grant(i, owner, now));
  }
}

duration range_assigner::hold_for(const range_state& state, monotonic_time now) const {
  const bool confirmed = now - confirmed_ < timing_.outage_after;
  return confirmed || is_restricted(state) ? timing_.hold : timing_.outage_hold;
}

range_action::grant range_assigner::make_grant(std::size_t index, upstream_state& to,
                                               monotonic_time now) {
  const auto& entry = record_.ranges[index];
  auto& state = states_[index];
  const auto hold = hold_for(state, now);
  state.link = to.link;
  state.sent_at = now;
  state.highest_granted = std::max(state.highest_granted, entry.fence);
  state.held_until = std::max(state.held_until, now + longest_hold(timing_, hold));
  to.busy = true;
  return {*entry.owner, to.link, entry.first, entry.last, entry.fence, hold, state.handover};
}

monotonic_time range_assigner::last_expiry(monotonic_time now) const {
  auto last = now;
  for (const auto& state : states_) {
    last = std::max(last, expires_at(state));
    for (const auto& former : state.former) {
      if (!former.released) last = std::max(last, former.expires_at);
    }
  }
  return last;
}

range_record range_assigner::relinquish(monotonic_time now) {
  stopped_ = true;
  range_record relinquished = record_;
  relinquished.assigner = {};
  relinquished.address.clear();
  relinquished.mark = record_.mark + 1;
  relinquished.lapses_in = last_expiry(now) - now;
  relinquished.unsettled = has_doubt();
  return relinquished;
}

}  // namespace plantainpaddle
