#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <utility>
#include <vector>

// The simulation behind run() of range_model.h: a queue of timed events, executed one at a time.
// All randomness comes from the seed of the scenario, so a run is reproducible.

#include "ownership/testing/range_model.h"
#include "ownership/testing/range_oracle.h"
#include "ownership/testing/range_simulation_state.h"

namespace plantainpaddle::range_model {

namespace {

constexpr duration copy_period = milliseconds(250);
constexpr std::uint32_t max_copy_age_s = 12;

class simulation {
 public:
  simulation(const scenario& s, bool with_trace)
      : with_trace_(with_trace), shows_sequences_(s.shows_sequences), random_(s.seed) {
    std::uniform_real_distribution<double> drift(1.0, 1.02);
    for (int i = 0; i < upstream_count; ++i) {
      upstreams_.push_back({.name = {"u" + std::to_string(i)}});
      auto& made = upstreams_.back();
      made.clock_scale = drift(random_);
      made.alive = made.entry.listed = i < initial_upstreams;
      if (made.alive) settle(i, i);
      made.entry.address = i;
      run_after(uniform(milliseconds(0), heartbeat), [this, i] { beat(i); });
    }
    for (int i = 0; i < instance_count; ++i) {
      instances_.push_back(std::make_unique<instance>(i));
      start_instance(*instances_.back());
    }
    for (const auto& f : s.faults)
      run_at(monotonic_time(milliseconds(f.at_ms)), [this, f] { inject(f); });
  }

  verdict run() {
    const monotonic_time end{run_time};
    run_at(monotonic_time(seconds(3)), [this] { sample_served_share(); });
    run_at(monotonic_time(copy_period), [this] { copy_store(); });
    while (!events_.empty() && !result_.violation) {
      const auto next = events_.top();
      if (next.when > end) break;
      events_.pop();
      now_ = next.when;
      ++result_.steps;
      next.action();
    }
    if (served_share_samples_ != 0)
      result_.served = served_share_sum_ / static_cast<double>(served_share_samples_);
    return std::move(result_);
  }

 private:
  struct event {
    monotonic_time when;
    std::uint64_t sequence;  // orders events of the same time
    std::function<void()> action;
    bool operator<(const event& other) const {
      return std::pair(when, sequence) > std::pair(other.when, other.sequence);
    }
  };

  void run_at(monotonic_time when, std::function<void()> action) {
    events_.push({when, ++sequence_, std::move(action)});
  }
  void run_after(duration d, std::function<void()> action) { run_at(now_ + d, std::move(action)); }
  duration uniform(duration min, duration max) {
    return duration(std::uniform_int_distribution<std::int64_t>(min.count(), max.count())(random_));
  }
  bool chance(double p) { return std::uniform_real_distribution<double>(0, 1)(random_) < p; }
  void add_trace(const std::string& line) {
    if (!with_trace_) return;
    const auto ms = std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()).count();
    result_.trace.push_back(std::to_string(ms) + " " + line);
  }

  // Makes the upstream the occupant of an address.
  void settle(int u, int address) {
    upstreams_[static_cast<std::size_t>(u)].address = address;
    addresses_[static_cast<std::size_t>(address)] = {occupant::kind::own, u, ++last_occupant_};
  }

  bool reaches_store(const upstream& u) const {
    return u.alive && now_ >= u.entry_cut_until && now_ >= store_.down_until;
  }

  void beat(int u) {
    auto& target = upstreams_[static_cast<std::size_t>(u)];
    ++target.heartbeats;
    if (reaches_store(target)) {
      write_entry(target);
    } else if (now_ >= store_.down_until && ++target.missed_heartbeats >= lapse_heartbeats) {
      target.entry.listed = false;
    }
    run_after(heartbeat, [this, u] { beat(u); });
  }

  void write_entry(upstream& target) const {
    target.entry = {true, target.address, target.life, shows_sequences_ ? target.heartbeats : 1};
    target.missed_heartbeats = 0;
  }

  // Registers the upstream's present life, as soon as it reaches the store.
  void register_upstream(upstream& target) {
    const auto life = target.life;
    run_after(uniform(milliseconds(0), milliseconds(500)), [this, &target, life] {
      if (!target.alive || target.life != life) return;
      if (!reaches_store(target)) return register_upstream(target);
      write_entry(target);
    });
  }

  // Ends the upstream's process for good, and with it all connections to it.
  void end_upstream(upstream& target) {
    target.alive = false;
    target.held = {};
    target.highest_fences = {};
    target.heartbeats = 0;
    ++target.life;
    ++target.connection_epoch;
    addresses_[static_cast<std::size_t>(target.address)] = {};
  }

  // Runs an action on the instance, as soon as it is not frozen, unless it is killed before.
  void on_instance(instance& self, std::function<void()> action) {
    if (!self.alive) return;
    if (now_ < self.frozen_until) {
      const auto life = self.life;
      run_at(self.frozen_until + uniform(microseconds(0), milliseconds(2)),
             [this, &self, life, action] {
               if (self.life == life) on_instance(self, action);
             });
      return;
    }
    action();
  }

