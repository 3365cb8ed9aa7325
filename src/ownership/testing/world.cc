#include <algorithm>

#include "ownership/testing/simulation.h"

namespace plantainpaddle::model {
namespace {

constexpr duration request_period = milliseconds(7);
constexpr duration store_timeout = milliseconds(800);
constexpr duration short_work = milliseconds(5);
constexpr duration long_work = milliseconds(2500);
constexpr std::size_t max_trace = 100'000;

}  // namespace

world::world(std::uint64_t seed, bool with_trace)
    : random_(seed),
      with_trace_(with_trace),
      processes_(process_count),
      instances_(instance_count),
      upstreams_(upstream_count),
      links_(process_count, std::vector<link>(process_count)),
      layout_(shard_count),
      listed_until_(instance_count) {
  std::uniform_real_distribution<double> drift(-0.02, 0.02);
  for (int number = 0; number < process_count; ++number) {
    auto& p = processes_[number];
    p.name =
        number < instance_count
            ? "i" + std::to_string(number)
            : (number < store_process ? "u" + std::to_string(number - instance_count) : "store");
    // Three quarters of the clocks at the ends of what is allowed.
    const double drawn = drift(random_);
    p.rate = 1 + (random_() % 4 == 0 ? drawn : (drawn < 0 ? -0.02 : 0.02));
    p.offset = seconds(1 + random_() % 1000);
  }
  for (int number = 0; number < instance_count; ++number) start_instance(number);
  for (int number = 0; number < upstream_count; ++number) start_upstream(number);
  at(request_period, -1, [this] { send_request(); });
}

// Time and messages.

monotonic_time world::clock(int number) const {
  const auto& p = processes_[number];
  const auto elapsed = static_cast<std::int64_t>(static_cast<double>(now_.count()) * p.rate);
  return monotonic_time(p.offset + duration(elapsed));
}

duration world::up_to(duration most) {
  if (most <= duration{0}) return duration{0};
  return duration(static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(most.count())));
}

void world::note(const std::string& line) {
  if (!with_trace_ || trace_.size() >= max_trace) return;
  std::string time = std::to_string(now_.count() / 1000);
  trace_.push_back(std::string(time.size() < 6 ? 6 - time.size() : 0, ' ') + time + " ms  " + line);
}

void world::at(true_time when, int number, std::function<void()> run) {
  const std::uint64_t life = number < 0 ? 0 : processes_[number].life;
  queue_.emplace(std::pair(when, ++sequence_), event{number, life, std::move(run)});
}

void world::send(int from, int to, const std::function<void()>& deliver) {
  link& path = links_[from][to];
  if (now_ < path.cut_until) return;
  if (now_ < path.lossy_until && random_() % 2 == 0) return;
  duration wait = microseconds(200) + up_to(milliseconds(2));
  if (now_ < path.slow_until) wait += up_to(path.delay);
  if ((from == store_process || to == store_process) && now_ < store_late_until_) {
    wait += up_to(store_delay_);
  }
  at(now_ + wait, to, deliver);
  if (now_ < path.repeat_until) at(now_ + wait + up_to(path.repeat), to, deliver);
}

void world::run_until(true_time end) {
  while (!judge_.violation() && !queue_.empty() && queue_.begin()->first.first <= end) {
    auto place = queue_.begin();
    const auto [when, sequence] = place->first;
    event next = std::move(place->second);
    queue_.erase(place);
    now_ = when;
    if (next.process >= 0) {
      const auto& p = processes_[next.process];
      if (!p.alive || p.life != next.life) continue;
      if (now_ < p.frozen_until) {
        queue_.emplace(std::pair(p.frozen_until, sequence), std::move(next));
        continue;
      }
    }
    ++events_;
    next.run();
  }
  now_ = end;
}

// Faults.

std::uint32_t world::resolve(std::uint32_t role) const {
  const auto instance_of = [&](const instance_id& id) {
    return static_cast<std::uint32_t>(number_of(instance_name(id)));
  };
  if (role < role_assigner || role > role_owner || !stored_) return role;
  if (role == role_assigner) return instance_of(stored_->assigner);
  if (role == role_owner) {
    const auto& owner = stored_->shards.begin()->second.owner;
    return owner ? static_cast<std::uint32_t>(number_of(owner->value)) : 0;
  }
  const std::size_t rank = role - role_first_standby;
  return rank < stored_->standbys.size() ? instance_of(stored_->standbys[rank]) : 0;
}

void world::cut_both_ways(int one, int other, true_time until) {
  links_[one][other].cut_until = links_[other][one].cut_until = until;
}

