// Why no two upstreams hold a key at once:
//
// 1. The record changes by compare-and-swap, and a takeover writes it: whatever an earlier assigner
//    still has under way to the store fails.
// 2. A range's owner gets a grant only when every former owner has released the range under the
//    owner's fence, or can't hold it any more. An upstream that released under a fence refuses all
//    lower ones, so that no renewal that comes late, from whomever, brings it back.
// 3. A former owner that doesn't answer can't hold the range after the last grant that may have
// been
//    sent to it, plus the longest hold. Own grants are noted as they are sent. An earlier assigner
//    renews until its right ends, which is at most `right` after the takeover; once the owner has
//    accepted a grant under a newer fence, the earlier assigner is shut out and only own grants
//    count. One that gives up its right says how long what it and its predecessors granted may
//    still last, and sends nothing afterwards. An upstream keeps the longer of two holds.
// 4. An upstream that restarts forgets its fences. So a fence is granted over one link only: the
//    link's end is the earliest sign of a restart, and a new link gets new fences through the
//    record. The first grant over a link also waits for a proof of leadership that was asked for
//    after the link was there: until then no successor can have given the upstream's present life a
//    fence that its next life would have forgotten.
// 5. Every proof of leadership ends after `right`, counted from the question. A process that was
//    paused finds its right ended before it sends.
//
// Fences only rise: each is above last_fence of the record that it is written with.
#include "ownership/range_assigner.h"

#include <algorithm>