  void start_instance(instance& self) {
    self.alive = true;
    self.started = now_;
    self.candidacy_state.emplace(candidacy_timing{}, uniform(milliseconds(0), milliseconds(150)));
    self.assigner.reset();
    self.tenure.emplace(self.id(), "", simulated_timing());
    ++self.epoch;
    self.links = {};
    self.polled = self.read_pending = false;
    self.latest_record.reset();
    self.latest_version = self.era = self.era_key = 0;
    self.presence = upstream_presence(reuse_after);
    note_addresses(self);
    const auto life = self.life;
    run_after(uniform(milliseconds(1), milliseconds(50)),
              [this, &self, life] { tick(self, life); });
    run_after(uniform(milliseconds(1), milliseconds(50)),
              [this, &self, life] { poll(self, life); });
  }

  bool reaches_store(const instance& self) const {
    return now_ >= self.store_cut_until && now_ >= store_.down_until;
  }

  // Calls the store: `operation` runs there, and `done` gets its result, or nothing if the store
  // cannot be reached, the answer is lost (after 800 ms), or the store's era has changed since.
  template <class Answer>
  void call_store(instance& self, bool writes, std::function<Answer()> operation,
                  std::function<void(std::optional<Answer>)> done) {
    const auto life = self.life;
    const auto answer = [this, &self, life, asked_in = self.era, done](std::optional<Answer> a,
                                                                       std::uint64_t era) {
      if (self.life != life) return;
      on_instance(self, [this, &self, asked_in, done, a, era] {
        if (era > self.era) on_new_era(self, era);
        const bool stale = era != 0 && (era < self.era || (asked_in != 0 && asked_in != era));
        done(stale ? std::nullopt : a);
      });
    };
    if (!reaches_store(self)) {
      run_after(milliseconds(800), [answer] { answer(std::nullopt, 0); });
      return;
    }
    const bool lost = writes && now_ < store_.losing_answers_until && chance(0.5);
    const bool late = lost && chance(0.5);
    run_after(late ? uniform(seconds(1), seconds(6)) : uniform(milliseconds(1), milliseconds(20)),
              [this, operation, answer, lost] {
                expire_leases();
                const Answer result = operation();
                if (!lost)
                  run_after(uniform(milliseconds(1), milliseconds(20)),
                            [answer, result, era = store_.era] { answer(result, era); });
              });
    if (lost) run_after(milliseconds(800), [answer] { answer(std::nullopt, 0); });
  }

  void on_new_era(instance& self, std::uint64_t era) {
    const bool first = self.era == 0;
    self.era = era;
    self.era_seen = now_;
    if (first) return;
    add_trace("i" + std::to_string(self.number) + " sees era " + std::to_string(era));
    self.polled = false;
    self.latest_version = self.era_key = 0;
    if (self.assigner && !self.assigner->may_renew(now_)) step_down(self);
    if (self.assigner) self.assigner->on_store_restored(now_);
    self.presence.begin_term(now_);
    self.candidacy_state->on_store_restored(self.assigner.has_value(), now_);
  }

  void copy_store() {
    store_copy copy{.taken = now_, .state = store_};
    for (std::size_t u = 0; u < upstreams_.size(); ++u) copy.entries[u] = upstreams_[u].entry;
    copies_.push_back(std::move(copy));
    run_after(copy_period, [this] { copy_store(); });
  }

  // Brings back the store as it was `age` ago. Leases run on from there.
  void restore_store(duration age) {
    const auto copy = std::find_if(copies_.rbegin(), copies_.rend(),
                                   [&](const store_copy& c) { return c.taken + age <= now_; });
    if (copy == copies_.rend()) return;
    const auto era = store_.era + 1;
    const auto since = now_ - copy->taken;
    const auto down_until = store_.down_until;
    const auto losing_answers_until = store_.losing_answers_until;
    note_moves(copy->state.record);
    store_ = copy->state;
    store_.era = era;
    for (auto& [lease, expires] : store_.leases) expires += since;
    store_.down_until = down_until;
    store_.losing_answers_until = losing_answers_until;
    oracle_.on_restored();
    restored_ = now_;
    for (std::size_t u = 0; u < upstreams_.size(); ++u)
      restore_entry(upstreams_[u], copy->entries[u]);
    add_trace("the store is as it was " + std::to_string(since / milliseconds(1)) + " ms ago");
  }

  // Until the upstream writes its entry again, the store has that of the copy, or none if it went
  // with a lease. That of an upstream that has ended lapses.
  void restore_entry(upstream& target, const upstream_entry& copied) {
    target.restored_entry = copied;
    if (chance(0.3)) target.restored_entry.listed = false;
    const auto written = now_ + uniform(milliseconds(0), seconds(2));
    const auto lapsed = now_ + lapse_heartbeats * heartbeat;
    target.entry_back =
        target.alive ? std::min(std::max(written, target.entry_cut_until), lapsed) : lapsed;
    run_at(target.entry_back, [this, &target] {
      if (reaches_store(target)) write_entry(target);
    });
  }

  // Remembers which sample keys the record of the copy leaves as they were. Before the first
  // campaign the store has no record.
  void note_moves(const range_record& copied) {
    unmoved_ = {};
    if (store_.record.ranges.empty() || copied.ranges.empty()) return;
    for (int i = 0; i < sample_count; ++i) {
      const auto& before = entry_of(store_.record, sample_key(i));
      const auto& after = entry_of(copied, sample_key(i));
      unmoved_[static_cast<std::size_t>(i)] = before.owner.has_value() &&
                                              before.owner == after.owner &&
                                              before.fence == after.fence && after.former.empty();
    }
  }