void world::confine(int number, std::uint32_t roles, true_time until) {
  std::uint32_t with_role[process_count] = {};
  with_role[store_process] = with_store;
  with_role[resolve(role_assigner) % process_count] = with_assigner;
  with_role[resolve(role_first_standby) % process_count] = with_first_standby;
  with_role[resolve(role_second_standby) % process_count] = with_second_standby;
  with_role[resolve(role_owner) % process_count] = with_owner;
  for (int other = 0; other < process_count; ++other) {
    const std::uint32_t bit = with_role[other] == 0 ? with_others : with_role[other];
    if (other != number && (roles & bit) == 0) cut_both_ways(number, other, until);
  }
}

void world::crash(int number, true_time until) {
  processes_[number].alive = false;
  ++processes_[number].life;
  if (number < instance_count) {
    instances_[number] = {};
  } else {
    upstreams_[number - instance_count].holder.reset();
    upstreams_[number - instance_count].work.clear();
  }
  at(until, -1, [this, number] {
    if (processes_[number].alive) return;
    number < instance_count ? start_instance(number) : start_upstream(number - instance_count);
  });
}

void world::inject(fault_step step) {
  note("fault: " + to_string(step));
  step.who = resolve(step.who);
  step.whom = resolve(step.whom);
  const int any = static_cast<int>(step.who % (process_count - 1));
  const true_time until = now_ + step.length;
  link& path = links_[step.who % process_count][step.whom % process_count];
  switch (step.kind) {
    case fault::freeze:
      processes_[any].frozen_until = until;
      break;
    case fault::crash:
      crash(any, until);
      break;
    case fault::cut:
      path.cut_until = until;
      break;
    case fault::isolate:
      confine(any, 0, until);
      break;
    case fault::lose:
      path.lossy_until = until;
      break;
    case fault::delay:
      path.slow_until = now_ + seconds(2);
      path.delay = step.length;
      break;
    case fault::repeat:
      path.repeat_until = now_ + seconds(2);
      path.repeat = step.length;
      break;
    case fault::store_down:
      store_down_until_ = until;
      break;
    case fault::store_mute:
      store_mute_until_ = until;
      break;
    case fault::store_late:
      store_late_until_ = now_ + seconds(2);
      store_delay_ = step.length;
      break;
    case fault::leave:
      leave(static_cast<int>(step.whom % instance_count));
      break;
    case fault::drain:
      upstreams_[step.who % upstream_count].drained_until = until;
      break;
    case fault::remove:
      upstreams_[step.who % upstream_count].removed_until = until;
      break;
    case fault::partition:
      for (int one = 0; one < process_count; ++one) {
        for (int other = 0; other < one; ++other) {
          if ((step.whom >> one & 1U) != (step.whom >> other & 1U)) {
            cut_both_ways(one, other, until);
          }
        }
      }
      break;
    case fault::release: {
      auto& place = layout_[step.who % shard_count];
      place.leaving = true;
      place.back_at = until;
      break;
    }
    case fault::confine:
      confine(any, step.whom, until);
      break;
  }
}

void world::heal() {
  note("all faults end");
  for (auto& row : links_) {
    for (auto& path : row) path = {};
  }
  for (int number = 0; number < process_count; ++number) {
    auto& p = processes_[number];
    p.frozen_until = std::min(p.frozen_until, now_);
    if (p.alive) continue;
    number < instance_count ? start_instance(number) : start_upstream(number - instance_count);
  }
  store_down_until_ = store_mute_until_ = store_late_until_ = now_;
  for (auto& place : layout_) place.back_at = std::min(place.back_at, now_);
  for (auto& u : upstreams_) u.removed_until = u.drained_until = now_;
}

bool world::all_served() const { return describe_unserved().empty(); }

std::string world::describe_unserved() const {
  if (!stored_) return "there is no record";
  std::string missing;
  for (const auto& item : stored_->shards) {
    const shard_grant grant{item.first, item.second.fence};
    const auto is_owner = [&](const auto& u) {
      const int number = static_cast<int>(&u - upstreams_.data()) + instance_count;
      if (item.second.owner != upstream_id{processes_[number].name}) return false;
      const auto held = u.holder->held(clock(number));
      return std::find(held.begin(), held.end(), grant) != held.end();
    };
    if (std::none_of(upstreams_.begin(), upstreams_.end(), is_owner)) {
      missing += " " + std::to_string(item.first.value);
    }
  }
  if (missing.empty()) return missing;
  std::string text = "shards not served:" + missing + "; record term " +
                     std::to_string(stored_->term.value) + " of " + stored_->assigner.value;
  for (int number = 0; number < instance_count; ++number) {
    if (const auto* acting = instances_[number].acting.get()) {
      text += ", " + processes_[number].name + " is " + std::string(phase_name(acting->phase()));
    }
  }
  return text;
}

