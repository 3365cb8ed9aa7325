#include "ownership/assigner.h"

#include <algorithm>

#include "base/hash.h"

namespace plantainpaddle {
namespace {

// An answer of the store that is not there by then is not waited for.
constexpr duration store_patience = seconds(2);
// An event that comes later than this after it was due means that this process did not run.
constexpr duration most_idle = milliseconds(100);
constexpr duration least_sleep = milliseconds(10);
constexpr duration most_sleep = milliseconds(500);

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
      adopted_until_(now),
      last_event_(now),
      expected_event_(now),
      next_plan_(now) {}

assigner_actions assigner::handle(const assigner_event& event, monotonic_time now) {
  actions_.clear();
  if (phase_ == assigner_phase::retired) return {};
  skip_pause(now);
  std::visit([&](const auto& e) { on(e, now); }, event);
  if (phase_ != assigner_phase::retired) advance(now);
  expected_event_ = next_wake(now);
  return std::move(actions_);
}

// Silence of others counts only while this process ran: after a pause their answers may still lie
// in its buffers.
void assigner::skip_pause(monotonic_time now) {
  const duration pause = now - std::max(last_event_, expected_event_);
  last_event_ = now;
  if (pause <= most_idle) return;
  for (auto& [name, side] : upstreams_) side.last_heard += pause;
  for (auto& [name, side] : standbys_) side.last_heard += pause;
}

void assigner::on(const tick&, monotonic_time) {}

void assigner::on(const inputs_changed& event, monotonic_time now) {
  inputs_ = event.inputs;
  for (auto& [name, side] : upstreams_) side.listed = false;
  for (const auto& row : inputs_.upstreams) {
    auto [place, added] = upstreams_.try_emplace(row.name);
    place->second.listed = true;
    if (!added) continue;
    place->second.next_order = now;
    place->second.last_heard = now;
    place->second.granted_until = std::max(now, adopted_until_);
  }
  next_plan_ = now;
}

void assigner::on(const handover_received& event, monotonic_time now) {
  if (phase_ != assigner_phase::reading) return;
  record_ = event.record;
  version_ = event.version;
  phase_ = assigner_phase::active;
  // The predecessor's orders may still be on their way.
  adopted_until_ = now + with_drift_margin(config_.timing.right);
  for (auto& [name, side] : upstreams_) {
    side.granted_until = std::max(side.granted_until, adopted_until_);
    side.next_order = now;
  }
  if (event.unconfirmed_write) {
    pending_ = pending_write{0, *event.unconfirmed_write, version_, now};
    // Shards that the write moves are on their way.
    for (const auto& [shard, entry] : event.unconfirmed_write->shards) {
      const auto place = record_->shards.find(shard);
      if (place == record_->shards.end()) continue;
      const shard_owner& old = place->second;
      if (entry.fence == old.fence) continue;
      moves_[shard] = {old.owner, old.fence, entry.owner, /*forced=*/false, /*released=*/true};
    }
    resend_write(now);
  }
  next_plan_ = now;
}

// Reading and taking.

void assigner::read_store(monotonic_time now) {
  if (read_in_flight_ && now < read_sent_ + store_patience) return;
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
    committed(now);
    return;
  }
  const bool own_term = record_ && found.record && found.record->term == record_->term;
  const bool lost_race =
      phase_ == assigner_phase::taking && found.version != pending_->expected_version;
  if (lost_race || (found.record && record_ && !own_term && found.record->term > record_->term)) {
    return retire_because("the store's record is of " +
                          (found.record ? "term " + std::to_string(found.record->term.value) +
                                              " and " + found.record->assigner.value
                                        : std::string("nobody")));
  }
  if (phase_ == assigner_phase::taking) return;  // the write may still take effect
  if (phase_ == assigner_phase::reading) {
    if (found.record) {
      take_term(found, now);
    } else {
      create_record(now);
    }
    return;
  }
  if (own_term && found.record->mark != record_->mark && found.version > version_) {
    return retire_because(found.record->mark.writer.value + " has written under this term");
  }
  if (own_term) right_until_ = std::max(right_until_, asked + config_.timing.right);
}

void assigner::create_record(monotonic_time now) {
  if (inputs_.home.empty()) return;
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
  for (const auto& home : inputs_.home) record.shards[home.shard] = {std::nullopt, home.fence};
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
  // Before the write: once the term is in the store, others needn't tell this instance of a later
  // one.
  if (phase_ == assigner_phase::taking) {
    actions_.emplace_back(remember_term{{config_.cell, record.term, config_.self}});
  }
  pending_ = pending_write{0, std::move(record), expected_version, now};
  resend_write(now);
}

// The same write again, mark and all: whichever copy takes effect, the record is the same.
void assigner::resend_write(monotonic_time now) {
  pending_->request = ++last_request_;
  pending_->sent = now;
  actions_.emplace_back(
      write_record{pending_->request, pending_->record, pending_->expected_version});
}

void assigner::committed(monotonic_time now) {
  // Not by the list of moves: a write that was handed over with the term has none.
  std::erase_if(moves_, [&](const auto& move) {
    const auto place = record_->shards.find(move.first);
    return place == record_->shards.end() || place->second.fence > move.second.fence;
  });
  pending_.reset();
  std::map<instance_id, standby_side> kept;
  for (const auto& standby : record_->standbys) {
    auto [place, added] = kept.try_emplace(standby);
    const auto known = standbys_.find(standby);
    if (known != standbys_.end()) {
      place->second = known->second;
    } else {
      place->second.next_question = now;
      place->second.last_heard = now;
    }
  }
  standbys_ = std::move(kept);
  if (phase_ == assigner_phase::taking) {
    const bool first = record_->term == term_number{1};
    phase_ = first ? assigner_phase::active : assigner_phase::telling;
    term_taken_ = now;
    for (auto& [name, side] : upstreams_) side.last_heard = now;
  }
  for (auto& [name, side] : upstreams_) side.next_order = now;
  next_plan_ = now;
  actions_.emplace_back(publish_record{*record_});
}

void assigner::retire_because(std::string reason) {
  phase_ = assigner_phase::retired;
  actions_.emplace_back(retire{std::move(reason)});
}

// Standbys.

// While it is unsure whether a change of the list took effect, only those in both lists count. This
// instance's own memory is no witness: alone, it would never lose its right.
std::vector<instance_id> assigner::counted_standbys() const {
  std::vector<instance_id> counted;
  for (const auto& standby : record_->standbys) {
    if (standby == config_.self) continue;
    if (pending_ && std::find(pending_->record.standbys.begin(), pending_->record.standbys.end(),
                              standby) == pending_->record.standbys.end()) {
      continue;
    }
    counted.push_back(standby);
  }
  return counted;
}

void assigner::ask_standbys(monotonic_time now) {
  for (const auto& name : counted_standbys()) {
    auto& side = standbys_[name];
    if (side.in_flight && now < side.asked + config_.timing.attempt_timeout) continue;
    if (now < side.next_question) continue;
    if (side.in_flight) question_requests_.erase(*side.in_flight);
    side.in_flight = ++last_request_;
    side.asked = now;
    side.next_question = now + config_.timing.renew;
    question_requests_[*side.in_flight] = name;
    actions_.emplace_back(
        ask_standby{*side.in_flight, name, {config_.cell, record_->term, config_.self}});
  }
}

void assigner::on(const question_replied& event, monotonic_time) {
  const auto place = question_requests_.find(event.request);
  if (place == question_requests_.end()) return;
  const instance_id name = place->second;
  question_requests_.erase(place);
  const auto standby = standbys_.find(name);
  if (standby == standbys_.end()) return;
  auto& side = standby->second;
  side.in_flight.reset();
  if (event.ended) {
    side.told = true;
    ended_instances_.insert(name);
  }
  if (!event.answer) return;
  if (event.answer->highest_term > record_->term) {
    return retire_because("standby " + name.value + " was shown term " +
                          std::to_string(event.answer->highest_term.value));
  }
  side.told = true;
  side.last_heard = side.asked;
  right_until_ = std::max(right_until_, side.asked + config_.timing.right);
}

// A standby that can't be told might go on confirming the old assigner's right. It is waited for
// until it answers, is known to have ended, is declared lost, or the hold time is over.
bool assigner::all_told(monotonic_time now) const {
  const bool held_long_enough = config_.timing.hold > duration{0} &&
                                now >= term_taken_ + with_drift_margin(config_.timing.hold);
  return std::all_of(record_->standbys.begin(), record_->standbys.end(), [&](const auto& name) {
    const auto side = standbys_.find(name);
    if (side != standbys_.end() && side->second.told) return true;
    return held_long_enough ||
           std::find(inputs_.lost.begin(), inputs_.lost.end(), name) != inputs_.lost.end();
  });
}

void assigner::start_waiting(monotonic_time now) {
  phase_ = assigner_phase::waiting;
  wait_until_ = now + with_drift_margin(config_.timing.right);
  adopted_until_ = wait_until_;
}

// Writes what has changed of assigner and standbys. A standby that has been silent, or is no longer
// live, is replaced by the best candidate.
void assigner::renew_roles(monotonic_time now) {
  cell_record record = *record_;
  record.assigner = config_.self;
  std::erase(record.standbys, config_.self);
  const auto is_candidate = [&](const instance_id& name) {
    const auto& all = inputs_.standby_candidates;
    return std::find(all.begin(), all.end(), name) != all.end();
  };
  std::erase_if(record.standbys, [&](const instance_id& name) {
    const auto side = standbys_.find(name);
    const bool silent =
        side != standbys_.end() && now > side->second.last_heard + 2 * config_.timing.suspicion;
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

// Keeps callers' requests for moving shards from being sent to an upstream that will refuse them.
void assigner::publish_moves() {
  std::vector<shard_id> moving;
  for (const auto& [shard, move] : moves_) moving.push_back(shard);
  if (moving == published_moving_) return;
  published_moving_ = moving;
  actions_.emplace_back(publish_moving{std::move(moving)});
}

void assigner::advance(monotonic_time now) {
  const bool unanswered =
      pending_ && (pending_->request == 0 || now >= pending_->sent + store_patience);
  if (unanswered && now >= pending_->sent + config_.timing.attempt_timeout) resend_write(now);
  if (phase_ == assigner_phase::reading) return read_store(now);
  if (phase_ == assigner_phase::taking) return;

  ask_standbys(now);
  const bool standbys_silent = now + config_.timing.renew >= right_until_ - config_.timing.renew;
  if (counted_standbys().empty() || standbys_silent) read_store(now);
  forget_left_upstreams(now);
  send_orders(now);

  if (phase_ == assigner_phase::telling && all_told(now)) start_waiting(now);
  if (phase_ == assigner_phase::waiting && now >= wait_until_) {
    phase_ = assigner_phase::active;
    next_plan_ = now;
  }
  if (phase_ == assigner_phase::active && has_right(now)) {
    if (now >= next_plan_) plan(now);
    if (!pending_) finish_moves(now);
    if (!pending_) renew_roles(now);
  }
  publish_moves();
}

monotonic_time assigner::next_wake(monotonic_time now) const {
  monotonic_time next = now + most_sleep;
  const auto by = [&](monotonic_time when) { next = std::min(next, when); };
  if (pending_) {
    by(pending_->sent + (pending_->request == 0 ? config_.timing.attempt_timeout : store_patience));
  }
  if (read_in_flight_) by(read_sent_ + store_patience);
  if (phase_ == assigner_phase::reading && !read_in_flight_) by(next_read_);
  if (record_ && phase_ != assigner_phase::taking) {
    for (const auto& [name, side] : standbys_) {
      by(side.in_flight ? std::max(side.next_question, side.asked + config_.timing.attempt_timeout)
                        : side.next_question);
    }
    for (const auto& [name, side] : upstreams_) {
      by(side.in_flight ? side.in_flight->sent + config_.timing.attempt_timeout : side.next_order);
    }
    for (const auto& [shard, move] : moves_) {
      const auto side = move.from ? upstreams_.find(*move.from) : upstreams_.end();
      if (side != upstreams_.end() && !move.released) by(side->second.granted_until);
    }
    if (!read_in_flight_) by(std::max(next_read_, right_until_ - 2 * config_.timing.renew));
    if (phase_ == assigner_phase::waiting) by(wait_until_);
    if (phase_ == assigner_phase::active) by(next_plan_);
  }
  return std::max(next, now + least_sleep);
}

std::optional<handover_received> assigner::hand_over(monotonic_time now) {
  if (phase_ != assigner_phase::active || !has_right(now)) return std::nullopt;
  phase_ = assigner_phase::retired;
  handover_received handed{*record_, version_, std::nullopt};
  if (pending_) handed.unconfirmed_write = pending_->record;
  return handed;
}

}  // namespace plantainpaddle