  void expire_leases() {
    std::erase_if(store_.leases, [&](const auto& lease) { return lease.second <= now_; });
    if (store_.holder_lease && !store_.leases.contains(*store_.holder_lease)) {
      store_.holder_lease.reset();
      ++store_.revision;
    }
  }

  struct record_view {
    range_record record;
    std::uint64_t version = 0;
    bool key_present = false;  // the election key
    instance_id holder;
    std::uint64_t era_key = 0;
  };
  record_view view_of_store() const {
    return {store_.record, store_.record_version, store_.holder_lease.has_value(), store_.holder,
            store_.era_key};
  }

  static void note_record(instance& self, const range_record& record, std::uint64_t version) {
    self.latest_version = std::max(self.latest_version, version);
    if (self.latest_record && position_of(record) <= position_of(*self.latest_record)) return;
    self.latest_record = record;
  }

  void poll(instance& self, std::uint64_t life) {
    if (!self.alive || self.life != life) return;
    call_store<record_view>(
        self, false, [this] { return view_of_store(); },
        [this, &self, life](std::optional<record_view> view) {
          run_after(poll_period, [this, &self, life] { poll(self, life); });
          if (!view) return;
          self.polled = true;
          self.era_key = view->era_key;
          note_addresses(self);
          if (view->version != 0) note_record(self, view->record, view->version);
          const auto holder = view->holder == self.id() ? key_holder::self : key_holder::other;
          self.candidacy_state->on_seen(view->key_present ? holder : key_holder::nobody, now_);
          if (self.assigner && self.latest_record &&
              self.tenure->is_superseded(*self.assigner, *self.latest_record)) {
            step_down(self);
          }
        });
  }

  // A store that has come back from an older copy may state addresses that upstreams had before.
  void note_addresses(instance& self) {
    for (int u = 0; u < upstream_count; ++u) {
      const auto& listed = upstreams_[static_cast<std::size_t>(u)];
      self.known_addresses[static_cast<std::size_t>(u)] = seen_entry(self, listed).address;
    }
  }

  const upstream_entry& seen_entry(const instance& self, const upstream& u) const {
    const bool outdated = now_ < u.entry_back && self.started >= restored_;
    return outdated ? u.restored_entry : u.entry;
  }

  void step_down(instance& self) {
    add_trace("i" + std::to_string(self.number) + " steps down");
    ++self.epoch;
    self.tenure->end(self.assigner, now_);
    self.links = {};
    self.candidacy_state->on_lost(now_);
  }

  void tick(instance& self, std::uint64_t life) {
    if (!self.alive || self.life != life) return;
    on_instance(self, [this, &self, life] {
      run_tick(self);
      run_after(tick_period, [this, &self, life] { tick(self, life); });
    });
  }

  void run_tick(instance& self) {
    if (self.assigner && self.assigner->is_suspended() && !self.assigner->may_renew(now_)) {
      step_down(self);
    }
    run_candidacy(self);
    for (int i = 0; i < 3; ++i)
      self.load.add(sample_key((first_hot_sample_ + i) % sample_count), 2);
    self.load.add(sample_key(static_cast<int>(random_() % sample_count)), 2);
    if (!self.assigner) return;
    if (self.assigner->is_isolated(now_) && !self.assigner->is_suspended()) {
      return concede_right(self);
    }
    if (self.assigner->needs_read()) read_record(self);
    update_upstreams(self);
    update_links(self);
    if (now_ >= self.next_rebalance) {
      self.next_rebalance = now_ + milliseconds(500);
      self.load.age(now_);
      self.assigner->rebalance(self.load, now_);
    }
    perform_orders(self);
  }

  // Lets the assigner decide and carries out its orders.
  void perform_orders(instance& self) {
    if (!self.assigner) return;
    for (const auto& order : self.assigner->tick(self.load, now_)) {
      std::visit([&](const auto& o) { perform(self, o); }, order);
    }
  }

  void update_upstreams(instance& self) {
    std::vector<range_upstream> listed;
    for (const auto& u : upstreams_) {
      const auto& entry = seen_entry(self, u);
      if (!entry.listed) continue;
      listed.push_back({.name = u.name,
                        .capacity = 4,
                        .serving = !u.draining,
                        .life = entry.life,
                        .sequence = entry.sequence});
    }
    self.assigner->set_upstreams(listed, now_);
    if (reaches_store(self)) self.assigner->on_entries_known(now_);
  }

  void run_candidacy(instance& self) {
    if (!self.polled) return;
    const auto sent = now_;
    switch (self.candidacy_state->tick(now_)) {
      case candidacy_step::none:
        return;
      case candidacy_step::create_lease:
        return call_store<std::uint64_t>(
            self, true,
            [this] {
              store_.leases[++store_.last_lease] = now_ + candidacy_timing{}.lease;
              return store_.last_lease;
            },
            [this, &self, sent](std::optional<std::uint64_t> lease) {
              if (lease) {
                self.candidacy_state->on_lease_created(*lease, sent);
              } else {
                self.candidacy_state->on_failed(now_);
              }
            });
      case candidacy_step::renew_lease: {
        const auto lease = self.candidacy_state->lease();
        return call_store<bool>(
            self, false,
            [this, lease] {
              const auto place = store_.leases.find(lease);
              if (place == store_.leases.end()) return false;
              place->second = now_ + candidacy_timing{}.lease;
              return true;
            },
            [this, &self, sent](std::optional<bool> kept) {
              if (!kept) return self.candidacy_state->on_failed(now_);
              if (!*kept) return self.candidacy_state->on_lease_gone(now_);
              self.candidacy_state->on_renewed(sent);
              if (self.assigner) self.assigner->confirm(sent);
            });
      }
      case candidacy_step::campaign:
        return campaign(self);
    }
  }

