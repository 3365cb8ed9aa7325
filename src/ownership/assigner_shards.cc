// The assigner's upstreams and shards: grant orders, their answers, and moves.
//
// Correctness: a shard never has two owners. It is granted only to the owner that the stored record
// names, and a moving shard is left out of every order. The record names a new owner only once the
// old one has answered that it neither holds the shard nor runs requests of it, or once all grants
// of the old owner have ended on any clock within the drift margin.
//
// Cost: an order takes time linear in the cell's shards, and an accepted answer quadratic in the
// shards of its upstream. All moves that are ready share one write of the record.

#include <algorithm>

#include "ownership/assigner.h"

namespace plantainpaddle {
namespace {

// Interval between plans. It only bounds the work: a plan proposes moves, and safety rests on how
// they are carried out.
constexpr duration plan_period = milliseconds(100);
// Shorter grants are not issued: they would lapse before they are of use.
constexpr duration min_grant = milliseconds(50);

}  // namespace

// An upstream that has left the table gets no orders, but is kept until its last grant has lapsed,
// which its shards must wait for.
void assigner::drop_departed_upstreams(monotonic_time now) {
  for (auto it = upstreams_.begin(); it != upstreams_.end();) {
    auto& state = it->second;
    if (state.in_table || now < state.granted_until) {
      ++it;
      continue;
    }
    if (state.in_flight) order_requests_.erase(state.in_flight->request);
    it = upstreams_.erase(it);
  }
}

bool assigner::is_suspected(const tracked_upstream& state, monotonic_time now) const {
  return now > state.last_heard + config_.timing.suspicion;
}

std::vector<upstream_id> assigner::suspected(monotonic_time now) const {
  std::vector<upstream_id> names;
  for (const auto& [name, state] : upstreams_) {
    if (is_suspected(state, now)) names.push_back(name);
  }
  return names;
}

std::optional<load_report> assigner::last_report(const upstream_id& upstream) const {
  const auto it = upstreams_.find(upstream);
  if (it == upstreams_.end()) return std::nullopt;
  return it->second.load;
}

// Returns what the upstream should hold now: its shards in the record, except those that are
// moving.
std::vector<shard_grant> assigner::set_for(const upstream_id& name) const {
  std::vector<shard_grant> set;
  for (const auto& grant : grants_of(*record_, name)) {
    if (moves_.contains(grant.shard)) continue;
    set.push_back(grant);
  }
  return set;
}

void assigner::send_orders(monotonic_time now) {
  for (auto& [name, state] : upstreams_) {
    if (!state.in_table) continue;
    if (state.in_flight && now < state.in_flight->sent + config_.timing.attempt_timeout) continue;
    if (now < state.next_order && !state.in_flight) continue;
    if (state.in_flight) order_requests_.erase(state.in_flight->request);
    send_order_to(name, state, now);
  }
}

void assigner::send_order_to(const upstream_id& name, tracked_upstream& state, monotonic_time now) {
  grant_order order;
  order.cell = config_.cell;
  order.term = record_->term;
  order.assigner = config_.self;
  sent_order sent;
  sent.request = ++last_request_;
  sent.sent = now;
  const duration remaining = right_until_ - now;
  const bool may_grant = remaining >= min_grant && !is_suspected(state, now) && state.nonce != 0;
  if (may_grant) {
    order.life = state.life;
    order.nonce = state.nonce;
    order.length = std::min(config_.timing.grant, remaining);
    sent.set = set_for(name);
    order.digest = digest_of(sent.set);
    if (order.digest != state.held_digest) order.set = sent.set;
    state.granted_until = std::max(state.granted_until, now + with_drift_margin(order.length));
  }
  state.in_flight = sent;
  state.next_order = now + config_.timing.renew;
  order_requests_[sent.request] = name;
  actions_.emplace_back(send_order{sent.request, name, std::move(order)});
}

void assigner::on(const grant_replied& event, monotonic_time now) {
  const auto it = order_requests_.find(event.request);
  if (it == order_requests_.end()) return;
  const upstream_id name = it->second;
  order_requests_.erase(it);
  auto& state = upstreams_.at(name);
  const sent_order sent = *state.in_flight;
  state.in_flight.reset();
  if (!event.answer) return;
  const grant_answer& answer = *event.answer;
  if (answer.status == grant_status::stale_term) {
    return retire_because("upstream " + name.value + " has seen term " +
                          std::to_string(answer.highest_term.value));
  }
  const bool was_suspected = is_suspected(state, now);
  state.life = answer.life;
  state.nonce = answer.nonce;
  state.held_digest = answer.held_digest;
  state.load = answer.load;
  state.last_heard = std::max(state.last_heard, sent.sent);
  // A suspected upstream that answers again keeps its shards, except those that a write is already
  // giving to others.
  if (was_suspected) {
    std::erase_if(moves_, [&](const auto& move) {
      return move.second.forced && move.second.from == name && !is_being_written(move.first);
    });
  }
  if (answer.status == grant_status::accepted) {
    accept_answer(name, state, sent, answer, now);
  } else {
    state.next_order = now;
  }
}

void assigner::accept_answer(const upstream_id& name, tracked_upstream& state,
                             const sent_order& sent, const grant_answer& answer,
                             monotonic_time now) {
  const auto contains = [](const std::vector<shard_grant>& set, const shard_grant& grant) {
    return std::find(set.begin(), set.end(), grant) != set.end();
  };
  const bool holds_sent_set = answer.held_digest == digest_of(sent.set);
  const std::vector<shard_grant>& held = holds_sent_set ? sent.set : answer.held;
  for (auto& [shard, move] : moves_) {
    if (move.from != name || move.released) continue;
    const shard_grant old{shard, move.fence};
    // The accepted order must itself have left the shard out; an older one may have granted it.
    move.released =
        !contains(sent.set, old) && !contains(held, old) && !contains(answer.draining, old);
  }
  // The upstream refuses a fence that an earlier assigner revoked for a move that it never
  // recorded. Such a shard stays with its owner under a new fence.
  if (phase_ == assigner_phase::active) {
    for (const auto& grant : sent.set) {
      if (contains(held, grant) || moves_.contains(grant.shard)) continue;
      if (contains(answer.draining, grant)) continue;
      start_move(grant.shard, name, now);
      moves_[grant.shard].released = true;
    }
  }
  if (set_for(name) != sent.set) state.next_order = now;
}

// Planning and moving.

void assigner::plan(monotonic_time now) {
  next_plan_ = now + plan_period;
  // Nothing is planned until each upstream has answered its first order or is suspected. Otherwise
  // the first one to answer after a hand-over would get the shards of the others.
  const bool awaiting_first_answer =
      std::any_of(upstreams_.begin(), upstreams_.end(), [&](const auto& item) {
        return item.second.in_table && item.second.nonce == 0 && !is_suspected(item.second, now);
      });
  if (awaiting_first_answer) return;
  plan_input input;
  for (const auto& row : inputs_.upstreams) {
    const auto& state = upstreams_.at(row.name);
    const bool usable = row.state == upstream_state::active && !is_suspected(state, now) &&
                        state.nonce != 0 && !state.load.draining;
    input.upstreams.push_back({row.name, row.weight, usable});
  }
  input.shards = record_->shards;
  std::erase_if(input.shards, [](const auto& item) { return item.second.released; });
  for (const auto& [shard, move] : moves_) input.shards[shard].owner = move.to;
  for (const auto shard : inputs_.shards_to_release) {
    if (input.shards.erase(shard) > 0) start_move(shard, std::nullopt, now);
  }
  input.load = inputs_.load;
  input.load_window = inputs_.load_window;
  input.move_budget = moves_.empty() ? inputs_.move_budget : 0;
  input.imbalance_weight = inputs_.imbalance_weight;
  input.churn_weight = inputs_.churn_weight;
  input.unavailable_weight = inputs_.unavailable_weight;
  for (const auto& move : plan_moves(input)) start_move(move.shard, move.to, now);
}

void assigner::start_move(shard_id shard, const std::optional<upstream_id>& to,
                          monotonic_time now) {
  const shard_owner& entry = record_->shards.at(shard);
  const auto known = moves_.find(shard);
  if (known != moves_.end()) {
    known->second.to = to;  // the previous target became unusable
    return;
  }
  pending_move move;
  move.from = entry.owner;
  move.fence = entry.fence;
  move.to = to;
  move.released = !entry.owner;
  if (entry.owner) {
    const auto state = upstreams_.find(*entry.owner);
    if (state != upstreams_.end()) {
      move.forced = is_suspected(state->second, now);
      state->second.next_order = now;
    }
  }
  moves_.emplace(shard, move);
}

// Returns whether every grant of the move's old owner has ended. An upstream may go on running
// requests of a revoked shard for as long as it is renewed for any shard, so the end of its last
// grant counts, not the end of the last one with this shard.
bool assigner::has_lapsed(const pending_move& move, monotonic_time now) const {
  if (now < inherited_until_) return false;
  const auto state = upstreams_.find(*move.from);
  return state == upstreams_.end() || now >= state->second.granted_until;
}

bool assigner::is_being_written(shard_id shard) const {
  if (!pending_) return false;
  const auto next = pending_->record.shards.find(shard);
  const auto it = record_->shards.find(shard);
  return next != pending_->record.shards.end() && it != record_->shards.end() &&
         next->second.fence > it->second.fence;
}

// Adds the shards that the layout has given to this cell, and removes those that it has given to
// others. Returns whether the record changed. A released shard counts as given back only if the
// layout's fence is higher than the one it was released at.
bool assigner::adopt_cell_shards(cell_record& record) const {
  if (inputs_.cell_shards.empty()) return false;  // not known yet
  std::set<shard_id> in_layout;
  bool changed = false;
  for (const auto& grant : inputs_.cell_shards) {
    in_layout.insert(grant.shard);
    const auto [it, added] =
        record.shards.emplace(grant.shard, shard_owner{std::nullopt, grant.fence, false});
    const bool given_back = it->second.released && grant.fence > it->second.fence;
    if (given_back) it->second = {std::nullopt, grant.fence, false};
    changed = changed || added || given_back;
  }
  const auto forgotten = std::erase_if(record.shards, [&](const auto& item) {
    return item.second.released && !in_layout.contains(item.first);
  });
  return changed || forgotten > 0;
}

// Writes the record with all moves whose old owner has given the shard up or has no grant left.
void assigner::finish_moves(monotonic_time now) {
  cell_record record = *record_;
  bool changed = adopt_cell_shards(record);
  for (const auto& [shard, move] : moves_) {
    if (!move.released && !has_lapsed(move, now)) continue;
    auto& entry = record.shards[shard];
    entry.owner = move.to;
    entry.released = !move.to;
    entry.fence = fence_number{entry.fence.value + 1};
    changed = true;
  }
  if (!changed) return;
  record.revision = revision_number{record.revision.value + 1};
  write(std::move(record), version_, now);
}

}  // namespace plantainpaddle
