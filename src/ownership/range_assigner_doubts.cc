// Ranges in doubt. When the store comes back from an older copy (another era), later records are
// lost, and an upstream may hold keys that no record assigns to it. Until that can be excluded for
// a range, it is granted to nobody who doesn't hold it already.
//
// A takeover from a record of another era has every upstream release all keys that aren't its own,
// and waits for those that don't answer until all that they may hold has expired.
//
// An assigner that goes on needn't, as its own memory is newer than the copy, unless a successor
// took over unseen before the store was lost. Such a successor gets a range only by a release of
// its owner, which then refuses this assigner's renewals. So a range's doubt ends when its owner
// takes a renewal that was sent after the loss. Ranges that stay in doubt are released by every
// upstream.
#include <algorithm>

#include "ownership/range_assigner.h"

namespace plantainpaddle {

namespace {

// Releases of a sweep that are under way at once. A silent upstream's take seconds.
constexpr std::size_t max_pending_sweeps = 64;

}  // namespace

void range_assigner::begin_doubts(monotonic_time since, monotonic_time sweep_after) {
  ++last_doubt_;
  for (auto& state : states_) state.doubt = last_doubt_;
  in_doubt_since_ = since;
  sweep_after_ = sweep_after;
  doubt_ends_ = in_doubt_since_ + timing_.proof_validity + longest_predecessor_hold();
}

void range_assigner::on_store_restored(monotonic_time now) {
  suspended_ = true;
  sweep_.reset();
  begin_doubts(now, now + timing_.confirm_within);
}

void range_assigner::regain(range_record record, std::uint64_t version) {
  // Owners, fences and former owners are those of record_, so that the states remain.
  record_ = std::move(record);
  version_ = version;
  write_ = write_state::idle;
  suspended_ = false;
}

bool range_assigner::has_doubt() const {
  return std::any_of(states_.begin(), states_.end(), [](const auto& s) { return s.doubt != 0; });
}

// A range in doubt may only be renewed for the owner that has it from this assigner.
bool range_assigner::may_grant(const range_state& state, link_number link,
                               monotonic_time now) const {
  const bool renewal = state.link == link;
  return state.doubt == 0 || renewal || now >= doubt_ends_;
}

// Returns the keys in doubt that the upstream doesn't own, as few runs.
std::vector<range_assigner::key_run> range_assigner::runs_in_doubt(
    const upstream_id& upstream) const {
  std::vector<key_run> runs;
  for (std::size_t i = 0; i < states_.size(); ++i) {
    const auto& entry = record_.ranges[i];
    if (states_[i].doubt == 0 || entry.owner == upstream) continue;
    const bool follows = !runs.empty() && runs.back().last + 1 == entry.first;
    if (follows) {
      runs.back().last = entry.last;
    } else {
      runs.push_back({entry.first, entry.last});
    }
  }
  return runs;
}

// Has the upstreams release the keys in doubt, under a fence above those of all earlier eras.
// Upstreams that register meanwhile are included. Doubts end when all have answered and none can be
// missing, or when all that they may hold has expired.
void range_assigner::step_sweep(std::vector<range_order>& out, monotonic_time now) {
  if (!has_doubt() || now < sweep_after_) return;
  if (now >= doubt_ends_) {
    for (auto& state : states_) state.doubt = 0;
    sweep_.reset();
    return;
  }
  if (!sweep_) {
    sweep_ = key_sweep{last_doubt_, record_.last_fence, in_doubt_since_ + timing_.entries_return};
  }
  for (const auto& [name, state] : upstreams_) {
    if (state.listed && !sweep_->runs.contains(name)) sweep_->runs[name] = runs_in_doubt(name);
  }
  bool done = now >= sweep_->earliest_end;
  std::size_t pending = 0;
  for (const auto& [name, runs] : sweep_->runs) {
    for (const auto& run : runs) {
      pending += run.pending ? 1 : 0;
      done = done && run.released;
    }
  }
  if (done) {
    for (auto& state : states_) {
      if (state.doubt <= sweep_->doubt) state.doubt = 0;
    }
    sweep_.reset();
    return;
  }
  for (auto& [name, runs] : sweep_->runs) {
    for (auto& run : runs) {
      if (run.released || run.pending || now < run.retry_at) continue;
      if (++pending > max_pending_sweeps) return;
      run.pending = true;
      out.emplace_back(
          range_action::release{name, run.first, run.last, sweep_->fence, /*sweep=*/true});
    }
  }
}

void range_assigner::end_sweep_run(const range_action::release& order, bool released,
                                   monotonic_time now) {
  if (!sweep_ || sweep_->fence != order.fence) return;
  const auto it = sweep_->runs.find(order.upstream);
  if (it == sweep_->runs.end()) return;
  for (auto& run : it->second) {
    if (run.first != order.first || run.last != order.last) continue;
    run.pending = false;
    run.released = run.released || released;
    run.retry_at = now + timing_.release_retry;
  }
}

}  // namespace plantainpaddle
