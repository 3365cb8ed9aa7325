// The simulated entry instances, which carry out an assigner's actions as entry/ does.

#include <algorithm>

#include "ownership/rendezvous.h"
#include "ownership/testing/simulation.h"

namespace plantainpaddle::model {
namespace {

const cell_id simulated_cell{"sklad/d1/0"};
constexpr duration tick_period = milliseconds(20);
constexpr duration list_entry_lifetime = milliseconds(600);  // since the last registration
constexpr duration assigner_restart_delay = milliseconds(300);
// Between deciding on an action and carrying it out; a fault may fall into this gap.
constexpr duration max_action_delay = microseconds(300);

}  // namespace

instance_id simulation::id_of(int number) const {
  return make_instance_id(processes_[number].name, processes_[number].life);
}

int simulation::number_of(const std::string& name) const {
  const auto it = std::find_if(processes_.begin(), processes_.end(),
                               [&](const auto& p) { return p.name == name; });
  return static_cast<int>(it - processes_.begin());
}

void simulation::start_instance(int number) {
  processes_[number].alive = true;
  ++processes_[number].life;
  instances_[number] = {};
  for (int other = 0; other < instance_count; ++other) {
    instances_[number].listed_instances.insert(processes_[other].name);
  }
  add_trace(id_of(number).value + " starts");
  // Instances tell each other their current ids.
  for (int other = 0; other < instance_count; ++other) {
    send(number, other, [this, other, id = id_of(number)] {
      instances_[other].known_ids[instance_name(id)] = id;
    });
    send(other, number, [this, number, id = id_of(other)] {
      instances_[number].known_ids[instance_name(id)] = id;
    });
  }
  schedule(now_ + random_below(tick_period), number, [this, number] { tick_instance(number); });
}

void simulation::tick_instance(int number) {
  schedule(now_ + tick_period, number, [this, number] { tick_instance(number); });
  auto& self = instances_[number];
  if (random_() % 25 == 0) {  // every 0.5 s on average: gossip of ids and records
    const int other = static_cast<int>(random_() % instance_count);
    send(number, other, [this, other, id = id_of(number), latest_record = self.latest_record] {
      instances_[other].known_ids[instance_name(id)] = id;
      if (latest_record) update_record(other, *latest_record);
    });
  }
  if (random_() % 10 == 0) read_instance_list(number);
  update_role(number);
  if (self.local_assigner &&
      clock(number) >= self.local_assigner->next_wake(self.last_event_time)) {
    handle_event(number, self.assigner_generation, tick{});
  }
}

// Renews the instance's registration and reads the platform's list of instances and, in place of a
// watch, the stored record. Called every 0.2 s on average.
void simulation::read_instance_list(int number) {
  send(number, store_process, [this, number] {
    listed_until_[number] = now_ + list_entry_lifetime;
    std::set<std::string> listed;
    for (int other = 0; other < instance_count; ++other) {
      if (now_ < listed_until_[other]) listed.insert(processes_[other].name);
    }
    std::optional<cell_record> record;
    if (now_ >= store_down_until_) record = stored_;
    send(store_process, number, [this, number, listed, record] {
      instances_[number].listed_instances = listed;
      if (record) update_record(number, *record);
    });
  });
}

void simulation::update_record(int number, const cell_record& record) {
  auto& latest_record = instances_[number].latest_record;
  if (!latest_record || record.revision > latest_record->revision) latest_record = record;
}

bool simulation::should_start_assigner(int number) {
  auto& self = instances_[number];
  if (clock(number) < self.restart_after) return false;
  if (!self.latest_record) return number == 0;
  const cell_record& record = *self.latest_record;
  if (self.standby.should_take_over(record, id_of(number), {}, clock(number))) return true;
  const auto is_gone = [&](const instance_id& id) {
    const auto known_id = self.known_ids.find(instance_name(id));
    return known_id != self.known_ids.end() && known_id->second != id;
  };
  return is_gone(record.assigner) &&
         std::all_of(record.standbys.begin(), record.standbys.end(), is_gone);
}

cell_inputs simulation::inputs_of(int number) const {
  cell_inputs inputs;
  for (int u = 0; u < upstream_count; ++u) {
    if (now_ < upstreams_[u].removed_until) continue;
    upstream_row row;
    row.name = upstream_id{processes_[instance_count + u].name};
    if (now_ < upstreams_[u].drained_until) row.state = upstream_state::drain;
    inputs.upstreams.push_back(row);
  }
  for (std::uint32_t shard = 0; shard < shard_count; ++shard) {
    inputs.cell_shards.push_back({shard_id{shard}, layout_[shard].min_fence});
    if (layout_[shard].leaving) inputs.shards_to_release.push_back(shard_id{shard});
  }
  for (const auto& [name, id] : instances_[number].known_ids) {
    if (id != id_of(number) && instances_[number].listed_instances.contains(name))
      inputs.standby_candidates.push_back(id);
  }
  inputs.move_budget = 1;
  return inputs;
}

void simulation::update_role(int number) {
  auto& self = instances_[number];
  if (!self.local_assigner) {
    if (!should_start_assigner(number)) return;
    assigner_config config;
    config.cell = simulated_cell;
    config.self = id_of(number);
    config.seed = random_();
    self.local_assigner = std::make_unique<assigner>(config, clock(number));
    self.last_inputs.reset();
    ++self.assigner_generation;
    add_trace(id_of(number).value + " starts as assigner");
  }
  const cell_inputs wanted = inputs_of(number);
  if (self.last_inputs == wanted) return;
  self.last_inputs = wanted;
  handle_event(number, self.assigner_generation, inputs_changed{wanted});
}

void simulation::handle_event(int number, std::uint64_t generation, const assigner_event& event) {
  auto& self = instances_[number];
  if (!self.local_assigner || self.assigner_generation != generation) return;
  self.last_event_time = clock(number);
  const auto before = self.local_assigner->phase();
  for (const auto& action : self.local_assigner->handle(event, clock(number))) {
    if (const auto* own = std::get_if<remember_term>(&action)) {
      self.standby.remember(own->question, clock(number));
      continue;
    }
    schedule(now_ + random_below(max_action_delay), number, [this, number, generation, action] {
      std::visit([&](const auto& a) { perform(number, generation, a); }, action);
    });
  }
  if (self.local_assigner->phase() != before &&
      self.local_assigner->phase() == assigner_phase::active) {
    for (const auto& other : instances_) {
      if (&other == &self || !other.local_assigner || !other.local_assigner->record()) continue;
      if (other.local_assigner->phase() == assigner_phase::active &&
          other.local_assigner->record()->term == self.local_assigner->record()->term) {
        oracle_.report("two assigners are active in the same term");
      }
    }
  }
  if (self.local_assigner->phase() != before) {
    add_trace(id_of(number).value + " is " + std::string(phase_name(self.local_assigner->phase())));
  }
  if (self.local_assigner->phase() == assigner_phase::retired) {
    self.local_assigner.reset();
    self.restart_after = clock(number) + assigner_restart_delay;
  }
}

void simulation::perform(int number, std::uint64_t generation, const send_order& action) {
  const int to = number_of(action.to.value);
  send(number, to, [this, number, generation, to, action] {
    const int u = to - instance_count;
    stop_expired_requests(u);
    auto& holder = *upstreams_[u].holder;
    const auto before = holder.held(clock(to));
    const grant_answer answer = holder.handle(action.order, clock(to));
    oracle_.on_order(processes_[to].name + "@" + std::to_string(processes_[to].life), action.order,
                     answer.status, before, holder.held(clock(to)));
    if (answer.status == grant_status::accepted && action.order.set) {
      std::string line = processes_[to].name + " accepts of " + action.order.assigner.value + ":";
      for (const auto& grant : answer.held) {
        line += " " + std::to_string(grant.shard.value) + "/" + std::to_string(grant.fence.value);
      }
      add_trace(line);
    }
    check_running();
    send(to, number, [this, number, generation, request = action.request, answer] {
      handle_event(number, generation, grant_replied{request, answer});
    });
  });
}

void simulation::perform(int number, std::uint64_t generation, const ask_standby& action) {
  const int to = number_of(instance_name(action.to));
  send(number, to, [this, number, generation, to, action] {
    if (id_of(to) != action.to) {
      send(to, number, [this, number, generation, request = action.request] {
        handle_event(
            number, generation,
            question_replied{request, error{errc::stale, step::peer, "", ""}, /*ended=*/true});
      });
      return;
    }
    const term_answer answer = instances_[to].standby.handle(action.question, clock(to));
    send(to, number, [this, number, generation, request = action.request, answer] {
      handle_event(number, generation, question_replied{request, answer});
    });
  });
}

void simulation::perform(int number, std::uint64_t generation, const read_record& action) {
  call_store(number, generation, action.request, [this] {
    return stored_record{stored_, stored_version_, false};
  });
}

void simulation::perform(int number, std::uint64_t generation, const write_record& action) {
  call_store(number, generation, action.request,
             [this, action] { return compare_and_swap(action.record, action.expected_version); });
}

void simulation::perform(int number, std::uint64_t, const publish_record& action) {
  oracle_.on_published(action.record);
  update_record(number, action.record);
  for (int other = 0; other < instance_count; ++other) {
    if (other == number) continue;
    send(number, other, [this, other, record = action.record] { update_record(other, record); });
  }
}

void simulation::perform(int, std::uint64_t, const remember_term&) {}

void simulation::perform(int, std::uint64_t, const publish_moving&) {}

void simulation::perform(int number, std::uint64_t, const retire& action) {
  add_trace(id_of(number).value + " retires: " + action.reason);
}

void simulation::hand_over_term(int successor) {
  int number = 0;
  const auto can_leave = [&] {
    return processes_[number].alive && now_ >= processes_[number].frozen_until &&
           instances_[number].local_assigner && number != successor;
  };
  while (number < instance_count && !can_leave()) ++number;
  if (number == instance_count) return;
  auto& self = instances_[number];
  const auto handed = self.local_assigner->hand_over(clock(number));
  if (!handed) return;
  self.local_assigner.reset();
  self.restart_after = clock(number) + seconds(2);
  add_trace(id_of(number).value + " hands over to " + id_of(successor).value);
  send(number, successor, [this, successor, event = *handed] {
    auto& other = instances_[successor];
    if (other.local_assigner) return;
    const cell_record& record = event.record;
    if (!other.standby.accept(record.cell, record.term, clock(successor))) return;
    assigner_config config;
    config.cell = simulated_cell;
    config.self = id_of(successor);
    config.seed = random_();
    other.local_assigner = std::make_unique<assigner>(config, clock(successor));
    ++other.assigner_generation;
    other.last_inputs.reset();
    handle_event(successor, other.assigner_generation, event);
    update_role(successor);
  });
}

}  // namespace plantainpaddle::model
