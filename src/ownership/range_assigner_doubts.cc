// What a restore of the store from an older copy (another era) takes away.
//
// Later records are lost, and an upstream may hold keys that no record assigns to it. It need not
// answer, nor be listed: its entry may be lost, too. Its hold ends with the last grant that an
// assigner of an earlier era may have sent: the proof of leadership of that one may be as recent as
// the restore, and lasts for proof_validity. So a range is in doubt until then, unless its owner
// shows that it still holds the range:
//
// 1. Keys go to another owner after their owner has released them, or has failed to release them
//    until its hold has expired, or has ended.
// 2. An upstream that has released keys refuses claim_fence(). One that takes a grant under it
//    hasn't released them, or has started again since and forgotten. Lives tell the two apart: the
//    owner must be in the life that the record states, and that life must have written its entry
//    after the link was opened and after the restore. Either the entry has changed since, or it has
//    outlived entry_lapse: one that isn't renewed is removed.
// 3. A release by an assigner of an earlier era may be on its way. None is sent without a proof of
//    leadership that is younger than outage_after, and it arrives within release_timeout. A grant
//    counts that is sent after that.
// 4. An owner that failed to release its keys doesn't know that it lost them. claim_fence() is
//    above the fences of the next owners, which stay within the block. For copy_age these get their
//    grants for a short hold and with a recent proof only, which have run out when the former owner
//    is asked. Later, any copy has the move. The record says that there are such grants, for the
//    next assigner.
//
// A range of which the owner refuses a grant is halved, to find the keys that it still holds. The
// rest waits for the end of all unknown grants, and gets new fences then.
//
// An assigner that goes on has a memory that is newer than the copy. A successor may have taken
// over unseen before the store was lost, but can't have waited for the end of its grants. Renewals
// over a link from before need no sign of life. Its grants count at once.
#include <algorithm>

#include "ownership/range_assigner.h"