  struct write_result {
    bool ok = false;
    std::uint64_t version = 0;
  };

  // `era_key` is the key that must be there.
  write_result write(std::uint64_t expected, std::uint64_t era_key, const range_record& record) {
    if (store_.record_version != expected || store_.era_key != era_key) return {};
    store_.era_key = record.era;
    store_.record = record;
    store_.record_version = ++store_.revision;
    report_violation(oracle_.on_record(store_.record));
    return {true, store_.record_version};
  }

  void campaign(instance& self) {
    const auto sent = now_;
    const auto version = self.latest_version;
    const auto* seen = self.latest_record ? &*self.latest_record : nullptr;
    const auto campaign = self.tenure->campaign(seen, self.assigner, self.era, self.era_seen);
    const auto lease = self.candidacy_state->lease();
    call_store<write_result>(
        self, true,
        [this, record = campaign.record, version, lease, era_key = self.era_key, id = self.id()] {
          const bool held = store_.holder_lease && store_.holder != id;
          if (held || !store_.leases.contains(lease)) return write_result{};
          const auto result = write(version, era_key, record);
          if (!result.ok) return result;
          store_.holder_lease = lease;
          store_.holder = id;
          return result;
        },
        [this, &self, campaign, sent](std::optional<write_result> answer) {
          if (!answer) return self.candidacy_state->on_failed(now_);
          if (!answer->ok) return self.candidacy_state->on_lost(now_);
          if (!self.tenure->on_won(campaign, answer->version, sent, now_, self.assigner))
            return self.candidacy_state->on_lost(now_);
          self.candidacy_state->on_won(sent);
          self.era_key = campaign.record.era;
          note_record(self, campaign.record, answer->version);
          on_term_won(self, campaign);
        });
  }

  void on_term_won(instance& self, const range_campaign& won) {
    const auto name = "i" + std::to_string(self.number);
    if (won.goes_on) return add_trace(name + " goes on as assigner");
    const auto earlier = self.assigner->predecessors_expire_at() - now_;
    add_trace(name + " becomes assigner, term " + std::to_string(won.record.term.value) +
              (won.record.unsettled ? ", unsettled" : "") + ", earlier grants lapse in " +
              std::to_string(earlier / milliseconds(1)) + " ms");
    ++self.epoch;
    self.links = {};
    self.presence.begin_term(now_);
    update_upstreams(self);
  }

  void concede_right(instance& self) {
    const auto version = self.assigner->version();
    const auto record = self.assigner->relinquish(now_);
    add_trace("i" + std::to_string(self.number) + " concedes");
    ++self.epoch;
    self.tenure->end(self.assigner, now_);
    self.links = {};
    self.candidacy_state->resign(now_);
    write_relinquished(self, record, version, relinquish_attempts);
  }

  void write_relinquished(instance& self, const range_record& record, std::uint64_t version,
                          int attempts) {
    if (attempts == 0) return;
    call_store<write_result>(
        self, true,
        [this, record, version, era = self.era] {
          const auto result = write(version, era, record);
          if (result.ok) store_.holder_lease.reset();
          return result;
        },
        [this, &self, record, attempts](std::optional<write_result> answer) {
          if (answer && answer->ok) return;
          call_store<record_view>(
              self, false, [this] { return view_of_store(); },
              [this, &self, record, attempts](std::optional<record_view> view) {
                if (!view) return;
                const auto again = relinquish_again(record, view->record, self.id());
                if (again) write_relinquished(self, *again, view->version, attempts - 1);
              });
        });
  }

  void perform(instance& self, const range_action::write& order) {
    const auto epoch = self.epoch;
    const auto sent = now_;
    call_store<write_result>(
        self, true,
        [this, order, era = self.era] { return write(order.version, era, order.record); },
        [this, &self, epoch, order, sent](std::optional<write_result> answer) {
          if (self.epoch != epoch || !self.assigner) return;
          if (!answer) return self.assigner->on_write_unknown();
          if (!answer->ok) {
            self.assigner->on_write_unknown();
            return read_record(self);
          }
          self.assigner->confirm(sent);
          self.assigner->on_written(answer->version, now_);
          note_record(self, order.record, answer->version);
          perform_orders(self);
        });
  }

  void read_record(instance& self) {
    if (self.read_pending) return;
    self.read_pending = true;
    const auto epoch = self.epoch;
    call_store<record_view>(
        self, false, [this] { return view_of_store(); },
        [this, &self, epoch](std::optional<record_view> view) {
          self.read_pending = false;
          if (self.epoch != epoch || !self.assigner || !view) return;
          if (!self.assigner->on_read(self.id(), view->record, view->version, now_))
            step_down(self);
        });
  }

  int index_of(const upstream_id& name) const { return std::stoi(name.value.substr(1)); }