namespace plantainpaddle {

duration longest_hold(const range_timing& timing, duration hold) {
  const auto length = static_cast<double>(hold.count());
  return duration(static_cast<duration::rep>(length * (1 + timing.clock_drift))) + timing.margin;
}

duration range_assigner::longest_inherited() const {
  return longest_hold(timing_, std::max(timing_.hold, timing_.outage_hold));
}

void range_assigner::start(range_record record, std::uint64_t version,
                           range_predecessor predecessor, monotonic_time now) {
  record_ = std::move(record);
  version_ = version;
  if (predecessor.conceded && predecessor.lapses_in) {
    inherited_until_ = now + *predecessor.lapses_in;
  } else {
    const auto right_until = predecessor.any && !predecessor.conceded ? now + timing_.right : now;
    inherited_until_ = right_until + longest_inherited();
  }
  states_.assign(record_.ranges.size(), {});
  for (std::size_t i = 0; i < states_.size(); ++i) {
    auto& state = states_[i];
    state.foreign = predecessor.any;
    for (const auto& name : record_.ranges[i].former) {
      state.former.push_back({name, inherited_until_});
    }
  }
}

void range_assigner::set_upstreams(const std::vector<range_upstream>& listed, monotonic_time now) {
  for (auto& [name, state] : upstreams_) state.listed = state.serving = false;
  for (const auto& upstream : listed) {
    auto [place, added] = upstreams_.try_emplace(upstream.name);
    auto& state = place->second;
    if (added) state.unlinked_since = now;
    state.capacity = upstream.capacity;
    state.listed = true;
    state.serving = upstream.serving;
  }
}

void range_assigner::on_link(const upstream_id& upstream, link_number link, monotonic_time now) {
  auto& state = upstreams_[upstream];
  if (link == 0 && state.link != 0) {
    state.unlinked_since = now;
    for (std::size_t i = 0; i < states_.size(); ++i) {
      if (record_.ranges[i].owner == upstream) states_[i].under_way = false;
    }
  }
  if (link != 0) state.linked_since = now;
  state.link = link;
  state.busy = false;
}

void range_assigner::confirm(monotonic_time sent) {
  confirmed_ = std::max(confirmed_, sent);
  renew_until_ = confirmed_ + timing_.right;
}

std::optional<std::size_t> range_assigner::find(std::uint32_t first, std::uint32_t last,
                                                fence_number fence) const {
  for (std::size_t i = 0; i < record_.ranges.size(); ++i) {
    const auto& entry = record_.ranges[i];
    if (entry.first == first && entry.last == last && entry.fence == fence) return i;
  }
  return std::nullopt;
}

void range_assigner::end_grant(const range_action::grant& order) {
  const auto place = upstreams_.find(order.upstream);
  if (place != upstreams_.end() && place->second.link == order.link) place->second.busy = false;
}

void range_assigner::on_granted(const range_action::grant& order, monotonic_time now) {
  end_grant(order);
  // The ranges may have been split or joined since.
  for (std::size_t i = 0; i < states_.size(); ++i) {
    const auto& entry = record_.ranges[i];
    auto& state = states_[i];
    if (entry.owner != order.upstream || entry.fence != order.fence) continue;
    if (entry.first < order.first || entry.last > order.last) continue;
    state.granted = true;
    // Nothing of an earlier assigner is accepted any more; what it gave may last longer than this
    // grant.
    if (state.foreign) {
      const auto longest = std::min(now + longest_inherited(), inherited_until_);
      state.held_until = std::max(state.held_until, longest);
    }
    state.foreign = false;
    state.under_way = false;
    state.handover.clear();
    state.renew_at = std::max(state.renew_at, now);
  }
}

void range_assigner::on_refused(const range_action::grant& order, monotonic_time now) {
  end_grant(order);
  // Somebody has given a higher fence: the record will tell, or the range needs a new one.
  for (std::size_t i = 0; i < states_.size(); ++i) {
    const auto& entry = record_.ranges[i];
    if (entry.owner != order.upstream || entry.fence != order.fence) continue;
    if (entry.first < order.first || entry.last > order.last) continue;
    states_[i].under_way = false;
    states_[i].granted = false;
    states_[i].link = 0;  // bound to no link that there is
    states_[i].renew_at = now + timing_.renew;
  }
}

void range_assigner::on_released(const range_action::release& order, const std::string& handover,
                                 monotonic_time) {
  const auto place = find(order.first, order.last, order.fence);
  if (!place) return;
  auto& state = states_[*place];
  for (auto& former : state.former) {
    if (former.name != order.upstream) continue;
    former.released = true;
    former.asked = false;
    if (!handover.empty() && state.former.back().name == former.name) state.handover = handover;
  }
}

void range_assigner::on_release_failed(const range_action::release& order, monotonic_time now) {
  const auto place = find(order.first, order.last, order.fence);
  if (!place) return;
  for (auto& former : states_[*place].former) {
    if (former.name != order.upstream) continue;
    former.asked = false;
    former.ask_again = now + timing_.release_retry;
  }
}

void range_assigner::on_written(std::uint64_t version, monotonic_time) {
  if (write_ != write_state::under_way) return;
  write_ = write_state::idle;
  version_ = version;
  adopt(std::move(next_));
}

void range_assigner::on_not_written(monotonic_time now) {
  if (write_ != write_state::under_way) return;
  write_ = write_state::idle;
  write_after_ = now + timing_.write_retry;
}

bool range_assigner::on_read(const instance_id& self, range_record record, std::uint64_t version,
                             monotonic_time) {
  if (record.assigner != self || record.term != record_.term) {
    conceded_ = true;
    return false;
  }
  if (version != version_) adopt(std::move(record));
  // A write whose answer was lost may still come: the next one is under the same condition, so
  // that one of the two fails.
  version_ = version;
  write_ = write_state::idle;
  return true;
}

// What the earlier entries' states say of the new entries, each of which lies within one of them or
// joins neighbours of one owner.
void range_assigner::adopt(range_record next) {
  std::vector<range_state> states;
  for (const auto& entry : next.ranges) {
    range_state made;
    bool first = true;
    for (std::size_t i = 0; i < record_.ranges.size(); ++i) {
      const auto& before = record_.ranges[i];
      if (before.last < entry.first || before.first > entry.last) continue;
      const auto& old = states_[i];
      if (before.owner == entry.owner) {
        const bool same_fence = before.fence == entry.fence;
        if (first && same_fence) {
          made = old;
        } else if (first) {
          made = {.held_until = old.held_until, .foreign = old.foreign, .handover = old.handover};
        } else {
          made.granted = made.granted && old.granted && same_fence;
          made.foreign = made.foreign || old.foreign;
          made.held_until = std::max(made.held_until, old.held_until);
          made.renew_at = std::min(made.renew_at, old.renew_at);
        }
        // The answers to orders under way won't cover the joined range.
        if (before.last < entry.last) made.under_way = false;
      }
      for (const auto& name : entry.former) {
        former_owner carried{.name = name};
        const auto known = std::find_if(old.former.begin(), old.former.end(),
                                        [&](const auto& f) { return f.name == name; });
        if (known != old.former.end()) {
          carried = *known;
          // A release under a lower fence doesn't shut out grants between the two.
          if (before.fence != entry.fence) carried.released = carried.asked = false;
          if (before.first != entry.first || before.last != entry.last) carried.asked = false;
        }
        if (before.owner == name) {
          carried.gone_at = std::max(carried.gone_at, gone_at(old));
          carried.released = carried.asked = false;
        }
        const auto same = std::find_if(made.former.begin(), made.former.end(),
                                       [&](const auto& f) { return f.name == name; });
        if (same == made.former.end()) {
          made.former.push_back(carried);
        } else {
          same->gone_at = std::max(same->gone_at, carried.gone_at);
          same->released = same->released && carried.released;
          same->asked = false;
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

monotonic_time range_assigner::gone_at(const range_state& state) const {
  return state.foreign ? std::max(state.held_until, inherited_until_) : state.held_until;
}

bool range_assigner::is_resolved(const former_owner& former, monotonic_time now) const {
  return former.released || now >= former.gone_at;
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
  return static_cast<double>(unreachable) > timing_.most_unreachable * static_cast<double>(listed);
}

// Former owners that can't hold anything any more needn't be released by a next assigner. They are
// taken out of the record once the owner has its grant, so that others see the move's end then.
void range_assigner::clear_former(range_record& next, monotonic_time now) const {
  for (std::size_t i = 0; i < next.ranges.size(); ++i) {
    auto& entry = next.ranges[i];
    if (!entry.former.empty() && states_[i].granted && all_resolved(states_[i], now)) {
      entry.former.clear();
    }
  }
}

// New fences for owners whose link isn't the one that their fences were granted over.
void range_assigner::stage_fences(range_record& next) const {
  for (const auto& [name, upstream] : upstreams_) {
    if (upstream.link == 0) continue;
    for (std::size_t i = 0; i < record_.ranges.size(); ++i) {
      const bool bound = states_[i].link && *states_[i].link != upstream.link;
      if (record_.ranges[i].owner != name || !bound) continue;
      renew_fences(next, name);
      break;
    }
  }
}

void range_assigner::rebalance(const key_load& load, monotonic_time now) {
  if (is_isolated(now)) return;
  planned_ = plan_ranges(record_, usable_upstreams(now), load, plan_);
}

void range_assigner::stage(const key_load& load, monotonic_time now) {
  next_ = record_;
  clear_former(next_, now);
  stage_fences(next_);
  const auto usable = usable_upstreams(now);
  const bool homeless = std::any_of(next_.ranges.begin(), next_.ranges.end(), [&](const auto& e) {
    const auto owner = e.owner ? upstreams_.find(*e.owner) : upstreams_.end();
    return owner == upstreams_.end() || !is_usable(owner->second, now);
  });
  if (homeless && !is_isolated(now)) {
    range_plan_config dealing = plan_;
    dealing.most_moves = 0;
    for (const auto& move : plan_ranges(next_, usable, load, dealing)) {
      move_range(next_, move.first, move.last, move.to);
    }
  }
  for (const auto& move : planned_) {
    const auto place = upstreams_.find(move.to);
    if (place == upstreams_.end() || !is_usable(place->second, now)) continue;
    move_range(next_, move.first, move.last, move.to);
  }
  planned_.clear();
  merge_ranges(next_);
}

std::vector<range_order> range_assigner::tick(const key_load& load, monotonic_time now) {
  std::vector<range_order> out;
  if (conceded_) return out;
  if (write_ == write_state::idle && now >= write_after_) {
    stage(load, now);
    if (next_.ranges != record_.ranges) {
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
  for (std::size_t i = 0; i < states_.size(); ++i) {
    const auto& entry = record_.ranges[i];
    for (auto& former : states_[i].former) {
      if (former.asked || is_resolved(former, now) || now < former.ask_again) continue;
      former.asked = true;
      out.emplace_back(range_action::release{former.name, entry.first, entry.last, entry.fence});
    }
  }
}

void range_assigner::emit_grants(std::vector<range_order>& out, monotonic_time now) {
  if (!may_renew(now)) return;
  for (std::size_t i = 0; i < states_.size(); ++i) {
    const auto& entry = record_.ranges[i];
    auto& state = states_[i];
    if (!entry.owner || state.under_way || now < state.renew_at) continue;
    const auto place = upstreams_.find(*entry.owner);
    if (place == upstreams_.end() || place->second.link == 0 || place->second.busy) continue;
    const auto link = place->second.link;
    if (state.link && *state.link != link) continue;  // waits for a new fence
    if (!state.link && confirmed_ <= place->second.linked_since) continue;
    if (!all_resolved(state, now)) continue;
    state.link = link;
    const duration hold =
        now - confirmed_ < timing_.outage_after ? timing_.hold : timing_.outage_hold;
    state.held_until = std::max(state.held_until, now + longest_hold(timing_, hold));
    state.renew_at = now + timing_.renew;
    state.under_way = true;
    place->second.busy = true;
    out.emplace_back(range_action::grant{*entry.owner, link, entry.first, entry.last, entry.fence,
                                         hold, state.handover});
  }
}

monotonic_time range_assigner::last_lapse(monotonic_time now) const {
  auto last = now;
  for (const auto& state : states_) {
    last = std::max(last, gone_at(state));
    for (const auto& former : state.former) {
      if (!former.released) last = std::max(last, former.gone_at);
    }
  }
  return last;
}

range_record range_assigner::concede(monotonic_time now) {
  conceded_ = true;
  range_record given_up = record_;
  given_up.assigner = {};
  given_up.address.clear();
  given_up.mark = record_.mark + 1;
  given_up.lapses_in = last_lapse(now) - now;
  return given_up;
}

}  // namespace plantainpaddle
