// Terms and standbys of the assigner; assigner_shards.cc has its upstreams and shards.

#include "ownership/assigner.h"

#include <algorithm>

#include "base/hash.h"

namespace plantainpaddle {
namespace {

// A store call without an answer after this time is repeated.
constexpr duration store_timeout = seconds(2);
// An event that is later than this shows that the process was paused.
constexpr duration max_event_delay = milliseconds(100);
constexpr duration min_sleep = milliseconds(10);
constexpr duration max_sleep = milliseconds(500);

}  // namespace

std::string_view phase_name(assigner_phase phase) noexcept {
  constexpr std::string_view names[] = {"reading", "taking", "telling",
                                        "waiting", "active", "retired"};
  return names[static_cast<std::size_t>(phase)];
}

assigner::assigner(assigner_config config, monotonic_time now)
    : config_(std::move(config)),
      read_sent_(now),
      next_read_(now),
      right_until_(now),
      wait_until_(now),
      term_taken_(now),
      inherited_until_(now),
      last_event_(now),
      expected_event_(now),
      next_plan_(now) {}

assigner_actions assigner::handle(const assigner_event& event, monotonic_time now) {
  actions_.clear();
  if (phase_ == assigner_phase::retired) return {};
  discount_pause(now);
  std::visit([&](const auto& e) { on(e, now); }, event);
  if (phase_ != assigner_phase::retired) advance(now);
  expected_event_ = next_wake(now);
  return std::move(actions_);
}

// Takes a pause of this process out of the time for which others have been silent: their answers
// may still lie in its receive buffers.
void assigner::discount_pause(monotonic_time now) {
  const duration pause = now - std::max(last_event_, expected_event_);
  last_event_ = now;
  if (pause <= max_event_delay) return;
  for (auto& [name, state] : upstreams_) state.last_heard += pause;
  for (auto& [name, state] : standbys_) state.last_heard += pause;
}

void assigner::on(const tick&, monotonic_time) {}

void assigner::on(const inputs_changed& event, monotonic_time now) {
  inputs_ = event.inputs;
  for (auto& [name, state] : upstreams_) state.in_table = false;
  for (const auto& row : inputs_.upstreams) {
    auto [it, added] = upstreams_.try_emplace(row.name);
    it->second.in_table = true;
    if (!added) continue;
    it->second.next_order = now;
    it->second.last_heard = now;
    it->second.granted_until = std::max(now, inherited_until_);
  }
  next_plan_ = now;
}

void assigner::on(const handover_received& event, monotonic_time now) {
  if (phase_ != assigner_phase::reading) return;
  record_ = event.record;
  version_ = event.version;
  phase_ = assigner_phase::active;
  // Orders that the predecessor sent may still arrive.
  inherited_until_ = now + with_drift_margin(config_.timing.right);
  for (auto& [name, state] : upstreams_) {
    state.granted_until = std::max(state.granted_until, inherited_until_);
    state.next_order = now;
  }
  if (event.unconfirmed_write) {
    pending_ = pending_write{0, *event.unconfirmed_write, version_, now};
    // If the write takes effect, these shards change owners, so they must not be granted.
    for (const auto& [shard, entry] : event.unconfirmed_write->shards) {
      const auto it = record_->shards.find(shard);
      if (it == record_->shards.end()) continue;
      const shard_owner& old = it->second;
      if (entry.fence == old.fence) continue;
      moves_[shard] = {old.owner, old.fence, entry.owner, /*forced=*/false, /*released=*/true};
    }
    resend_write(now);
  }
  next_plan_ = now;
}

// Reading the record and taking a term.

void assigner::read_store(monotonic_time now) {
  if (read_in_flight_ && now < read_sent_ + store_timeout) return;
  if (now < next_read_) return;
  read_in_flight_ = ++last_request_;
  read_sent_ = now;
  next_read_ = now + config_.timing.renew;
  actions_.emplace_back(read_record{*read_in_flight_, config_.cell});
}

void assigner::on(const store_replied& event, monotonic_time now) {
  const bool is_read = read_in_flight_ == event.request;
  const bool is_write = pending_ && pending_->request == event.request;
  if (!is_read && !is_write) return;
  const monotonic_time asked = is_read ? read_sent_ : pending_->sent;
  if (is_read) read_in_flight_.reset();
  if (is_write) pending_->request = 0;
  if (!event.answer) return;

  const stored_record& found = *event.answer;
  if (pending_ && found.record && found.record->mark == pending_->record.mark) {
    record_ = pending_->record;
    version_ = found.version;
    right_until_ = std::max(right_until_, asked + config_.timing.right);
    on_write_committed(now);
    return;
  }
  const bool own_term = record_ && found.record && found.record->term == record_->term;
  const bool lost_race =
      phase_ == assigner_phase::taking && found.version != pending_->expected_version;
  if (lost_race || (found.record && record_ && !own_term && found.record->term > record_->term)) {
    return retire_because("lost the term: the store has " +
                          (found.record ? "term " + std::to_string(found.record->term.value) +
                                              " of " + found.record->assigner.value
                                        : std::string("no record")));
  }
  if (phase_ == assigner_phase::taking) return;  // this assigner's write may still take effect
  if (phase_ == assigner_phase::reading) {
    if (found.record) {
      take_term(found, now);
    } else {
      create_record(now);
    }
    return;
  }
  if (own_term && found.record->mark != record_->mark && found.version > version_) {
    return retire_because(found.record->mark.writer.value +
                          " has written a record under this term");
  }
  if (own_term) right_until_ = std::max(right_until_, asked + config_.timing.right);
}

void assigner::create_record(monotonic_time now) {
  if (inputs_.cell_shards.empty()) return;
  cell_record record;
  record.cell = config_.cell;
  record.service = service_of(config_.cell);
  record.domain = domain_of(config_.cell);
  record.term = term_number{1};
  record.revision = revision_number{1};
  record.assigner = config_.self;
  for (const auto& candidate : inputs_.standby_candidates) {
    if (record.standbys.size() < max_standbys - 1) record.standbys.push_back(candidate);
  }
  for (const auto& grant : inputs_.cell_shards)
    record.shards[grant.shard] = {std::nullopt, grant.fence};
  phase_ = assigner_phase::taking;
  write(std::move(record), 0, now);
}

void assigner::take_term(const stored_record& found, monotonic_time now) {
  cell_record record = *found.record;
  record.term = term_number{record.term.value + 1};
  record.revision = revision_number{record.revision.value + 1};
  record.assigner = config_.self;
  std::erase_if(record.standbys, [&](const instance_id& standby) {
    return instance_name(standby) == instance_name(config_.self);
  });
  phase_ = assigner_phase::taking;
  write(std::move(record), found.version, now);
}

write_mark assigner::next_mark() {
  return {config_.self, hash64(std::to_string(config_.seed), std::to_string(++mark_count_))};
}

void assigner::write(cell_record record, std::uint64_t expected_version, monotonic_time now) {
  record.mark = next_mark();
  // This precedes the write: once the record names this instance as assigner, a successor need not
  // announce its own term to it, and its memory must not confirm the predecessor any more.
  if (phase_ == assigner_phase::taking) {
    actions_.emplace_back(remember_term{{config_.cell, record.term, config_.self}});
  }
  pending_ = pending_write{0, std::move(record), expected_version, now};
  resend_write(now);
}

// Sends the same write again with the same mark: whichever copy takes effect, the record is the
// same.
void assigner::resend_write(monotonic_time now) {
  pending_->request = ++last_request_;
  pending_->sent = now;
  actions_.emplace_back(
      write_record{pending_->request, pending_->record, pending_->expected_version});
}

void assigner::on_write_committed(monotonic_time now) {
  // The fences tell which moves are done, as a write that was handed over came without its moves.
  std::erase_if(moves_, [&](const auto& move) {
    const auto it = record_->shards.find(move.first);
    return it == record_->shards.end() || it->second.fence > move.second.fence;
  });
  pending_.reset();
  std::map<instance_id, tracked_standby> kept;
  for (const auto& standby : record_->standbys) {
    auto [it, added] = kept.try_emplace(standby);
    const auto known = standbys_.find(standby);
    if (known != standbys_.end()) {
      it->second = known->second;
    } else {
      it->second.next_question = now;
      it->second.last_heard = now;
    }
  }
  standbys_ = std::move(kept);
  if (phase_ == assigner_phase::taking) {
    const bool first = record_->term == term_number{1};
    phase_ = first ? assigner_phase::active : assigner_phase::telling;
    term_taken_ = now;
    for (auto& [name, state] : upstreams_) state.last_heard = now;
  }
  for (auto& [name, state] : upstreams_) state.next_order = now;
  next_plan_ = now;
  actions_.emplace_back(publish_record{*record_});
}

void assigner::retire_because(std::string reason) {
  phase_ = assigner_phase::retired;
  actions_.emplace_back(retire{std::move(reason)});
}

// Standbys.

// Returns the standbys whose answers confirm the right to renew. While a change of the list may or
// may not have taken effect, only those in both lists do. This instance itself never does: it would
// confirm its own right for ever.
std::vector<instance_id> assigner::confirming_standbys() const {
  std::vector<instance_id> confirming;
  for (const auto& standby : record_->standbys) {
    if (standby == config_.self) continue;
    if (pending_ && std::find(pending_->record.standbys.begin(), pending_->record.standbys.end(),
                              standby) == pending_->record.standbys.end()) {
      continue;
    }
    confirming.push_back(standby);
  }
  return confirming;
}

void assigner::ask_standbys(monotonic_time now) {
  for (const auto& name : confirming_standbys()) {
    auto& state = standbys_[name];
    if (state.in_flight && now < state.asked + config_.timing.attempt_timeout) continue;
    if (now < state.next_question) continue;
    if (state.in_flight) question_requests_.erase(*state.in_flight);
    state.in_flight = ++last_request_;
    state.asked = now;
    state.next_question = now + config_.timing.renew;
    question_requests_[*state.in_flight] = name;
    actions_.emplace_back(
        ask_standby{*state.in_flight, name, {config_.cell, record_->term, config_.self}});
  }
}

void assigner::on(const question_replied& event, monotonic_time) {
  const auto it = question_requests_.find(event.request);
  if (it == question_requests_.end()) return;
  const instance_id name = it->second;
  question_requests_.erase(it);
  const auto standby = standbys_.find(name);
  if (standby == standbys_.end()) return;
  auto& state = standby->second;
  state.in_flight.reset();
  if (event.ended) {
    state.knows_term = true;
    ended_instances_.insert(name);
  }
  if (!event.answer) return;
  if (event.answer->highest_term > record_->term) {
    return retire_because("standby " + name.value + " has seen term " +
                          std::to_string(event.answer->highest_term.value));
  }
  state.knows_term = true;
  state.last_heard = state.asked;
  right_until_ = std::max(right_until_, state.asked + config_.timing.right);
}

// A standby that has not seen the new term might still confirm the predecessor's right. It is
// waited for until it answers, is known to have ended, is declared lost, or the hold time has
// passed.
bool assigner::all_standbys_know_term(monotonic_time now) const {
  const bool held_long_enough = config_.timing.hold > duration{0} &&
                                now >= term_taken_ + with_drift_margin(config_.timing.hold);
  return std::all_of(record_->standbys.begin(), record_->standbys.end(), [&](const auto& name) {
    const auto state = standbys_.find(name);
    if (state != standbys_.end() && state->second.knows_term) return true;
    return held_long_enough ||
           std::find(inputs_.lost_instances.begin(), inputs_.lost_instances.end(), name) !=
               inputs_.lost_instances.end();
  });
}

void assigner::wait_out_predecessor(monotonic_time now) {
  phase_ = assigner_phase::waiting;
  wait_until_ = now + with_drift_margin(config_.timing.right);
  inherited_until_ = wait_until_;
}

// Writes the record if its assigner or standbys should change. A standby that has ended, or that
// has been silent and is no candidate any more, is replaced by the best candidate.
void assigner::update_roles(monotonic_time now) {
  cell_record record = *record_;
  record.assigner = config_.self;
  std::erase(record.standbys, config_.self);
  const auto is_candidate = [&](const instance_id& name) {
    const auto& all = inputs_.standby_candidates;
    return std::find(all.begin(), all.end(), name) != all.end();
  };
  std::erase_if(record.standbys, [&](const instance_id& name) {
    const auto state = standbys_.find(name);
    const bool silent =
        state != standbys_.end() && now > state->second.last_heard + 2 * config_.timing.suspicion;
    return ended_instances_.contains(name) || (silent && !is_candidate(name));
  });
  for (const auto& candidate : inputs_.standby_candidates) {
    if (ended_instances_.contains(candidate)) continue;
    const bool present = std::find(record.standbys.begin(), record.standbys.end(), candidate) !=
                         record.standbys.end();
    if (!present && record.standbys.size() < max_standbys - 1) record.standbys.push_back(candidate);
  }
  if (record.standbys == record_->standbys && record.assigner == record_->assigner) return;
  record.revision = revision_number{record.revision.value + 1};
  write(std::move(record), version_, now);
}

// Lets callers' requests for moving shards be queued, as the old owner would refuse them.
void assigner::publish_moves() {
  std::vector<shard_id> moving;
  for (const auto& [shard, move] : moves_) moving.push_back(shard);
  if (moving == published_moving_) return;
  published_moving_ = moving;
  actions_.emplace_back(publish_moving{std::move(moving)});
}

void assigner::advance(monotonic_time now) {
  const bool unanswered =
      pending_ && (pending_->request == 0 || now >= pending_->sent + store_timeout);
  if (unanswered && now >= pending_->sent + config_.timing.attempt_timeout) resend_write(now);
  if (phase_ == assigner_phase::reading) return read_store(now);
  if (phase_ == assigner_phase::taking) return;

  ask_standbys(now);
  const bool standbys_silent = now + config_.timing.renew >= right_until_ - config_.timing.renew;
  if (confirming_standbys().empty() || standbys_silent) read_store(now);
  drop_departed_upstreams(now);
  send_orders(now);

  if (phase_ == assigner_phase::telling && all_standbys_know_term(now)) wait_out_predecessor(now);
  if (phase_ == assigner_phase::waiting && now >= wait_until_) {
    phase_ = assigner_phase::active;
    next_plan_ = now;
  }
  if (phase_ == assigner_phase::active && has_right(now)) {
    if (now >= next_plan_) plan(now);
    if (!pending_) finish_moves(now);
    if (!pending_) update_roles(now);
  }
  publish_moves();
}

monotonic_time assigner::next_wake(monotonic_time now) const {
  monotonic_time next = now + max_sleep;
  const auto wake_by = [&](monotonic_time when) { next = std::min(next, when); };
  if (pending_) {
    wake_by(pending_->sent +
            (pending_->request == 0 ? config_.timing.attempt_timeout : store_timeout));
  }
  if (read_in_flight_) wake_by(read_sent_ + store_timeout);
  if (phase_ == assigner_phase::reading && !read_in_flight_) wake_by(next_read_);
  if (record_ && phase_ != assigner_phase::taking) {
    for (const auto& [name, state] : standbys_) {
      wake_by(state.in_flight
                  ? std::max(state.next_question, state.asked + config_.timing.attempt_timeout)
                  : state.next_question);
    }
    for (const auto& [name, state] : upstreams_) {
      wake_by(state.in_flight ? state.in_flight->sent + config_.timing.attempt_timeout
                              : state.next_order);
    }
    for (const auto& [shard, move] : moves_) {
      const auto state = move.from ? upstreams_.find(*move.from) : upstreams_.end();
      if (state != upstreams_.end() && !move.released) wake_by(state->second.granted_until);
    }
    if (!read_in_flight_) wake_by(std::max(next_read_, right_until_ - 2 * config_.timing.renew));
    if (phase_ == assigner_phase::waiting) wake_by(wait_until_);
    if (phase_ == assigner_phase::active) wake_by(next_plan_);
  }
  return std::max(next, now + min_sleep);
}

std::optional<handover_received> assigner::hand_over(monotonic_time now) {
  if (phase_ != assigner_phase::active || !has_right(now)) return std::nullopt;
  phase_ = assigner_phase::retired;
  handover_received handover{*record_, version_, std::nullopt};
  if (pending_) handover.unconfirmed_write = pending_->record;
  return handover;
}

}  // namespace plantainpaddle
