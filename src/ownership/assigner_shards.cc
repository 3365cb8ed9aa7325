// The assigner's upstreams and shards: orders, their answers, and moves. Why no shard ever has two
// owners: it is granted only as the record says, the record names a new owner only once the old one
// has answered that it neither holds nor runs the shard, or all its grants have surely ended, and a
// shard on its way out is in no order.

#include <algorithm>

#include "ownership/assigner.h"

namespace plantainpaddle {
namespace {

// Between two plans; a plan only proposes moves, so that this bounds work, not safety.
constexpr duration plan_period = milliseconds(100);
// Shorter grants than this aren't worth an order.
constexpr duration least_grant = milliseconds(50);

}  // namespace

// An upstream that has left the table gets no orders; its shards wait for its lapse all the same.
void assigner::forget_left_upstreams(monotonic_time now) {
  for (auto place = upstreams_.begin(); place != upstreams_.end();) {
    auto& side = place->second;
    if (side.listed || now < side.granted_until) {
      ++place;
      continue;
    }
    if (side.in_flight) order_requests_.erase(side.in_flight->request);
    place = upstreams_.erase(place);
  }
}

bool assigner::is_suspected(const upstream_side& side, monotonic_time now) const {
  return now > side.last_heard + config_.timing.suspicion;
}

std::vector<upstream_id> assigner::suspected(monotonic_time now) const {
  std::vector<upstream_id> names;
  for (const auto& [name, side] : upstreams_) {
    if (is_suspected(side, now)) names.push_back(name);
  }
  return names;
}

std::optional<load_report> assigner::last_report(const upstream_id& upstream) const {
  const auto place = upstreams_.find(upstream);
  if (place == upstreams_.end()) return std::nullopt;
  return place->second.load;
}

// What the upstream should hold now: the record's shards less those on their way out.
std::vector<shard_grant> assigner::set_for(const upstream_id& name) const {
  std::vector<shard_grant> set;
  for (const auto& grant : grants_of(*record_, name)) {
    if (moves_.contains(grant.shard)) continue;
    set.push_back(grant);
  }
  return set;
}

void assigner::send_orders(monotonic_time now) {
  for (auto& [name, side] : upstreams_) {
    if (!side.listed) continue;
    if (side.in_flight && now < side.in_flight->sent + config_.timing.attempt_timeout) continue;
    if (now < side.next_order && !side.in_flight) continue;
    if (side.in_flight) order_requests_.erase(side.in_flight->request);
    send_order_to(name, side, now);
  }
}

void assigner::send_order_to(const upstream_id& name, upstream_side& side, monotonic_time now) {
  grant_order order;
  order.cell = config_.cell;
  order.term = record_->term;
  order.assigner = config_.self;
  sent_order sent;
  sent.request = ++last_request_;
  sent.sent = now;
  const duration left = right_until_ - now;
  const bool may_grant = left >= least_grant && !is_suspected(side, now) && side.nonce != 0;
  if (may_grant) {
    order.life = side.life;
    order.nonce = side.nonce;
    order.length = std::min(config_.timing.grant, left);
    sent.set = set_for(name);
    order.digest = digest_of(sent.set);
    if (order.digest != side.held_digest) order.set = sent.set;
    side.granted_until = std::max(side.granted_until, now + with_drift_margin(order.length));
  }
  side.in_flight = sent;
  side.next_order = now + config_.timing.renew;
  order_requests_[sent.request] = name;
  actions_.emplace_back(send_order{sent.request, name, std::move(order)});
}

void assigner::on(const grant_replied& event, monotonic_time now) {
  const auto place = order_requests_.find(event.request);
  if (place == order_requests_.end()) return;
  const upstream_id name = place->second;
  order_requests_.erase(place);
  auto& side = upstreams_.at(name);
  const sent_order sent = *side.in_flight;
  side.in_flight.reset();
  if (!event.answer) return;
  const grant_answer& answer = *event.answer;
  if (answer.status == grant_status::stale_term) {
    return retire_because("upstream " + name.value + " has seen term " +
                          std::to_string(answer.highest_term.value));
  }
  const bool was_suspected = is_suspected(side, now);
  side.life = answer.life;
  side.nonce = answer.nonce;
  side.held_digest = answer.held_digest;
  side.load = answer.load;
  side.last_heard = std::max(side.last_heard, sent.sent);
  // Back before its lapse was made use of: it keeps what isn't being written away already.
  if (was_suspected) {
    std::erase_if(moves_, [&](const auto& move) {
      return move.second.forced && move.second.from == name && !is_being_written(move.first);
    });
  }
  if (answer.status == grant_status::accepted) {
    accept_answer(name, side, sent, answer, now);
  } else {
    side.next_order = now;
  }
}

void assigner::accept_answer(const upstream_id& name, upstream_side& side, const sent_order& sent,
                             const grant_answer& answer, monotonic_time now) {
  const auto stands_in = [](const std::vector<shard_grant>& set, const shard_grant& grant) {
    return std::find(set.begin(), set.end(), grant) != set.end();
  };
  const bool holds_all = answer.held_digest == digest_of(sent.set);
  const std::vector<shard_grant>& held = holds_all ? sent.set : answer.held;
  for (auto& [shard, move] : moves_) {
    if (move.from != name || move.released) continue;
    const shard_grant old{shard, move.fence};
    // The order that was accepted must itself have left the shard out.
    move.released =
        !stands_in(sent.set, old) && !stands_in(held, old) && !stands_in(answer.draining, old);
  }
  // A fence that was revoked before, by an assigner whose move was never recorded, is not taken
  // again.
  if (phase_ == assigner_phase::active) {
    for (const auto& grant : sent.set) {
      if (stands_in(held, grant) || moves_.contains(grant.shard)) continue;
      if (stands_in(answer.draining, grant)) continue;
      start_move(grant.shard, name, now);
      moves_[grant.shard].released = true;
    }
  }
  if (set_for(name) != sent.set) side.next_order = now;
}

// Plans and moves.

void assigner::plan(monotonic_time now) {
  next_plan_ = now + plan_period;
  // An upstream that may yet answer its first order is neither good nor lost: just after a
  // hand-over, the first one to answer must not get the shards of the others.
  const bool unheard = std::any_of(upstreams_.begin(), upstreams_.end(), [&](const auto& item) {
    return item.second.listed && item.second.nonce == 0 && !is_suspected(item.second, now);
  });
  if (unheard) return;
  plan_input input;
  for (const auto& row : inputs_.upstreams) {
    const auto& side = upstreams_.at(row.name);
    const bool usable = row.state == upstream_state::active && !is_suspected(side, now) &&
                        side.nonce != 0 && !side.load.draining;
    input.upstreams.push_back({row.name, row.weight, usable});
  }
  input.shards = record_->shards;
  std::erase_if(input.shards, [](const auto& item) { return item.second.released; });
  for (const auto& [shard, move] : moves_) input.shards[shard].owner = move.to;
  for (const auto shard : inputs_.leaving) {
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
    known->second.to = to;  // the target was lost meanwhile
    return;
  }
  pending_move move;
  move.from = entry.owner;
  move.fence = entry.fence;
  move.to = to;
  move.released = !entry.owner;
  if (entry.owner) {
    const auto side = upstreams_.find(*entry.owner);
    if (side != upstreams_.end()) {
      move.forced = is_suspected(side->second, now);
      side->second.next_order = now;
    }
  }
  moves_.emplace(shard, move);
}

// An upstream that answers goes on with what it runs of a revoked shard for as long as it is
// renewed, so that it is the end of its last grant of any shard that counts.
bool assigner::has_lapsed(const pending_move& move, monotonic_time now) const {
  if (now < adopted_until_) return false;
  const auto side = upstreams_.find(*move.from);
  return side == upstreams_.end() || now >= side->second.granted_until;
}

bool assigner::is_being_written(shard_id shard) const {
  if (!pending_) return false;
  const auto next = pending_->record.shards.find(shard);
  const auto place = record_->shards.find(shard);
  return next != pending_->record.shards.end() && place != record_->shards.end() &&
         next->second.fence > place->second.fence;
}

// Takes in what the layout has given to this cell, and forgets what it has given to others. A
// released shard that comes back has a higher fence than it was released at.
bool assigner::adopt_home(cell_record& record) const {
  if (inputs_.home.empty()) return false;  // not known yet
  std::set<shard_id> at_home;
  bool changed = false;
  for (const auto& grant : inputs_.home) {
    at_home.insert(grant.shard);
    const auto [place, added] =
        record.shards.emplace(grant.shard, shard_owner{std::nullopt, grant.fence, false});
    const bool back = place->second.released && grant.fence > place->second.fence;
    if (back) place->second = {std::nullopt, grant.fence, false};
    changed = changed || added || back;
  }
  const auto forgotten = std::erase_if(record.shards, [&](const auto& item) {
    return item.second.released && !at_home.contains(item.first);
  });
  return changed || forgotten > 0;
}

// One write for all moves whose old owner has consented or surely lost its grant.
void assigner::finish_moves(monotonic_time now) {
  cell_record record = *record_;
  bool changed = adopt_home(record);
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
