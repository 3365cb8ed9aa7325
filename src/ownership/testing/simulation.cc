#include "ownership/testing/simulation.h"

#include <algorithm>

namespace plantainpaddle::model {
namespace {

constexpr duration request_period = milliseconds(7);
constexpr duration store_timeout = milliseconds(800);
constexpr duration short_request_time = milliseconds(5);  // at most, of 15 requests in 16
constexpr duration long_request_time = milliseconds(2500);
constexpr std::size_t max_trace_lines = 100'000;

}  // namespace

simulation::simulation(std::uint64_t seed, bool with_trace)
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
    // Three quarters of the clocks drift as fast as is allowed, where margins are thinnest.
    const double drawn = drift(random_);
    p.clock_rate = 1 + (random_() % 4 == 0 ? drawn : (drawn < 0 ? -0.02 : 0.02));
    p.clock_offset = seconds(1 + random_() % 1000);
  }
  for (int number = 0; number < instance_count; ++number) start_instance(number);
  for (int number = 0; number < upstream_count; ++number) start_upstream(number);
  schedule(request_period, -1, [this] { send_request(); });
}

// Time and messages.

monotonic_time simulation::clock(int number) const {
  const auto& p = processes_[number];
  const auto elapsed = static_cast<std::int64_t>(static_cast<double>(now_.count()) * p.clock_rate);
  return monotonic_time(p.clock_offset + duration(elapsed));
}

duration simulation::random_below(duration limit) {
  if (limit <= duration{0}) return duration{0};
  return duration(static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(limit.count())));
}

void simulation::add_trace(const std::string& line) {
  if (!with_trace_ || trace_.size() >= max_trace_lines) return;
  std::string time = std::to_string(now_.count() / 1000);
  trace_.push_back(std::string(time.size() < 6 ? 6 - time.size() : 0, ' ') + time + " ms  " + line);
}

void simulation::schedule(true_time when, int number, std::function<void()> run) {
  const std::uint64_t life = number < 0 ? 0 : processes_[number].life;
  queue_.emplace(std::pair(when, ++sequence_), event{number, life, std::move(run)});
}

void simulation::send(int from, int to, const std::function<void()>& deliver) {
  link& path = links_[from][to];
  if (now_ < path.blocked_until) return;
  if (now_ < path.lossy_until && random_() % 2 == 0) return;
  duration wait = microseconds(200) + random_below(milliseconds(2));
  if (now_ < path.slow_until) wait += random_below(path.max_extra_delay);
  if ((from == store_process || to == store_process) && now_ < store_slow_until_) {
    wait += random_below(store_max_delay_);
  }
  schedule(now_ + wait, to, deliver);
  if (now_ < path.duplicate_until)
    schedule(now_ + wait + random_below(path.max_duplicate_delay), to, deliver);
}

