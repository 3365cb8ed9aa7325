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

cell_runner::cell_runner(instance_id self, context given, std::uint64_t seed)
    : self_(std::move(self)), context_(std::move(given)), random_(seed) {}

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
  for (const auto& cell : cells) feed(cell, plantainpaddle::tick{});
}

// Roles.

void cell_runner::update_role(const service_table& declared, const service_layout& layout,
                              const cell_id& cell, monotonic_time now) {
  const auto& order = order_of(declared, cell);
  const auto acting = running_.find(cell);
  if (acting != running_.end()) {
    probe_candidates(order, now);
    update_rates(acting->second, now);
    return update_inputs(acting->second, declared, layout, cell, order);
  }
  if (leaving_ || now < not_before_[cell] || !should_start(cell, order, now)) return;
  update_inputs(start(declared, cell, now), declared, layout, cell, order);
}

// Sorted anew only with a new list: each tick looks at every cell.
const std::vector<std::string>& cell_runner::order_of(const service_table& declared,
                                                      const cell_id& cell) {
  auto& kept = orders_[cell];
  const auto isolation = declared.service.isolation;
  const auto generation = context_.directory.list_generation();
  if (kept.generation != generation || kept.isolation != isolation) {
    kept = {generation, isolation,
            context_.directory.assigner_order(cell.value, domain_of(cell), isolation)};
  }
  return kept.names;
}

bool cell_runner::should_start(const cell_id& cell, const std::vector<std::string>& order,
                               monotonic_time now) {
  const auto known = context_.cache.cells().find(cell);
  const bool is_first = !order.empty() && order.front() == instance_name(self_);
  if (known == context_.cache.cells().end()) return is_first;
  const cell_record& record = known->second.record;
  if (standbys_.should_take_over(record, self_, {}, now)) return true;
  // Nobody named in the record lives any more: the first that may assign the cell takes over.
  const auto is_gone = [&](const instance_id& id) { return context_.directory.is_gone(id); };
  return is_first && is_gone(record.assigner) &&
         std::all_of(record.standbys.begin(), record.standbys.end(), is_gone);
}

cell_runner::running& cell_runner::start(const service_table& declared, const cell_id& cell,
                                         monotonic_time now) {
  log_line(log_level::info, {.message = "starts as assigner of " + cell.value,
                             .at = step::ownership,
                             .service = declared.service.name.value});
  assigner_config config{cell, self_, timing_of(declared.service), random_()};
  running role{.number = ++last_number_, .decisions = assigner(std::move(config), now)};
  return running_.insert_or_assign(cell, std::move(role)).first->second;
}

void cell_runner::update_inputs(running& role, const service_table& declared,
                                const service_layout& layout, const cell_id& cell,
                                const std::vector<std::string>& order) {
  const inputs_source source{context_.cache.summary(), context_.directory.generation(),
                             role.next_rates};
  if (role.has_inputs && role.made_from == source) return;
  role.made_from = source;
  cell_inputs wanted = inputs_of(declared, layout, cell, order);
  wanted.load = role.rates;
  wanted.load_window = load_window;
  if (role.has_inputs && role.inputs == wanted) return;
  role.inputs = wanted;
  role.has_inputs = true;
  feed({cell, role.number}, inputs_changed{std::move(wanted)});
}

cell_inputs cell_runner::inputs_of(const service_table& declared, const service_layout& layout,
                                   const cell_id& cell,
                                   const std::vector<std::string>& order) const {
  cell_inputs made;
  for (const auto& row : declared.upstreams) {
    if (cell_of(declared, row) != cell) continue;
    made.upstreams.push_back(row);
    if (declared.service.checks_fence) continue;
    // Such an upstream is owner only together with a dispatcher; without one it gets no shards.
    const auto dispatcher = choose_dispatcher(row);
    if (dispatcher) {
      made.upstreams.back().name = make_dispatched_owner(row.name, *dispatcher);
    } else {
      made.upstreams.pop_back();
    }
  }
  made.home = home_shards(layout, cell);
  made.leaving = leaving_shards(layout, cell);
  for (const auto& name : order) {
    const auto* life = context_.directory.life_of(name);
    if (life == nullptr || *life == self_ || context_.directory.is_unreachable(name)) continue;
    if (made.standby_candidates.size() < max_standbys) made.standby_candidates.push_back(*life);
  }
  made.move_budget = std::max<std::uint32_t>(1, declared.service.moves_per_minute / 60);
  made.imbalance_weight = declared.service.imbalance_weight;
  made.churn_weight = declared.service.churn_weight;
  made.unavailable_weight = declared.service.unavailable_weight;
  return made;
}

void cell_runner::update_rates(running& role, monotonic_time now) {
  if (now < role.next_rates) return;
  role.next_rates = now + rates_period;
  role.rates = role.load.rates(now);
}