  bool is_reachable(const instance& self, int u) const {
    const auto index = static_cast<std::size_t>(u);
    return upstreams_[index].alive && now_ >= self.cut_until[index] &&
           now_ >= upstreams_[index].isolated_until;
  }

  // Nothing is cut off from upstreams of other services.
  bool is_reachable(const instance& self, const occupant& there) const {
    if (there.is == occupant::kind::own) return is_reachable(self, there.upstream);
    return there.is == occupant::kind::foreign;
  }

  const occupant& occupant_of(int address) const {
    return addresses_[static_cast<std::size_t>(address)];
  }

  std::uint64_t connection_epoch(const occupant& there) const {
    if (there.is != occupant::kind::own) return 0;
    return upstreams_[static_cast<std::size_t>(there.upstream)].connection_epoch;
  }

  static std::string address_text(int address) { return "address " + std::to_string(address); }

  // What opening a connection for orders to an upstream came to.
  struct opened {
    bool leads_there = false;  // as far as the instance knows
    bool is_other = false;     // another upstream has answered
    occupant to;
    std::uint64_t connection = 0;
  };

  // Opens a connection like upstream_dialer does. `done` is called unless the instance is killed.
  void dial(instance& self, int u, int address, std::function<void(opened)> done) {
    const auto& name = upstreams_[static_cast<std::size_t>(u)].name;
    const auto there = occupant_of(address);
    const opened made{.leads_there = true, .to = there, .connection = connection_epoch(there)};
    const auto life = self.life;
    const auto answer = [this, &self, life, done](opened result, duration after) {
      run_after(after, [this, &self, life, done, result] {
        if (self.life == life) on_instance(self, [done, result] { done(result); });
      });
    };
    if (!is_reachable(self, there)) return answer({}, milliseconds(400));
    if (self.presence.is_reached(name, address_text(address), now_)) {
      self.presence.on_inferred(name);
      return answer(made, uniform(milliseconds(0), milliseconds(3)));
    }
    ask(self, u, address, made, done);
  }

  // Asks who is there. A full upstream accepts the connection late.
  void ask(instance& self, int u, int address, const opened& made,
           std::function<void(opened)> done) {
    const auto asked = now_;
    const auto life = self.life;
    const auto wait = chance(0.1) ? uniform(milliseconds(5), milliseconds(1500))
                                  : uniform(milliseconds(1), milliseconds(6));
    run_after(wait, [this, &self, life, u, address, made, done, asked] {
      if (self.life != life) return;
      const bool ended = occupant_of(address) != made.to ||
                         connection_epoch(made.to) != made.connection ||
                         !is_reachable(self, made.to);
      const bool own = made.to.is == occupant::kind::own;
      const bool closes = own && upstreams_[static_cast<std::size_t>(made.to.upstream)].draining;
      on_instance(self, [this, &self, u, address, made, done, asked, ended, own, closes] {
        if (ended) return done({});
        const upstream_id there = own ? upstreams_[static_cast<std::size_t>(made.to.upstream)].name
                                      : upstream_id{"foreign " + std::to_string(made.to.number)};
        self.presence.on_identified(there, address_text(address), asked, now_, closes);
        if (!own || made.to.upstream != u) return done({.is_other = true});
        if (!closes) return done(made);
        if (!self.presence.is_reached(there, address_text(address), now_)) return done({});
        dial(self, u, address, done);
      });
    });
  }

  void update_links(instance& self) {
    for (int u = 0; u < upstream_count; ++u) {
      const auto index = static_cast<std::size_t>(u);
      const auto& target = upstreams_[index];
      auto& link = self.links[index];
      const int address = self.known_addresses[index];
      if (link.number != 0 &&
          (link.connection != connection_epoch(link.to) || link.address != address)) {
        drop_link(self, u);
      }
      if (link.attempt != 0 && link.address != address) link.attempt = 0;
      if (link.attempt != 0 && is_reachable(self, occupant_of(address)))
        self.assigner->on_reached(target.name, now_);
      if (link.number != 0 || link.attempt != 0 || now_ < link.next_try) continue;
      if (!seen_entry(self, target).listed) continue;
      link.next_try = now_ + milliseconds(200);
      link.address = address;
      link.attempt = ++last_link_;
      dial(self, u, address,
           [this, &self, u, epoch = self.epoch, attempt = link.attempt](const opened& result) {
             auto& opening = self.links[static_cast<std::size_t>(u)];
             if (self.epoch != epoch || !self.assigner || opening.attempt != attempt) return;
             on_link_opened(self, u, result);
           });
    }
  }

  void on_link_opened(instance& self, int u, const opened& result) {
    const auto index = static_cast<std::size_t>(u);
    const auto& name = upstreams_[index].name;
    auto& link = self.links[index];
    const auto attempt = std::exchange(link.attempt, 0);
    link.next_try = now_ + milliseconds(result.is_other ? 1000 : 200);
    if (result.is_other) {
      const bool ended = self.presence.has_ended(name, address_text(link.address));
      self.assigner->on_displaced(name, ended, now_);
    }
    if (!result.leads_there) return;
    link.number = attempt;
    link.to = result.to;
    link.connection = result.connection;
    self.assigner->on_link(name, attempt, now_);
  }

