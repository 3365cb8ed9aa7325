// The simulated entry instances: they do what entry/ does with an assigner's actions.

#include <algorithm>

#include "ownership/rendezvous.h"
#include "ownership/testing/simulation.h"

namespace plantainpaddle::model {
namespace {

const cell_id the_cell{"sklad/d1/0"};
constexpr duration tick_period = milliseconds(20);
constexpr duration list_time = milliseconds(600);  // from the last sign of life
constexpr duration restart_pause = milliseconds(300);
// Between deciding on an action and carrying it out.
constexpr duration action_pause = microseconds(300);

}  // namespace

instance_id world::id_of(int number) const {
  return make_instance_id(processes_[number].name, processes_[number].life);
}

int world::number_of(const std::string& name) const {
  const auto place = std::find_if(processes_.begin(), processes_.end(),
                                  [&](const auto& p) { return p.name == name; });
  return static_cast<int>(place - processes_.begin());
}

void world::start_instance(int number) {
  processes_[number].alive = true;
  ++processes_[number].life;
  instances_[number] = {};
  for (int other = 0; other < instance_count; ++other) {
    instances_[number].listed.insert(processes_[other].name);
  }
  note(id_of(number).value + " starts");
  // The platform's list of instances, and what peers say of their lives.
  for (int other = 0; other < instance_count; ++other) {
    send(number, other,
         [this, other, id = id_of(number)] { instances_[other].lives[instance_name(id)] = id; });
    send(other, number,
         [this, number, id = id_of(other)] { instances_[number].lives[instance_name(id)] = id; });
  }
  at(now_ + up_to(tick_period), number, [this, number] { tick_instance(number); });
}

void world::tick_instance(int number) {
  at(now_ + tick_period, number, [this, number] { tick_instance(number); });
  auto& self = instances_[number];
  if (random_() % 25 == 0) {  // twice a second: lives and records spread
    const int other = static_cast<int>(random_() % instance_count);
    send(number, other, [this, other, id = id_of(number), known = self.known] {
      instances_[other].lives[instance_name(id)] = id;
      if (known) learn(other, *known);
    });
  }
  if (random_() % 10 == 0) read_platform(number);
  update_role(number);
  if (self.acting && clock(number) >= self.acting->next_wake(self.last_event)) {
    feed(number, self.assigners_made, tick{});
  }
}

// Five times a second: a sign of life, the list of instances, and what a watch of the store brings.
void world::read_platform(int number) {
  send(number, store_process, [this, number] {
    listed_until_[number] = now_ + list_time;
    std::set<std::string> listed;
    for (int other = 0; other < instance_count; ++other) {
      if (now_ < listed_until_[other]) listed.insert(processes_[other].name);
    }
    std::optional<cell_record> record;
    if (now_ >= store_down_until_) record = stored_;
    send(store_process, number, [this, number, listed, record] {
      instances_[number].listed = listed;
      if (record) learn(number, *record);
    });
  });
}

void world::learn(int number, const cell_record& record) {
  auto& known = instances_[number].known;
  if (!known || record.revision > known->revision) known = record;
}

bool world::should_start(int number) {
  auto& self = instances_[number];
  if (clock(number) < self.restart_after) return false;
  if (!self.known) return number == 0;
  const cell_record& record = *self.known;
  if (self.memory.should_take_over(record, id_of(number), {}, clock(number))) return true;
  const auto is_gone = [&](const instance_id& id) {
    const auto life = self.lives.find(instance_name(id));
    return life != self.lives.end() && life->second != id;
  };
  return is_gone(record.assigner) &&
         std::all_of(record.standbys.begin(), record.standbys.end(), is_gone);
}

cell_inputs world::inputs_of(int number) const {
  cell_inputs inputs;
  for (int u = 0; u < upstream_count; ++u) {
    if (now_ < upstreams_[u].removed_until) continue;
    upstream_row row;
    row.name = upstream_id{processes_[instance_count + u].name};
    if (now_ < upstreams_[u].drained_until) row.state = upstream_state::drain;
    inputs.upstreams.push_back(row);
  }
  for (std::uint32_t shard = 0; shard < shard_count; ++shard) {
    inputs.home.push_back({shard_id{shard}, layout_[shard].least_fence});
    if (layout_[shard].leaving) inputs.leaving.push_back(shard_id{shard});
  }
  for (const auto& [name, id] : instances_[number].lives) {
    if (id != id_of(number) && instances_[number].listed.contains(name))
      inputs.standby_candidates.push_back(id);
  }
  inputs.move_budget = 1;
  return inputs;
}

void world::update_role(int number) {
  auto& self = instances_[number];
  if (!self.acting) {
    if (!should_start(number)) return;
    assigner_config config;
    config.cell = the_cell;
    config.self = id_of(number);
    config.seed = random_();
    self.acting = std::make_unique<assigner>(config, clock(number));
    self.inputs.reset();
    ++self.assigners_made;
    note(id_of(number).value + " starts as assigner");
  }
  const cell_inputs wanted = inputs_of(number);
  if (self.inputs == wanted) return;
  self.inputs = wanted;
  feed(number, self.assigners_made, inputs_changed{wanted});
}

void world::feed(int number, std::uint64_t made, const assigner_event& event) {
  auto& self = instances_[number];
  if (!self.acting || self.assigners_made != made) return;
  self.last_event = clock(number);
  const auto before = self.acting->phase();
  for (const auto& action : self.acting->handle(event, clock(number))) {
    if (const auto* own = std::get_if<remember_term>(&action)) {
      self.memory.remember(own->question, clock(number));
      continue;
    }
    at(now_ + up_to(action_pause), number, [this, number, made, action] {
      std::visit([&](const auto& a) { perform(number, made, a); }, action);
    });
  }
  if (self.acting->phase() != before && self.acting->phase() == assigner_phase::active) {
    for (const auto& other : instances_) {
      if (&other == &self || !other.acting || !other.acting->record()) continue;
      if (other.acting->phase() == assigner_phase::active &&
          other.acting->record()->term == self.acting->record()->term) {
        judge_.object("two assigners act under one term");
      }
    }
  }
  if (self.acting->phase() != before) {
    note(id_of(number).value + " is " + std::string(phase_name(self.acting->phase())));
  }
  if (self.acting->phase() == assigner_phase::retired) {
    self.acting.reset();
    self.restart_after = clock(number) + restart_pause;
  }
}

void world::perform(int number, std::uint64_t made, const send_order& action) {
  const int to = number_of(action.to.value);
  send(number, to, [this, number, made, to, action] {
    const int u = to - instance_count;
    stop_lapsed_work(u);
    auto& holder = *upstreams_[u].holder;
    const auto before = holder.held(clock(to));
    const grant_answer answer = holder.handle(action.order, clock(to));
    judge_.ordered(processes_[to].name + "@" + std::to_string(processes_[to].life), action.order,
                   answer.status, before, holder.held(clock(to)));
    if (answer.status == grant_status::accepted && action.order.set) {
      std::string line = processes_[to].name + " accepts of " + action.order.assigner.value + ":";
      for (const auto& grant : answer.held) {
        line += " " + std::to_string(grant.shard.value) + "/" + std::to_string(grant.fence.value);
      }
      note(line);
    }
    check();
    send(to, number, [this, number, made, request = action.request, answer] {
      feed(number, made, grant_replied{request, answer});
    });
  });
}

void world::perform(int number, std::uint64_t made, const ask_standby& action) {
  const int to = number_of(instance_name(action.to));
  send(number, to, [this, number, made, to, action] {
    if (id_of(to) != action.to) {
      send(to, number, [this, number, made, request = action.request] {
        feed(number, made,
             question_replied{request, error{errc::stale, step::peer, "", ""}, /*ended=*/true});
      });
      return;
    }
    const term_answer answer = instances_[to].memory.handle(action.question, clock(to));
    send(to, number, [this, number, made, request = action.request, answer] {
      feed(number, made, question_replied{request, answer});
    });
  });
}

void world::perform(int number, std::uint64_t made, const read_record& action) {
  call_store(number, made, action.request, [this] {
    return stored_record{stored_, version_, false};
  });
}

void world::perform(int number, std::uint64_t made, const write_record& action) {
  call_store(number, made, action.request,
             [this, action] { return swap(action.record, action.expected_version); });
}

void world::perform(int number, std::uint64_t, const publish_record& action) {
  judge_.published(action.record);
  learn(number, action.record);
  for (int other = 0; other < instance_count; ++other) {
    if (other == number) continue;
    send(number, other, [this, other, record = action.record] { learn(other, record); });
  }
}

void world::perform(int, std::uint64_t, const remember_term&) {}

void world::perform(int, std::uint64_t, const publish_moving&) {}

void world::perform(int number, std::uint64_t, const retire& action) {
  note(id_of(number).value + " retires: " + action.reason);
}

void world::leave(int successor) {
  int number = 0;
  const auto can_leave = [&] {
    return processes_[number].alive && now_ >= processes_[number].frozen_until &&
           instances_[number].acting && number != successor;
  };
  while (number < instance_count && !can_leave()) ++number;
  if (number == instance_count) return;
  auto& self = instances_[number];
  const auto handed = self.acting->hand_over(clock(number));
  if (!handed) return;
  self.acting.reset();
  self.restart_after = clock(number) + seconds(2);
  note(id_of(number).value + " hands over to " + id_of(successor).value);
  send(number, successor, [this, successor, event = *handed] {
    auto& other = instances_[successor];
    if (other.acting) return;
    const cell_record& record = event.record;
    if (!other.memory.accept(record.cell, record.term, clock(successor))) return;
    assigner_config config;
    config.cell = the_cell;
    config.self = id_of(successor);
    config.seed = random_();
    other.acting = std::make_unique<assigner>(config, clock(successor));
    ++other.assigners_made;
    other.inputs.reset();
    feed(successor, other.assigners_made, event);
    update_role(successor);
  });
}

}  // namespace plantainpaddle::model