void cell_runner::add_load(const shard_requests& requests, monotonic_time now) {
  const auto role = running_.find(requests.cell);
  if (role == running_.end()) return;
  for (const auto& entry : requests.entries) {
    // Only known shards: the memory is bounded by the record.
    const auto& record = role->second.decisions.record();
    if (!record || !record->shards.contains(entry.shard)) continue;
    role->second.load.add(entry.shard, entry.requests, now);
  }
}

// Asks the best candidates who they are, as long as that isn't known or they don't answer.
void cell_runner::probe_candidates(const std::vector<std::string>& order, monotonic_time now) {
  std::size_t considered = 0;
  for (const auto& name : order) {
    if (name == instance_name(self_)) continue;
    if (++considered > max_standbys) return;
    const bool known = context_.directory.life_of(name) != nullptr;
    if ((known && !context_.directory.is_unreachable(name)) || now < next_probe_[name]) continue;
    const auto* info = context_.directory.find(name);
    if (info == nullptr) continue;
    next_probe_[name] = now + probe_period;
    context_.network.call(
        info->peers, state_push{}, probe_timeout, [this](const result<peer_answer>& answer) {
          if (!answer) return;
          context_.post([this, id = answer->from.instance] { context_.on_heard(id); });
        });
  }
}

// Events and actions.

void cell_runner::feed(const cell_ref& to, const assigner_event& event) {
  const auto place = running_.find(to.cell);
  if (place == running_.end() || place->second.number != to.number) return;
  for (const auto& action : place->second.decisions.handle(event, monotonic_now())) {
    std::visit([&](const auto& a) { carry_out(to, a); }, action);
  }
}

void cell_runner::feed_later(const cell_ref& to, assigner_event event) {
  context_.post([this, to, event = std::move(event)] { feed(to, event); });
}

const upstream_row* cell_runner::find_upstream(const cell_id& cell, const upstream_id& name) const {
  const auto declared = context_.cache.tables().find(service_of(cell));
  if (declared == context_.cache.tables().end()) return nullptr;
  for (const auto& row : declared->second.upstreams) {
    if (row.name == name) return &row;
  }
  return nullptr;
}

// The first instance of the upstream's failure domain that answers.
std::optional<instance_id> cell_runner::choose_dispatcher(const upstream_row& row) const {
  for (const auto& name :
       rendezvous_order(row.name.value, context_.directory.live_in(row.domain))) {
    const auto* life = context_.directory.life_of(name);
    if (life != nullptr && !context_.directory.is_unreachable(name)) return *life;
  }
  return std::nullopt;
}

void cell_runner::send_to_dispatcher(const cell_ref& from, const send_order& action,
                                     const instance_id& dispatcher) {
  if (dispatcher == self_) {
    return feed_later(
        from, grant_replied{action.request, context_.handle_order(action.to, action.order)});
  }
  const auto* info = context_.directory.find(instance_name(dispatcher));
  if (info == nullptr) {
    return feed_later(from,
                      grant_replied{action.request, no_answer(step::grant, dispatcher.value)});
  }
  context_.network.call(
      info->peers, dispatcher_order{action.to, action.order}, ownership_timing{}.attempt_timeout,
      [this, from, number = action.request, dispatcher](result<peer_answer> answer) {
        grant_replied event{number, no_answer(step::grant, dispatcher.value)};
        // Another life of the instance is another dispatcher.
        if (answer && answer->from.instance == dispatcher) {
          if (const auto* reply = std::get_if<grant_answer>(&answer->reply)) event.answer = *reply;
        }
        context_.post(
            [this, from, event = std::move(event), dispatcher, heard = answer.has_value()] {
              if (!heard) context_.on_unreachable(instance_name(dispatcher));
              feed(from, event);
            });
      });
}

void cell_runner::carry_out(const cell_ref& from, const send_order& action) {
  if (const auto dispatcher = dispatcher_of(action.to)) {
    return send_to_dispatcher(from, action, *dispatcher);
  }
  const auto* row = find_upstream(from.cell, action.to);
  if (row == nullptr) {
    return feed_later(from, grant_replied{action.request, no_answer(step::grant, action.to.value)});
  }
  http_request request{"POST", std::string(grant_target), {}, format_grant_order(action.order)};
  context_.http.send(
      row->address, std::move(request), ownership_timing{}.attempt_timeout,
      [this, from, address = row->address, number = action.request](result<http_response> answer) {
        grant_replied event{number, no_answer(step::grant, address)};
        if (!answer) {
          // The next order goes over a new connection: a silent one says nothing of the upstream.
          context_.http.forget(address);
          event.answer = answer.error();
        } else if (answer->status == 200) {
          event.answer = parse_grant_answer(answer->body);
        }
        feed(from, event);
      });
}