  void drop_link(instance& self, int u) {
    self.links[static_cast<std::size_t>(u)].number = 0;
    if (self.assigner) {
      self.assigner->on_link(upstreams_[static_cast<std::size_t>(u)].name, 0, now_);
    }
  }

  // An order that gets to an upstream of another service gives or takes its keys.
  bool is_misdirected(const occupant& to, const char* order) {
    if (to.is == occupant::kind::own) return false;
    report_violation(std::string("a ") + order + " reaches an upstream of another service");
    return true;
  }

  void perform(instance& self, const range_action::grant& order) {
    const int u = index_of(order.upstream);
    auto& link = self.links[static_cast<std::size_t>(u)];
    if (link.number != order.link) return;
    const auto to = link.to;
    if (connection_epoch(to) == link.connection && is_misdirected(to, "grant")) return;
    const int there = to.upstream;
    ++result_.grants;
    const auto epoch = self.epoch;
    const auto life = self.life;
    const auto timeout = range_timing{}.call_timeout;
    auto call_state = std::make_shared<int>(0);  // 0: pending, 1: answered, 2: timed out
    const auto connection = link.connection;
    // A message on an interrupted path may still arrive, until the call times out and the link is
    // reset.
    const bool is_delivered = is_reachable(self, there) || chance(0.5);
    const auto transit = is_reachable(self, there) ? uniform(milliseconds(0), milliseconds(3))
                                                   : uniform(milliseconds(3), timeout);
    const auto answered = [this, &self, epoch, life, order, call_state](bool accepted,
                                                                        bool closes) {
      on_instance(self, [this, &self, epoch, life, order, call_state, accepted, closes] {
        if (*call_state != 0 || self.life != life || self.epoch != epoch || !self.assigner) return;
        *call_state = 1;
        if (accepted) {
          self.assigner->on_granted(order, now_);
        } else {
          self.assigner->on_refused(order, now_);
        }
        const int u = index_of(order.upstream);
        if (closes && self.links[static_cast<std::size_t>(u)].number == order.link) {
          drop_link(self, u);
        }
        perform_orders(self);
      });
    };
    if (is_delivered) {
      run_after(transit, [this, order, there, call_state, connection, answered, &self] {
        auto& target = upstreams_[static_cast<std::size_t>(there)];
        if (*call_state == 2 || !target.alive || target.connection_epoch != connection) return;
        const auto arrival = now_;
        if (now_ < target.slow_grants_until && chance(0.5)) {
          const auto target_life = target.life;
          run_after(uniform(seconds(2), seconds(12)), [this, order, there, arrival, target_life] {
            if (upstreams_[static_cast<std::size_t>(there)].life == target_life)
              apply_grant(there, order, arrival);
          });
          return;
        }
        const bool accepted = apply_grant(there, order, arrival);
        if (is_reachable(self, there))
          run_after(uniform(milliseconds(0), milliseconds(3)),
                    [=, closes = target.draining] { answered(accepted, closes); });
      });
    }
    run_after(timeout, [this, &self, epoch, life, u, call_state, number = order.link] {
      on_instance(self, [this, &self, epoch, life, u, call_state, number] {
        if (*call_state != 0 || self.life != life) return;
        *call_state = 2;
        if (self.epoch == epoch && self.links[static_cast<std::size_t>(u)].number == number) {
          drop_link(self, u);
        }
      });
    });
  }

  // Applies a grant at an upstream, or returns false if the upstream has seen a higher fence.
  bool apply_grant(int u, const range_action::grant& order, monotonic_time arrival) {
    auto& target = upstreams_[static_cast<std::size_t>(u)];
    for (int i = 0; i < sample_count; ++i) {
      const auto key = sample_key(i);
      if (key < order.first || key > order.last) continue;
      if (target.highest_fences[static_cast<std::size_t>(i)] > order.fence.value) return false;
    }
    const auto length = static_cast<double>(order.hold.count()) * target.clock_scale;
    const auto until = arrival + duration(static_cast<duration::rep>(length));
    for (int i = 0; i < sample_count; ++i) {
      const auto key = sample_key(i);
      const auto index = static_cast<std::size_t>(i);
      if (key < order.first || key > order.last) continue;
      target.highest_fences[index] = order.fence.value;
      // From then on the key moves like any other.
      if (order.fence.value >> 32 >= store_.era) unmoved_[index] = false;
      if (until <= now_) continue;
      report_violation(oracle_.on_acquired(upstreams_, u, i, order.fence.value, now_));
      result_.moves = oracle_.moves();
      target.held[index] = {order.fence.value, std::max(target.held[index].until, until)};
    }
    add_trace(target.name.value + " accepts " + std::to_string(order.first) + "-" +
              std::to_string(order.last) + " fence " + std::to_string(order.fence.value));
    return true;
  }

  void perform(instance& self, const range_action::release& order) {
    const int u = index_of(order.upstream);
    const int address = self.known_addresses[static_cast<std::size_t>(u)];
    const auto epoch = self.epoch;
    dial(self, u, address, [this, &self, u, address, epoch, order](const opened& result) {
      if (self.epoch != epoch || !self.assigner) return;
      if (result.leads_there) return send_release(self, order, result);
      if (result.is_other && self.presence.has_ended(order.upstream, address_text(address)) &&
          self.links[static_cast<std::size_t>(u)].number == 0) {
        self.assigner->on_displaced(order.upstream, true, now_);
      }
      run_after(result.is_other ? milliseconds(0) : seconds(3),
                [this, &self, epoch, order] { fail_release(self, epoch, order); });
    });
  }

