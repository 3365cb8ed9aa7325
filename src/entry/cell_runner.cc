#include "entry/cell_runner.h"

#include <algorithm>

#include "base/log.h"
#include "ownership/layout.h"
#include "ownership/rendezvous.h"
#include "upstream/grant_codec.h"

namespace plantainpaddle {
namespace {

constexpr duration restart_pause = seconds(1);  // after this instance lost a cell
constexpr duration rates_period = seconds(5);
constexpr duration probe_period = seconds(1);
constexpr duration probe_timeout = milliseconds(500);
constexpr duration handover_timeout = milliseconds(500);

ownership_timing timing_of(const service_row& row) {
  ownership_timing timing;
  timing.grant = row.grant;
  timing.renew = row.renew;
  timing.hold = row.hold;
  return timing;
}

error no_answer(step at, std::string peer) {
  return error{errc::unavailable, at, std::move(peer), "no answer"};
}

}  // namespace

cell_runner::cell_runner(instance_id self, context ctx, std::uint64_t seed)
    : self_(std::move(self)), context_(std::move(ctx)), random_(seed) {}

term_answer cell_runner::answer(const term_question& question, monotonic_time now) {
  return standbys_.handle(question, now);
}

void cell_runner::tick(monotonic_time now) {
  for (const auto& [name, layout] : context_.cache.layouts()) {
    const auto declared = context_.cache.tables().find(name);
    if (declared == context_.cache.tables().end()) continue;
    for (const auto& cell : layout.cells) update_role(declared->second, layout, cell, now);
  }
  std::vector<cell_ref> cells;
  for (const auto& [cell, role] : running_) cells.push_back({cell, role.number});
  for (const auto& cell : cells) deliver(cell, plantainpaddle::tick{});
}

// Starting assigners and updating their inputs.

void cell_runner::update_role(const service_table& declared, const service_layout& layout,
                              const cell_id& cell, monotonic_time now) {
  const auto& order = candidate_order(declared, cell);
  const auto active_role = running_.find(cell);
  if (active_role != running_.end()) {
    probe_candidates(order, now);
    update_rates(active_role->second, now);
    return update_inputs(active_role->second, declared, layout, cell, order);
  }
  if (leaving_ || now < earliest_start_[cell] || !should_start(cell, order, now)) return;
  update_inputs(start(declared, cell, now), declared, layout, cell, order);
}

// Sorts only after a change of the instance list, because each tick asks for the order of every
// cell.
const std::vector<std::string>& cell_runner::candidate_order(const service_table& declared,
                                                             const cell_id& cell) {
  auto& cached = orders_[cell];
  const auto isolation = declared.service.isolation;
  const auto generation = context_.directory.list_generation();
  if (cached.generation != generation || cached.isolation != isolation) {
    cached = {generation, isolation,
              context_.directory.assigner_order(cell.value, domain_of(cell), isolation)};
  }
  return cached.names;
}

bool cell_runner::should_start(const cell_id& cell, const std::vector<std::string>& order,
                               monotonic_time now) {
  const auto known = context_.cache.cells().find(cell);
  const bool is_first = !order.empty() && order.front() == instance_name(self_);
  if (known == context_.cache.cells().end()) return is_first;
  const cell_record& record = known->second.record;
  if (standbys_.should_take_over(record, self_, {}, now)) return true;
  // If all instances that the record names are gone, the first candidate takes over.
  const auto is_gone = [&](const instance_id& id) { return context_.directory.is_gone(id); };
  return is_first && is_gone(record.assigner) &&
         std::all_of(record.standbys.begin(), record.standbys.end(), is_gone);
}

cell_runner::running_cell& cell_runner::start(const service_table& declared, const cell_id& cell,
                                              monotonic_time now) {
  log_line(log_level::info, {.message = "starting as assigner of cell " + cell.value,
                             .at = step::ownership,
                             .service = declared.service.name.value});
  assigner_config config{cell, self_, timing_of(declared.service), random_()};
  running_cell role{.number = ++last_number_, .state_machine = assigner(std::move(config), now)};
  return running_.insert_or_assign(cell, std::move(role)).first->second;
}

void cell_runner::update_inputs(running_cell& role, const service_table& declared,
                                const service_layout& layout, const cell_id& cell,
                                const std::vector<std::string>& order) {
  const inputs_source source{context_.cache.summary(), context_.directory.generation(),
                             role.next_rates};
  if (role.has_inputs && role.current_source == source) return;
  role.current_source = source;
  cell_inputs wanted = inputs_of(declared, layout, cell, order);
  wanted.load = role.rates;
  wanted.load_window = load_window;
  if (role.has_inputs && role.inputs == wanted) return;
  role.inputs = wanted;
  role.has_inputs = true;
  deliver({cell, role.number}, inputs_changed{std::move(wanted)});
}

cell_inputs cell_runner::inputs_of(const service_table& declared, const service_layout& layout,
                                   const cell_id& cell,
                                   const std::vector<std::string>& order) const {
  cell_inputs new_inputs;
  for (const auto& row : declared.upstreams) {
    if (cell_of(declared, row) != cell) continue;
    new_inputs.upstreams.push_back(row);
    if (declared.service.checks_fence) continue;
    // An upstream that doesn't check fencing tokens owns shards only together with a dispatcher.
    // Without one it gets none.
    const auto dispatcher = choose_dispatcher(row);
    if (dispatcher) {
      new_inputs.upstreams.back().name = make_dispatched_owner(row.name, *dispatcher);
    } else {
      new_inputs.upstreams.pop_back();
    }
  }
  new_inputs.cell_shards = home_shards(layout, cell);
  new_inputs.shards_to_release = leaving_shards(layout, cell);
  for (const auto& name : order) {
    const auto* current = context_.directory.current_id(name);
    if (current == nullptr || *current == self_ || context_.directory.is_unreachable(name))
      continue;
    if (new_inputs.standby_candidates.size() < max_standbys)
      new_inputs.standby_candidates.push_back(*current);
  }
  new_inputs.move_budget = std::max<std::uint32_t>(1, declared.service.moves_per_minute / 60);
  new_inputs.imbalance_weight = declared.service.imbalance_weight;
  new_inputs.churn_weight = declared.service.churn_weight;
  new_inputs.unavailable_weight = declared.service.unavailable_weight;
  return new_inputs;
}

void cell_runner::update_rates(running_cell& role, monotonic_time now) {
  if (now < role.next_rates) return;
  role.next_rates = now + rates_period;
  role.rates = role.load.rates(now);
}

void cell_runner::add_load(const shard_requests& requests, monotonic_time now) {
  const auto role = running_.find(requests.cell);
  if (role == running_.end()) return;
  for (const auto& entry : requests.entries) {
    // Counting only the record's shards bounds the memory.
    const auto& record = role->second.state_machine.record();
    if (!record || !record->shards.contains(entry.shard)) continue;
    role->second.load.add(entry.shard, entry.requests, now);
  }
}

// Asks the first max_standbys candidates for their identity while it is unknown or they are
// unreachable: only an instance of known identity can become a standby.
void cell_runner::probe_candidates(const std::vector<std::string>& order, monotonic_time now) {
  std::size_t considered = 0;
  for (const auto& name : order) {
    if (name == instance_name(self_)) continue;
    if (++considered > max_standbys) return;
    const bool known = context_.directory.current_id(name) != nullptr;
    if ((known && !context_.directory.is_unreachable(name)) || now < next_probe_[name]) continue;
    const auto* info = context_.directory.find(name);
    if (info == nullptr) continue;
    next_probe_[name] = now + probe_period;
    context_.network.call(
        info->peers, state_push{}, probe_timeout, [this](const result<peer_answer>& answer) {
          if (!answer) return;
          context_.post([this, id = answer->from.instance] { context_.on_reachable(id); });
        });
  }
}

// Delivering events and executing actions.

void cell_runner::deliver(const cell_ref& to, const assigner_event& event) {
  const auto place = running_.find(to.cell);
  if (place == running_.end() || place->second.number != to.number) return;
  for (const auto& action : place->second.state_machine.handle(event, monotonic_now())) {
    std::visit([&](const auto& a) { execute(to, a); }, action);
  }
}

void cell_runner::deliver_later(const cell_ref& to, assigner_event event) {
  context_.post([this, to, event = std::move(event)] { deliver(to, event); });
}

const upstream_row* cell_runner::find_upstream(const cell_id& cell, const upstream_id& name) const {
  const auto declared = context_.cache.tables().find(service_of(cell));
  if (declared == context_.cache.tables().end()) return nullptr;
  for (const auto& row : declared->second.upstreams) {
    if (row.name == name) return &row;
  }
  return nullptr;
}

// Returns the first reachable instance of the upstream's failure domain in rendezvous order.
std::optional<instance_id> cell_runner::choose_dispatcher(const upstream_row& row) const {
  for (const auto& name :
       rendezvous_order(row.name.value, context_.directory.live_in(row.domain))) {
    const auto* current = context_.directory.current_id(name);
    if (current != nullptr && !context_.directory.is_unreachable(name)) return *current;
  }
  return std::nullopt;
}

void cell_runner::send_to_dispatcher(const cell_ref& from, const send_order& action,
                                     const instance_id& dispatcher) {
  if (dispatcher == self_) {
    return deliver_later(
        from, grant_replied{action.request, context_.handle_order(action.to, action.order)});
  }
  const auto* info = context_.directory.find(instance_name(dispatcher));
  if (info == nullptr) {
    return deliver_later(from,
                         grant_replied{action.request, no_answer(step::grant, dispatcher.value)});
  }
  context_.network.call(
      info->peers, dispatcher_order{action.to, action.order}, ownership_timing{}.attempt_timeout,
      [this, from, number = action.request, dispatcher](result<peer_answer> answer) {
        grant_replied event{number, no_answer(step::grant, dispatcher.value)};
        // A restarted instance is another dispatcher, so its answer doesn't count.
        if (answer && answer->from.instance == dispatcher) {
          if (const auto* reply = std::get_if<grant_answer>(&answer->reply)) event.answer = *reply;
        }
        context_.post(
            [this, from, event = std::move(event), dispatcher, answered = answer.has_value()] {
              if (!answered) context_.on_unreachable(instance_name(dispatcher));
              deliver(from, event);
            });
      });
}

void cell_runner::execute(const cell_ref& from, const send_order& action) {
  if (const auto dispatcher = dispatcher_of(action.to)) {
    return send_to_dispatcher(from, action, *dispatcher);
  }
  const auto* row = find_upstream(from.cell, action.to);
  if (row == nullptr) {
    return deliver_later(from,
                         grant_replied{action.request, no_answer(step::grant, action.to.value)});
  }
  http_request request{"POST", std::string(grant_target), {}, format_grant_order(action.order)};
  context_.http.send(
      row->address, std::move(request), ownership_timing{}.attempt_timeout,
      [this, from, address = row->address, number = action.request](result<http_response> answer) {
        grant_replied event{number, no_answer(step::grant, address)};
        if (!answer) {
          // A connection that fell silent doesn't show that the upstream is down, so the next order
          // goes over a new one.
          context_.http.forget(address);
          event.answer = answer.error();
        } else if (answer->status == 200) {
          event.answer = parse_grant_answer(answer->body);
        }
        deliver(from, event);
      });
}

void cell_runner::execute(const cell_ref& from, const ask_standby& action) {
  const auto* info = context_.directory.find(instance_name(action.to));
  if (info == nullptr) {
    return deliver_later(from,
                         question_replied{action.request, no_answer(step::peer, action.to.value)});
  }
  context_.network.call(
      info->peers, action.question, ownership_timing{}.attempt_timeout,
      [this, from, action](result<peer_answer> answer) {
        question_replied event{action.request, no_answer(step::peer, action.to.value)};
        // A restarted instance has lost its memory of terms, so its answer doesn't count.
        if (answer && answer->from.instance == action.to) {
          if (const auto* reply = std::get_if<term_answer>(&answer->reply)) event.answer = *reply;
        }
        event.ended = answer && answer->from.instance != action.to;
        context_.post([this, from, event = std::move(event), name = instance_name(action.to),
                       answered = answer ? std::optional(answer->from.instance) : std::nullopt] {
          answered ? context_.on_reachable(*answered) : context_.on_unreachable(name);
          deliver(from, event);
        });
      });
}

void cell_runner::execute(const cell_ref& from, const read_record& action) {
  context_.store.get(
      context_.cache.keys().cell(from.cell),
      [this, from, number = action.request](result<std::optional<stored_value>> answer) {
        if (!answer) return deliver(from, store_replied{number, answer.error()});
        stored_record found;
        if (*answer) {
          auto record = parse_cell_record((*answer)->value);
          if (!record) return deliver(from, store_replied{number, record.error()});
          found.record = std::move(*record);
          found.version = (*answer)->version;
        }
        deliver(from, store_replied{number, std::move(found)});
      });
}

void cell_runner::execute(const cell_ref& from, const write_record& action) {
  const std::string key = context_.cache.keys().cell(from.cell);
  const std::string value = format_cell_record(action.record);
  context_.store.compare_and_swap(
      key, action.expected_version, value,
      [this, from, action, key, value](result<swap_answer> answer) {
        if (!answer) return deliver(from, store_replied{action.request, answer.error()});
        stored_record found;
        found.written = answer->written;
        found.version = answer->version;
        if (answer->written) {
          found.record = action.record;
          context_.on_written({key, answer->version, value});
        } else if (answer->value) {
          auto record = parse_cell_record(*answer->value);
          if (!record) return deliver(from, store_replied{action.request, record.error()});
          found.record = std::move(*record);
        }
        deliver(from, store_replied{action.request, std::move(found)});
      });
}

// Does nothing: on_written distributed the record when the store acknowledged its write.
void cell_runner::execute(const cell_ref&, const publish_record&) {}

void cell_runner::execute(const cell_ref&, const remember_term& action) {
  standbys_.remember(action.question, monotonic_now());
}

// Does nothing: an upstream refuses requests for shards that it no longer owns without running_cell
// them, and the entry instance sends them again.
void cell_runner::execute(const cell_ref&, const publish_moving&) {}

void cell_runner::execute(const cell_ref& from, const retire& action) {
  log_line(log_level::warning,
           {.message = "no longer assigner of cell " + from.cell.value + ": " + action.reason,
            .at = step::ownership,
            .service = service_of(from.cell).value});
  earliest_start_[from.cell] = monotonic_now() + restart_pause;
  // The assigner is still in its handle() call, so it is removed later.
  context_.post([this, from] {
    const auto place = running_.find(from.cell);
    if (place != running_.end() && place->second.number == from.number) running_.erase(place);
  });
}

// Planned shutdown.

bool cell_runner::leave(monotonic_time now) {
  leaving_ = true;
  for (auto place = running_.begin(); place != running_.end();) {
    auto& state_machine = place->second.state_machine;
    // An assigner that isn't active yet has granted nothing that a successor has to wait for.
    const auto handover = state_machine.hand_over(now);
    const bool gone = handover || state_machine.phase() != assigner_phase::active;
    if (handover) send_handover(place->first, *handover);
    place = gone ? running_.erase(place) : std::next(place);
  }
  return running_.empty() && handovers_under_way_ == 0;
}

// Sends the handover to one standby and never to a second one, because two receivers would act
// under the same term. If the message is lost, a standby starts the next term once the assigner's
// questions stop.
void cell_runner::send_handover(const cell_id& cell, const handover_received& handover) {
  const instance_info* chosen = nullptr;
  for (const auto& standby : handover.record.standbys) {
    if (context_.directory.is_gone(standby)) continue;
    chosen = context_.directory.find(instance_name(standby));
    if (chosen != nullptr && chosen->state == instance_state::live) break;
  }
  if (chosen == nullptr) return;
  ++handovers_under_way_;
  term_handover message{
      {context_.cache.keys().cell(cell), handover.version, format_cell_record(handover.record)},
      std::nullopt};
  if (handover.unconfirmed_write)
    message.unconfirmed_write = format_cell_record(*handover.unconfirmed_write);
  context_.network.call(
      chosen->peers, std::move(message), handover_timeout,
      [this, cell](const result<peer_answer>& answer) {
        const bool taken = answer.has_value();
        context_.post([this, cell, taken] {
          --handovers_under_way_;
          log_line(taken ? log_level::info : log_level::warning,
                   {.message = (taken ? "handed over cell " : "handover not confirmed for cell ") +
                               cell.value,
                    .at = step::ownership});
        });
      });
}

bool cell_runner::take_over(const term_handover& handover, monotonic_time now) {
  auto record = parse_cell_record(handover.record.value);
  if (!record || leaving_ || running_.contains(record->cell)) return false;
  handover_received event{std::move(*record), handover.record.version, std::nullopt};
  if (handover.unconfirmed_write) {
    auto unsure = parse_cell_record(*handover.unconfirmed_write);
    if (!unsure) return false;
    event.unconfirmed_write = std::move(*unsure);
  }
  const auto declared = context_.cache.tables().find(event.record.service);
  const auto layout = context_.cache.layouts().find(event.record.service);
  if (declared == context_.cache.tables().end() || layout == context_.cache.layouts().end())
    return false;
  const cell_id cell = event.record.cell;
  if (!standbys_.accept(cell, event.record.term, now)) return false;
  auto& role = start(declared->second, cell, now);
  const auto& order = candidate_order(declared->second, cell);
  // The handover must be the first event: an assigner that gets its inputs first reads the record
  // from the store instead.
  deliver({cell, role.number}, std::move(event));
  update_inputs(role, declared->second, layout->second, cell, order);
  return true;
}

std::map<cell_id, cell_runner::cell_state> cell_runner::describe(monotonic_time now) const {
  std::map<cell_id, cell_state> states;
  for (const auto& [cell, role] : running_) {
    states[cell] = {role.state_machine.phase(), role.state_machine.has_right(now),
                    role.state_machine.moves_under_way(), role.state_machine.suspected(now)};
  }
  return states;
}

}  // namespace plantainpaddle