namespace plantainpaddle {

namespace {

// A range that is refused as a whole takes twice as many grants to find that out.
constexpr std::size_t max_claims = 64;

}  // namespace

void range_assigner::begin_doubts(monotonic_time since) {
  for (std::size_t i = 0; i < states_.size(); ++i) {
    states_[i].in_doubt = suspended_ || is_inherited(record_, record_.ranges[i].fence);
    states_[i].claims.clear();
  }
  doubt_ends_ = since + timing_.proof_validity + longest_predecessor_hold();
  // Grants and releases from before an earlier restore may still count.
  claims_from_ = std::max(claims_from_, since);
  settled_from_ = std::max(settled_from_, since);
  if (suspended_) return;
  const auto last_restricted = timing_.outage_after + longest_hold(timing_, timing_.hold);
  const auto last_release = timing_.outage_after + timing_.release_timeout + timing_.margin;
  claims_from_ = since + last_restricted;
  settled_from_ =
      since + (record_.lapsed ? std::max(last_release, timing_.copy_age) : last_release);
}

void range_assigner::end_doubts(monotonic_time now) {
  if (now < doubt_ends_) return;
  for (auto& state : states_) {
    if (state.in_doubt) settle(state);
  }
}

void range_assigner::settle(range_state& state) {
  state.in_doubt = state.granted = false;
  state.claims.clear();
  state.link = 0;  // matches no link, so that the range gets a new fence
}

void range_assigner::on_store_restored(monotonic_time now) {
  suspended_ = true;
  entries_since_ = now;
  begin_doubts(now);
}

void range_assigner::regain(range_record record, std::uint64_t version) {
  // Owners, fences and former owners are those of record_, so that the states remain.
  record_ = std::move(record);
  version_ = version;
  write_ = write_state::idle;
  suspended_ = false;
}

std::size_t range_assigner::ranges_in_doubt() const {
  return static_cast<std::size_t>(
      std::count_if(states_.begin(), states_.end(), [](const auto& s) { return s.in_doubt; }));
}

bool range_assigner::overlaps(const range_move& move,
                              const std::function<bool(const range_state&)>& predicate) const {
  for (std::size_t i = 0; i < states_.size(); ++i) {
    const auto& entry = record_.ranges[i];
    if (entry.first <= move.last && move.first <= entry.last && predicate(states_[i])) return true;
  }
  return false;
}

// The lives of owners in doubt stay those of the time from which the doubt is.
void range_assigner::note_lives(range_record& next) const {
  if (has_doubt()) return;
  std::map<upstream_id, std::uint64_t> lives;
  for (const auto& entry : next.ranges) {
    if (!entry.owner) continue;
    const auto it = upstreams_.find(*entry.owner);
    if (it != upstreams_.end() && it->second.life != 0) lives[*entry.owner] = it->second.life;
  }
  next.lives = std::move(lives);
}

bool range_assigner::shows_its_life(const upstream_id& name, const upstream_state& state) const {
  const auto stated = record_.lives.find(name);
  if (stated == record_.lives.end() || stated->second != state.life) return false;
  if (state.heard_at >= state.linked_since + timing_.heartbeat_lag) return true;
  const auto since = std::max(state.linked_since, entries_since_);
  return timing_.entry_lapse && state.listed && entries_until_ >= since + *timing_.entry_lapse;
}

// Returns the part of the range to be granted next; null if none may be now.
range_assigner::key_claim* range_assigner::next_claim(std::size_t index,
                                                      const upstream_state& owner,
                                                      monotonic_time now) {
  const auto& entry = record_.ranges[index];
  auto& state = states_[index];
  const bool inherited = suspended_ || is_inherited(record_, entry.fence);
  // An owner with former owners may never have had a grant.
  if (!inherited || entry.fence < record_.claims_from || !entry.former.empty()) return nullptr;
  if (state.link != owner.link) {
    if (now < claims_from_ || !shows_its_life(*entry.owner, owner)) return nullptr;
    state.claims = {{entry.first, entry.last}};
  }
  key_claim* found = nullptr;
  for (auto& claim : state.claims) {
    if (claim.under_way) return nullptr;
    if (claim.state == key_claim::claim_state::refused || now < claim.renew_at) continue;
    const auto size = claim.last - claim.first;
    const bool held = claim.state == key_claim::claim_state::held;
    if (found == nullptr || held || size > found->last - found->first) found = &claim;
    if (held) break;
  }
  return found;
}

// Returns false if the order wasn't for a part of a range in doubt.
bool range_assigner::end_claim(std::size_t index, const range_action::grant& order, bool accepted) {
  const auto& entry = record_.ranges[index];
  auto& state = states_[index];
  if (!state.in_doubt || entry.owner != order.upstream) return false;
  if (state.claims.empty()) {
    if (accepted || entry.fence != order.fence || entry.first != order.first) return false;
    state.granted = state.under_way = false;
    state.claims = {{entry.first, entry.last, key_claim::claim_state::open, true}};
  }
  using enum key_claim::claim_state;
  auto& claims = state.claims;
  const auto it = std::find_if(claims.begin(), claims.end(), [&](const auto& claim) {
    return claim.under_way && claim.first == order.first && claim.last == order.last;
  });
  if (it == claims.end()) return false;
  it->under_way = false;
  if (!accepted) {
    it->state = refused;
    if (it->first == it->last || claims.size() >= max_claims) return true;
    const auto middle = it->first + (it->last - it->first) / 2;
    const key_claim upper{middle + 1, it->last};
    *it = {it->first, middle};
    claims.insert(it + 1, upper);
    return true;
  }
  it->state = held;
  for (std::size_t i = 1; i < claims.size();) {
    auto& before = claims[i - 1];
    if (before.state != held || claims[i].state != held) {
      ++i;
      continue;
    }
    before.last = claims[i].last;
    before.renew_at = std::min(before.renew_at, claims[i].renew_at);
    claims.erase(claims.begin() + static_cast<std::ptrdiff_t>(i));
  }
  if (claims.size() > 1 || state.sent_at < settled_from_) return true;
  // The owner holds the whole range.
  settle(state);
  return true;
}

bool range_assigner::may_release(monotonic_time now) const {
  return !stopped_ && now - confirmed_ < timing_.outage_after;
}

// Whether the former owner may believe that it has the keys, and a copy of the store, too.
bool range_assigner::may_lapse(const range_state& state, const former_owner& former,
                               monotonic_time now) const {
  const auto it = upstreams_.find(former.name);
  const bool ended = it != upstreams_.end() && it->second.ended;
  const bool is_copied = now - state.named_at >= timing_.copy_age;
  const bool was_in_doubt = former.fence && is_inherited(record_, *former.fence);
  return former.may_claim && !former.has_released && !ended && !is_copied && !was_in_doubt;
}

// Whether the owner may get its first grant under the entry's fence. That of keys that lapse is
// noted.
bool range_assigner::may_first_grant(std::size_t index, monotonic_time now) {
  const auto& entry = record_.ranges[index];
  auto& state = states_[index];
  bool lapses = false;
  for (const auto& former : state.former) {
    if (!may_lapse(state, former, now)) continue;
    if (!former.fence || !same_block(*former.fence, entry.fence)) return false;
    lapses = true;
  }
  if (!lapses) return true;
  if (!record_.lapsed || !may_release(now)) return false;
  state.lapsed_at = now;
  return true;
}

// Whether the former owner is expected to release the keys in time.
bool range_assigner::is_awaited(const former_owner& former, monotonic_time now) {
  return former.retry_at == monotonic_time{} && now < former.expires_at;
}

// An owner that was expected to release its keys doesn't answer. The next one, which has no grant
// yet, gets a fence of that one's block.
void range_assigner::stage_lapses(range_record& next, monotonic_time now) const {
  for (std::size_t i = 0; i < states_.size(); ++i) {
    const auto& state = states_[i];
    if (state.link) continue;
    for (const auto& former : state.former) {
      if (is_awaited(former, now) || !may_lapse(state, former, now) || !former.fence) continue;
      if (same_block(*former.fence, next.ranges[i].fence)) continue;
      const auto last = std::max(*former.fence, state.highest_granted);
      const auto fence = same_block(last, *former.fence) ? next_in_block(last) : std::nullopt;
      if (fence) next.ranges[i].fence = *fence;
    }
  }
}

// Whether a write may be under way that gives the entry a lower fence. next_ is empty if the
// outcome of a write from before a restore gets unknown after a later one has succeeded.
bool range_assigner::is_taken_back(const range_entry& entry) const {
  if (write_ == write_state::idle || next_.ranges.empty()) return false;
  return entry_of(next_, entry.first).fence < entry.fence;
}

// Whether the entry's next owner will probably get the keys without a release.
bool range_assigner::is_lapsing(const range_entry& entry) const {
  const auto index =
      static_cast<std::size_t>(&entry_of(record_, entry.first) - record_.ranges.data());
  if (is_inherited(record_, record_.ranges[index].fence)) return false;
  if (is_restricted(states_[index])) return true;
  const auto owner = entry.owner ? upstreams_.find(*entry.owner) : upstreams_.end();
  return owner != upstreams_.end() && owner->second.link == 0 && !owner->second.ended;
}

// The latest proof of leadership shows that a copy that the store comes back from is not older.
bool range_assigner::is_restricted(const range_state& state) const {
  return state.lapsed_at && confirmed_ - *state.lapsed_at < timing_.copy_age;
}

void range_assigner::note_lapsed(range_record& next, monotonic_time now) const {
  next.lapsed = std::any_of(states_.begin(), states_.end(), [&](const auto& state) {
    return is_restricted(state) ||
           std::any_of(state.former.begin(), state.former.end(), [&](const former_owner& former) {
             return !former.has_released && !is_awaited(former, now);
           });
  });
  for (const auto& entry : next.ranges) {
    for (const auto& former : entry.former) {
      const auto it = upstreams_.find(former);
      next.lapsed = next.lapsed || it == upstreams_.end() || it->second.link == 0;
    }
  }
}

}  // namespace plantainpaddle