  void fail_release(instance& self, std::uint64_t epoch, const range_action::release& order) {
    on_instance(self, [this, &self, epoch, order] {
      if (self.epoch == epoch && self.assigner) self.assigner->on_release_failed(order, now_);
    });
  }

  void send_release(instance& self, const range_action::release& order, const opened& link) {
    const auto epoch = self.epoch;
    const auto failed = [this, &self, epoch, order] {
      run_after(seconds(3), [this, &self, epoch, order] { fail_release(self, epoch, order); });
    };
    const auto is_over = [this, &self, link] {
      return connection_epoch(link.to) != link.connection || !is_reachable(self, link.to);
    };
    if (is_over() || !self.assigner->may_release(now_)) return failed();
    if (is_misdirected(link.to, "release")) return;
    run_after(uniform(milliseconds(0), milliseconds(5)),
              [this, &self, epoch, order, link, failed, is_over] {
                if (is_over()) return failed();
                upstreams_[static_cast<std::size_t>(link.to.upstream)].release(order);
                run_after(uniform(milliseconds(0), milliseconds(300)),
                          [this, &self, epoch, order, failed, is_over] {
                            if (is_over()) return failed();
                            on_instance(self, [this, &self, epoch, order] {
                              if (self.epoch != epoch || !self.assigner) return;
                              self.assigner->on_released(order, "h", now_);
                              perform_orders(self);
                            });
                          });
              });
  }

  void report_violation(const std::optional<std::string>& violation) {
    if (!violation) return;
    add_trace("VIOLATION " + *violation);
    if (!result_.violation) result_.violation = violation;
  }

  void sample_served_share() {
    int held = 0;
    for (int i = 0; i < sample_count; ++i) {
      const bool is_held = std::any_of(upstreams_.begin(), upstreams_.end(), [&](const auto& u) {
        return u.alive && u.held[static_cast<std::size_t>(i)].until > now_;
      });
      held += is_held ? 1 : 0;
      note_gap(static_cast<std::size_t>(i), is_held);
    }
    served_share_sum_ += static_cast<double>(held) / sample_count;
    ++served_share_samples_;
    run_after(milliseconds(100), [this] { sample_served_share(); });
  }

  void note_gap(std::size_t sample, bool is_held) {
    auto& since = unheld_since_[sample];
    if (is_held || restored_ == monotonic_time{}) {
      if (since) {
        add_trace("key " + std::to_string(sample_key(static_cast<int>(sample))) +
                  (unmoved_[sample] ? ", unmoved," : "") + " had no holder for " +
                  std::to_string((now_ - *since) / milliseconds(1)) + " ms");
      }
      since.reset();
      return;
    }
    if (!since) since = now_;
    const auto gap = now_ - *since;
    result_.longest_gap = std::max(result_.longest_gap, gap);
    if (unmoved_[sample]) result_.unmoved_gap = std::max(result_.unmoved_gap, gap);
  }

  void inject(const fault& f);
  void join_upstream();
  void leave_upstream(upstream& target, duration drain);
  void kill(instance& self, duration absent);
  void reuse_address(upstream& target, duration entry_stays);
  void succeed(upstream& target, duration entry_stays);
  instance& choose_instance(const fault& f) {
    // Mostly the assigner, as few faults of other instances have any effect.
    for (const auto& candidate : instances_) {
      if (candidate->alive && candidate->assigner && f.instance_index % 4 != 3) return *candidate;
    }
    return *instances_[f.instance_index % instance_count];
  }