void cell_runner::carry_out(const cell_ref& from, const ask_standby& action) {
  const auto* info = context_.directory.find(instance_name(action.to));
  if (info == nullptr) {
    return feed_later(from,
                      question_replied{action.request, no_answer(step::peer, action.to.value)});
  }
  context_.network.call(
      info->peers, action.question, ownership_timing{}.attempt_timeout,
      [this, from, action](result<peer_answer> answer) {
        question_replied event{action.request, no_answer(step::peer, action.to.value)};
        // Another life of the same instance remembers nothing: its answer doesn't count.
        if (answer && answer->from.instance == action.to) {
          if (const auto* reply = std::get_if<term_answer>(&answer->reply)) event.answer = *reply;
        }
        event.ended = answer && answer->from.instance != action.to;
        context_.post([this, from, event = std::move(event), name = instance_name(action.to),
                       heard = answer ? std::optional(answer->from.instance) : std::nullopt] {
          heard ? context_.on_heard(*heard) : context_.on_unreachable(name);
          feed(from, event);
        });
      });
}

void cell_runner::carry_out(const cell_ref& from, const read_record& action) {
  context_.store.get(
      context_.cache.keys().cell(from.cell),
      [this, from, number = action.request](result<std::optional<stored_value>> answer) {
        if (!answer) return feed(from, store_replied{number, answer.error()});
        stored_record found;
        if (*answer) {
          auto record = parse_cell_record((*answer)->value);
          if (!record) return feed(from, store_replied{number, record.error()});
          found.record = std::move(*record);
          found.version = (*answer)->version;
        }
        feed(from, store_replied{number, std::move(found)});
      });
}

void cell_runner::carry_out(const cell_ref& from, const write_record& action) {
  const std::string key = context_.cache.keys().cell(from.cell);
  const std::string value = format_cell_record(action.record);
  context_.store.compare_and_swap(
      key, action.expected_version, value,
      [this, from, action, key, value](result<swap_answer> answer) {
        if (!answer) return feed(from, store_replied{action.request, answer.error()});
        stored_record found;
        found.written = answer->written;
        found.version = answer->version;
        if (answer->written) {
          found.record = action.record;
          context_.on_written({key, answer->version, value});
        } else if (answer->value) {
          auto record = parse_cell_record(*answer->value);
          if (!record) return feed(from, store_replied{action.request, record.error()});
          found.record = std::move(*record);
        }
        feed(from, store_replied{action.request, std::move(found)});
      });
}

// The record was spread when its write was acknowledged.
void cell_runner::carry_out(const cell_ref&, const publish_record&) {}

void cell_runner::carry_out(const cell_ref&, const remember_term& action) {
  standbys_.remember(action.question, monotonic_now());
}

// An upstream refuses what it no longer owns unrun, and the entry instance sends it again.
void cell_runner::carry_out(const cell_ref&, const publish_moving&) {}

void cell_runner::carry_out(const cell_ref& from, const retire& action) {
  log_line(log_level::warning,
           {.message = "no longer assigner of " + from.cell.value + ": " + action.reason,
            .at = step::ownership,
            .service = service_of(from.cell).value});
  not_before_[from.cell] = monotonic_now() + restart_pause;
  // The assigner is in a call: remove it afterwards.
  context_.post([this, from] {
    const auto place = running_.find(from.cell);
    if (place != running_.end() && place->second.number == from.number) running_.erase(place);
  });
}

// Planned leave.

bool cell_runner::leave(monotonic_time now) {
  leaving_ = true;
  for (auto place = running_.begin(); place != running_.end();) {
    auto& decisions = place->second.decisions;
    // One that isn't active yet holds nothing that a successor would have to wait for.
    const auto handover = decisions.hand_over(now);
    const bool gone = handover || decisions.phase() != assigner_phase::active;
    if (handover) send_handover(place->first, *handover);
    place = gone ? running_.erase(place) : std::next(place);
  }
  return running_.empty() && handovers_under_way_ == 0;
}

// To one standby only, and never to a second one: two receivers would act under the same term. If
// it does not arrive, a standby takes the next term when it misses the questions.
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
                   {.message = (taken ? "handed over " : "hand-over not confirmed: ") + cell.value,
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
  const auto& order = order_of(declared->second, cell);
  // The first event decides between a read of the store and the hand-over.
  feed({cell, role.number}, std::move(event));
  update_inputs(role, declared->second, layout->second, cell, order);
  return true;
}

std::map<cell_id, cell_runner::cell_state> cell_runner::describe(monotonic_time now) const {
  std::map<cell_id, cell_state> states;
  for (const auto& [cell, role] : running_) {
    states[cell] = {role.decisions.phase(), role.decisions.has_right(now),
                    role.decisions.moves_under_way(), role.decisions.suspected(now)};
  }
  return states;
}

}  // namespace plantainpaddle