void simulation::run_until(true_time end) {
  while (!oracle_.violation() && !queue_.empty() && queue_.begin()->first.first <= end) {
    auto it = queue_.begin();
    const auto [when, sequence] = it->first;
    event next = std::move(it->second);
    queue_.erase(it);
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

std::uint32_t simulation::resolve(std::uint32_t role) const {
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

void simulation::block_both_ways(int first, int second, true_time until) {
  links_[first][second].blocked_until = links_[second][first].blocked_until = until;
}

void simulation::restrict_peers(int number, std::uint32_t roles, true_time until) {
  std::uint32_t with_role[process_count] = {};
  with_role[store_process] = with_store;
  with_role[resolve(role_assigner) % process_count] = with_assigner;
  with_role[resolve(role_first_standby) % process_count] = with_first_standby;
  with_role[resolve(role_second_standby) % process_count] = with_second_standby;
  with_role[resolve(role_owner) % process_count] = with_owner;
  for (int other = 0; other < process_count; ++other) {
    const std::uint32_t bit = with_role[other] == 0 ? with_others : with_role[other];
    if (other != number && (roles & bit) == 0) block_both_ways(number, other, until);
  }
}

void simulation::crash(int number, true_time until) {
  processes_[number].alive = false;
  ++processes_[number].life;
  if (number < instance_count) {
    instances_[number] = {};
  } else {
    upstreams_[number - instance_count].holder.reset();
    upstreams_[number - instance_count].running_requests.clear();
  }
  schedule(until, -1, [this, number] {
    if (processes_[number].alive) return;
    number < instance_count ? start_instance(number) : start_upstream(number - instance_count);
  });
}

void simulation::inject(fault_step step) {
  add_trace("fault: " + to_string(step));
  step.target = resolve(step.target);
  step.argument = resolve(step.argument);
  const int any = static_cast<int>(step.target % (process_count - 1));
  const true_time until = now_ + step.length;
  link& path = links_[step.target % process_count][step.argument % process_count];
  switch (step.kind) {
    case fault::freeze:
      processes_[any].frozen_until = until;
      break;
    case fault::crash:
      crash(any, until);
      break;
    case fault::block_link:
      path.blocked_until = until;
      break;
    case fault::isolate:
      restrict_peers(any, 0, until);
      break;
    case fault::lose_messages:
      path.lossy_until = until;
      break;
    case fault::delay_messages:
      path.slow_until = now_ + seconds(2);
      path.max_extra_delay = step.length;
      break;
    case fault::duplicate_messages:
      path.duplicate_until = now_ + seconds(2);
      path.max_duplicate_delay = step.length;
      break;
    case fault::store_down:
      store_down_until_ = until;
      break;
    case fault::store_replies_lost:
      store_replies_lost_until_ = until;
      break;
    case fault::store_slow:
      store_slow_until_ = now_ + seconds(2);
      store_max_delay_ = step.length;
      break;
    case fault::leave:
      hand_over_term(static_cast<int>(step.argument % instance_count));
      break;
    case fault::drain_upstream:
      upstreams_[step.target % upstream_count].drained_until = until;
      break;
    case fault::remove_upstream:
      upstreams_[step.target % upstream_count].removed_until = until;
      break;
    case fault::partition:
      for (int first = 0; first < process_count; ++first) {
        for (int other = 0; other < first; ++other) {
          if ((step.argument >> first & 1U) != (step.argument >> other & 1U)) {
            block_both_ways(first, other, until);
          }
        }
      }
      break;
    case fault::release_shard: {
      auto& entry = layout_[step.target % shard_count];
      entry.leaving = true;
      entry.returns_at = until;
      break;
    }
    case fault::restrict_peers:
      restrict_peers(any, step.argument, until);
      break;
  }
}

void simulation::end_faults() {
  add_trace("all faults end");
  for (auto& row : links_) {
    for (auto& path : row) path = {};
  }
  for (int number = 0; number < process_count; ++number) {
    auto& p = processes_[number];
    p.frozen_until = std::min(p.frozen_until, now_);
    if (p.alive) continue;
    number < instance_count ? start_instance(number) : start_upstream(number - instance_count);
  }
  store_down_until_ = store_replies_lost_until_ = store_slow_until_ = now_;
  for (auto& entry : layout_) entry.returns_at = std::min(entry.returns_at, now_);
  for (auto& u : upstreams_) u.removed_until = u.drained_until = now_;
}

bool simulation::all_served() const { return describe_unserved().empty(); }

std::string simulation::describe_unserved() const {
  if (!stored_) return "the store has no record";
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
    if (const auto* local_assigner = instances_[number].local_assigner.get()) {
      text += ", " + processes_[number].name + " is " +
              std::string(phase_name(local_assigner->phase()));
    }
  }
  return text;
}

// The store.

void simulation::call_store(int number, std::uint64_t generation, request_number request,
                            std::function<stored_record()> operation) {
  auto answered = std::make_shared<bool>(false);
  schedule(now_ + store_timeout, number, [this, number, generation, request, answered] {
    if (*answered) return;
    *answered = true;
    handle_event(number, generation,
                 store_replied{request, error{errc::timed_out, step::store, "", ""}});
  });
  send(number, store_process, [this, number, generation, request, answered, operation] {
    if (now_ < store_down_until_) return;
    const stored_record found = operation();
    if (now_ < store_replies_lost_until_) return;
    send(store_process, number, [this, number, generation, request, answered, found] {
      if (*answered) return;
      *answered = true;
      handle_event(number, generation, store_replied{request, found});
    });
  });
}

stored_record simulation::compare_and_swap(const cell_record& record,
                                           std::uint64_t expected_version) {
  if (stored_version_ != expected_version) return {stored_, stored_version_, false};
  stored_ = record;
  ++stored_version_;
  add_trace("store: term " + std::to_string(record.term.value) + " revision " +
            std::to_string(record.revision.value) + " written by " + record.mark.writer.value);
  oracle_.on_stored(record);
  return {stored_, stored_version_, true};
}

// Upstreams.

void simulation::start_upstream(int number) {
  const int process_number = instance_count + number;
  processes_[process_number].alive = true;
  ++processes_[process_number].life;
  auto& u = upstreams_[number];
  u.holder = std::make_unique<grant_holder>(random_(), random_());
  u.running_requests.clear();
  add_trace(processes_[process_number].name + " starts");
}

// Ends the running requests once the grant has ended. A real upstream does so by a timer.
void simulation::stop_expired_requests(int number) {
  auto& u = upstreams_[number];
  if (clock(instance_count + number) < u.holder->ends()) return;
  for (const auto& grant : u.running_requests) u.holder->finish(grant.shard, grant.fence);
  u.running_requests.clear();
}

// Sends a request from a random instance to the owner that its latest record names.
void simulation::send_request() {
  schedule(now_ + request_period, -1, [this] { send_request(); });
  return_shards();
  const int from = static_cast<int>(random_() % instance_count);
  if (!processes_[from].alive || now_ < processes_[from].frozen_until) return;
  const auto& latest_record = instances_[from].latest_record;
  if (!latest_record || latest_record->shards.empty()) return;
  const shard_id shard{static_cast<std::uint32_t>(random_() % shard_count)};
  const auto entry = latest_record->shards.find(shard);
  if (entry == latest_record->shards.end() || !entry->second.owner) return;
  const int to = number_of(entry->second.owner->value);
  const shard_grant grant{shard, entry->second.fence};
  const duration length =
      random_() % 16 == 0 ? random_below(long_request_time) : random_below(short_request_time);
  send(from, to, [this, to, grant, length] {
    const int number = to - instance_count;
    auto& u = upstreams_[number];
    stop_expired_requests(number);
    if (!u.holder->admit(grant.shard, grant.fence, clock(to))) return;
    oracle_.on_request_started(upstream_id{processes_[to].name}, grant);
    u.running_requests.push_back(grant);
    schedule(now_ + length, to, [this, number, grant] {
      stop_expired_requests(number);
      auto& owner = upstreams_[number];
      const auto it =
          std::find(owner.running_requests.begin(), owner.running_requests.end(), grant);
      if (it == owner.running_requests.end()) return;
      owner.running_requests.erase(it);
      owner.holder->finish(grant.shard, grant.fence);
    });
    check_running();
  });
}

// Moves shards back from the other cell: those that were released, once their time there is over.
// They return as if the other cell had used the fence after the released one.
void simulation::return_shards() {
  for (std::uint32_t shard = 0; shard < shard_count; ++shard) {
    auto& home = layout_[shard];
    if (!home.leaving || now_ < home.returns_at || !stored_) continue;
    const auto entry = stored_->shards.find(shard_id{shard});
    if (entry == stored_->shards.end() || !entry->second.released) continue;
    home = {fence_number{entry->second.fence.value + 2}, false, {}};
  }
}

void simulation::check_running() {
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
    running_grants current{upstream_id{processes_[process_number].name},
                           holder.held(clock(process_number))};
    oracle_.on_granted(current.upstream, current.grants);
    for (const auto& grant : holder.running(clock(process_number))) current.grants.push_back(grant);
    all.push_back(std::move(current));
  }
  oracle_.check_running(all);
}

}  // namespace plantainpaddle::model