// The store.

void world::call_store(int number, std::uint64_t made, request_number request,
                       std::function<stored_record()> operation) {
  auto answered = std::make_shared<bool>(false);
  at(now_ + store_timeout, number, [this, number, made, request, answered] {
    if (*answered) return;
    *answered = true;
    feed(number, made, store_replied{request, error{errc::timed_out, step::store, "", ""}});
  });
  send(number, store_process, [this, number, made, request, answered, operation] {
    if (now_ < store_down_until_) return;
    const stored_record found = operation();
    if (now_ < store_mute_until_) return;
    send(store_process, number, [this, number, made, request, answered, found] {
      if (*answered) return;
      *answered = true;
      feed(number, made, store_replied{request, found});
    });
  });
}

stored_record world::swap(const cell_record& record, std::uint64_t expected_version) {
  if (version_ != expected_version) return {stored_, version_, false};
  stored_ = record;
  ++version_;
  note("store: term " + std::to_string(record.term.value) + " revision " +
       std::to_string(record.revision.value) + " written by " + record.mark.writer.value);
  judge_.stored(record);
  return {stored_, version_, true};
}

// Upstreams.

void world::start_upstream(int number) {
  const int process_number = instance_count + number;
  processes_[process_number].alive = true;
  ++processes_[process_number].life;
  auto& u = upstreams_[number];
  u.holder = std::make_unique<grant_holder>(random_(), random_());
  u.work.clear();
  note(processes_[process_number].name + " starts");
}

// What a real upstream does by a timer: nothing runs on past the grant's end.
void world::stop_lapsed_work(int number) {
  auto& u = upstreams_[number];
  if (clock(instance_count + number) < u.holder->ends()) return;
  for (const auto& grant : u.work) u.holder->finish(grant.shard, grant.fence);
  u.work.clear();
}

// A request of any instance by the newest record that it knows.
void world::send_request() {
  at(now_ + request_period, -1, [this] { send_request(); });
  return_shards();
  const int from = static_cast<int>(random_() % instance_count);
  if (!processes_[from].alive || now_ < processes_[from].frozen_until) return;
  const auto& known = instances_[from].known;
  if (!known || known->shards.empty()) return;
  const shard_id shard{static_cast<std::uint32_t>(random_() % shard_count)};
  const auto entry = known->shards.find(shard);
  if (entry == known->shards.end() || !entry->second.owner) return;
  const int to = number_of(entry->second.owner->value);
  const shard_grant grant{shard, entry->second.fence};
  const duration length = random_() % 16 == 0 ? up_to(long_work) : up_to(short_work);
  send(from, to, [this, to, grant, length] {
    const int number = to - instance_count;
    auto& u = upstreams_[number];
    stop_lapsed_work(number);
    if (!u.holder->admit(grant.shard, grant.fence, clock(to))) return;
    judge_.started(upstream_id{processes_[to].name}, grant);
    u.work.push_back(grant);
    at(now_ + length, to, [this, number, grant] {
      stop_lapsed_work(number);
      auto& side = upstreams_[number];
      const auto place = std::find(side.work.begin(), side.work.end(), grant);
      if (place == side.work.end()) return;
      side.work.erase(place);
      side.holder->finish(grant.shard, grant.fence);
    });
    check();
  });
}

// The other cell gives a shard back once it was released and the time is over.
void world::return_shards() {
  for (std::uint32_t shard = 0; shard < shard_count; ++shard) {
    auto& place = layout_[shard];
    if (!place.leaving || now_ < place.back_at || !stored_) continue;
    const auto entry = stored_->shards.find(shard_id{shard});
    if (entry == stored_->shards.end() || !entry->second.released) continue;
    place = {fence_number{entry->second.fence.value + 2}, false, {}};
  }
}

void world::check() {
  std::vector<running_grants> all;
  running_grants other_cell{upstream_id{"another cell"}, {}};
  if (stored_) {
    for (const auto& [shard, entry] : stored_->shards) {
      if (entry.released) other_cell.grants.push_back({shard, entry.fence});
    }
  }
  all.push_back(other_cell);
  for (int number = 0; number < upstream_count; ++number) {
    const int process_number = instance_count + number;
    if (!processes_[process_number].alive) continue;
    const auto& holder = *upstreams_[number].holder;
    running_grants side{upstream_id{processes_[process_number].name},
                        holder.held(clock(process_number))};
    judge_.granted(side.upstream, side.grants);
    for (const auto& grant : holder.running(clock(process_number))) side.grants.push_back(grant);
    all.push_back(std::move(side));
  }
  judge_.running(all);
}

}  // namespace plantainpaddle::model