  bool with_trace_;
  bool shows_sequences_;
  std::mt19937_64 random_;
  std::priority_queue<event> events_;
  std::uint64_t sequence_ = 0;
  monotonic_time now_{};
  store_state store_;
  std::vector<store_copy> copies_;
  monotonic_time restored_{};  // from a copy
  std::vector<std::unique_ptr<instance>> instances_;
  std::vector<upstream> upstreams_;
  std::array<occupant, address_count> addresses_{};
  std::uint64_t last_occupant_ = 0;
  int next_address_ = initial_upstreams;
  link_number last_link_ = 0;
  int first_hot_sample_ = 5;
  oracle oracle_;
  verdict result_;
  std::array<bool, sample_count> unmoved_{};  // by the latest restore
  std::array<std::optional<monotonic_time>, sample_count> unheld_since_{};
  double served_share_sum_ = 0;
  std::uint64_t served_share_samples_ = 0;
};

void simulation::reuse_address(upstream& target, duration entry_stays) {
  if (!target.alive || next_address_ == address_count) return;
  const int address = target.address;
  const int next = next_address_++;
  end_upstream(target);
  const auto life = target.life;
  run_after(reuse_after, [this, address] {
    addresses_[static_cast<std::size_t>(address)] = {occupant::kind::foreign, 0, ++last_occupant_};
    add_trace("another service has " + address_text(address));
  });
  run_after(std::max<duration>(entry_stays, reuse_after), [this, &target, life, next] {
    if (target.life != life || !target.entry.listed) return;
    target.alive = true;
    settle(index_of(target.name), next);
    register_upstream(target);
  });
}

void simulation::succeed(upstream& target, duration entry_stays) {
  const auto free = std::find_if(upstreams_.begin() + initial_upstreams, upstreams_.end(),
                                 [](const auto& u) { return !u.alive && u.life == 1; });
  if (!target.alive || free == upstreams_.end()) return;
  auto& next = *free;
  const int address = target.address;
  end_upstream(target);
  ++next.life;
  next.alive = true;
  settle(index_of(next.name), address);
  add_trace(next.name.value + " has " + address_text(address));
  register_upstream(next);
  run_after(entry_stays, [&target] { target.entry.listed = false; });
}

void simulation::join_upstream() {
  const auto free = std::find_if(upstreams_.begin() + initial_upstreams, upstreams_.end(),
                                 [](const auto& u) { return !u.alive && u.life == 1; });
  if (free == upstreams_.end() || next_address_ == address_count) return;
  ++free->life;
  free->alive = true;
  settle(index_of(free->name), next_address_++);
  add_trace(free->name.value + " joins");
  register_upstream(*free);
}

void simulation::leave_upstream(upstream& target, duration drain) {
  if (!target.alive) return;
  target.draining = true;
  run_after(drain, [this, &target, life = target.life] {
    if (target.life != life) return;
    add_trace(target.name.value + " ends");
    end_upstream(target);
    target.entry.listed = false;
  });
}

void simulation::kill(instance& self, duration absent) {
  self.alive = false;
  ++self.life;
  self.assigner.reset();
  run_after(absent, [this, &self, life = self.life] {
    if (!self.alive && self.life == life) start_instance(self);
  });
}

void simulation::inject(const fault& f) {
  auto& self = choose_instance(f);
  auto& target = upstreams_[f.argument % initial_upstreams];
  const auto length = milliseconds(f.for_ms);
  add_trace(fault_name(f.kind) + " i" + std::to_string(self.number) + " " + target.name.value +
            " for " + std::to_string(f.for_ms));
  switch (f.kind) {
    case fault_kind::kill_instance:
      return kill(self, length);
    case fault_kind::kill_instances:
      for (auto& one : instances_) kill(*one, length);
      return;
    case fault_kind::join_upstream:
      return join_upstream();
    case fault_kind::leave_upstream:
      return leave_upstream(target, length);
    case fault_kind::cut_entry: {
      auto& cut = upstreams_[f.argument % upstream_count];
      cut.entry_cut_until = std::max(cut.entry_cut_until, now_ + length);
      return;
    }
    case fault_kind::freeze_instance:
      self.frozen_until = std::max(self.frozen_until, now_ + length);
      return;
    case fault_kind::cut_store:
      self.store_cut_until = std::max(self.store_cut_until, now_ + length);
      return;
    case fault_kind::store_down:
      store_.down_until = std::max(store_.down_until, now_ + length);
      return;
    case fault_kind::lose_answers:
      store_.losing_answers_until = std::max(store_.losing_answers_until, now_ + length);
      return;
    case fault_kind::cut_upstream: {
      auto& until = self.cut_until[f.argument % initial_upstreams];
      until = std::max(until, now_ + length);
      return;
    }
    case fault_kind::isolate_upstream:
      target.isolated_until = std::max(target.isolated_until, now_ + length);
      return;
    case fault_kind::crash_upstream: {
      if (!target.alive) return;
      end_upstream(target);
      const auto life = target.life;
      run_after(length, [this, &target, life] {
        if (target.life != life || !target.entry.listed) return;
        target.alive = true;
        settle(index_of(target.name), target.address);
        register_upstream(target);
      });
      return;
    }
    case fault_kind::lose_upstream:
      if (std::count_if(upstreams_.begin(), upstreams_.end(),
                        [](auto& u) { return u.entry.listed; }) < 3) {
        return;
      }
      end_upstream(target);
      run_after(seconds(2), [&target] { target.entry.listed = false; });
      return;
    case fault_kind::reuse_address:
      return reuse_address(target, length);
    case fault_kind::succeed_upstream:
      return succeed(target, length);
    case fault_kind::drain_upstream:
      target.draining = true;
      run_after(length, [&target] { target.draining = false; });
      return;
    case fault_kind::late_grants:
      target.slow_grants_until = std::max(target.slow_grants_until, now_ + length);
      return;
    case fault_kind::break_links:
      for (auto& u : upstreams_) ++u.connection_epoch;
      return;
    case fault_kind::shift_load:
      first_hot_sample_ = static_cast<int>(f.argument % sample_count);
      return;
    case fault_kind::restore_store:
      store_.down_until = std::max(store_.down_until, now_ + length);
      run_at(store_.down_until,
             [this, age = seconds(1 + f.argument % max_copy_age_s)] { restore_store(age); });
      return;
    case fault_kind::cut_others: {
      for (auto& other : instances_) {
        if (other.get() == &self) continue;
        auto& until = other->cut_until[f.argument % initial_upstreams];
        until = std::max(until, now_ + length);
      }
      return;
    }
    case fault_kind::concede:
      if (self.alive && self.assigner && !self.assigner->is_suspended() &&
          now_ >= self.frozen_until) {
        concede_right(self);
      }
      return;
  }
}

}  // namespace

verdict run(const scenario& s, bool with_trace) { return simulation(s, with_trace).run(); }

}  // namespace plantainpaddle::range_model
