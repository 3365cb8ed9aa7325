#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
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
  simulation(const scenario& s, bool with_trace) : with_trace_(with_trace), random_(s.seed) {
    std::uniform_real_distribution<double> drift(1.0, 1.02);
    for (int i = 0; i < upstream_count; ++i) {
      upstreams_.push_back({.name = {"u" + std::to_string(i)}});
      upstreams_.back().clock_scale = drift(random_);
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
    self.tenure.emplace(self.id(), "", range_timing{});
    ++self.epoch;
    self.links = {};
    self.polled = self.read_pending = false;
    self.latest_record.reset();
    self.latest_version = self.era = self.era_key = 0;
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
    self.candidacy_state->on_store_restored(self.assigner.has_value(), now_);
  }

  void copy_store() {
    copies_.push_back({now_, store_});
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
    store_ = copy->state;
    store_.era = era;
    for (auto& [lease, expires] : store_.leases) expires += since;
    store_.down_until = down_until;
    store_.losing_answers_until = losing_answers_until;
    oracle_.on_restored();
    restored_ = now_;
    for (auto& u : upstreams_) {
      if (chance(0.3)) u.entry_back = now_ + uniform(milliseconds(500), seconds(2));
    }
    add_trace("the store is as it was " + std::to_string(since / milliseconds(1)) + " ms ago");
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
          if (view->version != 0) note_record(self, view->record, view->version);
          const auto holder = view->holder == self.id() ? key_holder::self : key_holder::other;
          self.candidacy_state->on_seen(view->key_present ? holder : key_holder::nobody, now_);
          if (self.assigner && self.latest_record &&
              self.tenure->is_superseded(*self.assigner, *self.latest_record)) {
            step_down(self);
          }
        });
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
      const bool lost = now_ < u.entry_back && self.started >= restored_;
      if (u.listed && !lost) listed.push_back({u.name, 4, !u.draining});
    }
    self.assigner->set_upstreams(listed, now_);
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

  void update_links(instance& self) {
    for (int u = 0; u < upstream_count; ++u) {
      auto& target = upstreams_[static_cast<std::size_t>(u)];
      auto& link = self.links[static_cast<std::size_t>(u)];
      if (link.number != 0 && link.connection != target.connection_epoch) drop_link(self, u);
      if (link.number != 0 || !target.listed || now_ < link.next_try) continue;
      link.next_try = now_ + milliseconds(200);
      if (!is_reachable(self, u)) continue;
      link.number = ++last_link_;
      link.connection = target.connection_epoch;
      self.assigner->on_link(target.name, link.number, now_);
    }
  }

  void drop_link(instance& self, int u) {
    self.links[static_cast<std::size_t>(u)].number = 0;
    if (self.assigner) {
      self.assigner->on_link(upstreams_[static_cast<std::size_t>(u)].name, 0, now_);
    }
  }

  void perform(instance& self, const range_action::grant& order) {
    const int u = index_of(order.upstream);
    auto& link = self.links[static_cast<std::size_t>(u)];
    if (link.number != order.link) return;
    ++result_.grants;
    const auto epoch = self.epoch;
    const auto life = self.life;
    const auto timeout = range_timing{}.call_timeout;
    auto call_state = std::make_shared<int>(0);  // 0: pending, 1: answered, 2: timed out
    const auto connection = link.connection;
    // A message on an interrupted path may still arrive, until the call times out and the link is
    // reset.
    const bool is_delivered = is_reachable(self, u) || chance(0.5);
    const auto transit = is_reachable(self, u) ? uniform(milliseconds(0), milliseconds(3))
                                               : uniform(milliseconds(3), timeout);
    const auto answered = [this, &self, epoch, life, order, call_state](bool accepted) {
      on_instance(self, [this, &self, epoch, life, order, call_state, accepted] {
        if (*call_state != 0 || self.life != life || self.epoch != epoch || !self.assigner) return;
        *call_state = 1;
        if (accepted) {
          self.assigner->on_granted(order, now_);
        } else {
          self.assigner->on_refused(order, now_);
        }
        perform_orders(self);
      });
    };
    if (is_delivered) {
      run_after(transit, [this, order, u, call_state, connection, answered, &self] {
        auto& target = upstreams_[static_cast<std::size_t>(u)];
        if (*call_state == 2 || !target.alive || target.connection_epoch != connection) return;
        const auto arrival = now_;
        if (now_ < target.slow_grants_until && chance(0.5)) {
          const auto target_life = target.life;
          run_after(uniform(seconds(2), seconds(12)), [this, order, u, arrival, target_life] {
            if (upstreams_[static_cast<std::size_t>(u)].life == target_life)
              apply_grant(u, order, arrival);
          });
          return;
        }
        const bool accepted = apply_grant(u, order, arrival);
        if (is_reachable(self, u))
          run_after(uniform(milliseconds(0), milliseconds(3)), [=] { answered(accepted); });
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
    const auto epoch = self.epoch;
    const auto life = self.life;
    const auto failed = [this, &self, epoch, life, order] {
      on_instance(self, [this, &self, epoch, life, order] {
        if (self.life == life && self.epoch == epoch && self.assigner) {
          self.assigner->on_release_failed(order, now_);
        }
      });
    };
    if (!is_reachable(self, u)) return run_after(seconds(3), failed);
    run_after(uniform(milliseconds(0), milliseconds(5)),
              [this, &self, u, epoch, life, order, failed] {
                auto& target = upstreams_[static_cast<std::size_t>(u)];
                if (!target.alive) return run_after(seconds(3), failed);
                target.release(order);
                run_after(uniform(milliseconds(0), milliseconds(300)),
                          [this, &self, u, epoch, life, order, failed] {
                            if (!is_reachable(self, u)) return run_after(seconds(3), failed);
                            on_instance(self, [this, &self, epoch, life, order] {
                              if (self.life != life || self.epoch != epoch || !self.assigner)
                                return;
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
      held += std::any_of(upstreams_.begin(), upstreams_.end(), [&](const auto& u) {
        return u.alive && u.held[static_cast<std::size_t>(i)].until > now_;
      });
    }
    served_share_sum_ += static_cast<double>(held) / sample_count;
    ++served_share_samples_;
    run_after(milliseconds(100), [this] { sample_served_share(); });
  }

  void inject(const fault& f);
  instance& choose_instance(const fault& f) {
    // Mostly the assigner, as few faults of other instances have any effect.
    for (const auto& candidate : instances_) {
      if (candidate->alive && candidate->assigner && f.instance_index % 4 != 3) return *candidate;
    }
    return *instances_[f.instance_index % instance_count];
  }

  bool with_trace_;
  std::mt19937_64 random_;
  std::priority_queue<event> events_;
  std::uint64_t sequence_ = 0;
  monotonic_time now_{};
  store_state store_;
  std::vector<store_copy> copies_;
  monotonic_time restored_{};  // from a copy
  std::vector<std::unique_ptr<instance>> instances_;
  std::vector<upstream> upstreams_;
  link_number last_link_ = 0;
  int first_hot_sample_ = 5;
  oracle oracle_;
  verdict result_;
  double served_share_sum_ = 0;
  std::uint64_t served_share_samples_ = 0;
};

void simulation::inject(const fault& f) {
  auto& self = choose_instance(f);
  auto& target = upstreams_[f.argument % upstream_count];
  const auto length = milliseconds(f.for_ms);
  add_trace(fault_name(f.kind) + " i" + std::to_string(self.number) + " " + target.name.value +
            " for " + std::to_string(f.for_ms));
  switch (f.kind) {
    case fault_kind::kill_instance: {
      self.alive = false;
      ++self.life;
      self.assigner.reset();
      const auto life = self.life;
      run_after(length, [this, &self, life] {
        if (!self.alive && self.life == life) start_instance(self);
      });
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
      auto& until = self.cut_until[f.argument % upstream_count];
      until = std::max(until, now_ + length);
      return;
    }
    case fault_kind::isolate_upstream:
      target.isolated_until = std::max(target.isolated_until, now_ + length);
      return;
    case fault_kind::crash_upstream: {
      target.alive = false;
      target.held = {};
      target.highest_fences = {};
      ++target.life;
      ++target.connection_epoch;
      const auto life = target.life;
      run_after(length, [&target, life] {
        if (target.life == life && target.listed) target.alive = true;
      });
      return;
    }
    case fault_kind::lose_upstream:
      if (std::count_if(upstreams_.begin(), upstreams_.end(), [](auto& u) { return u.listed; }) <
          3) {
        return;
      }
      target.alive = false;
      target.held = {};
      ++target.life;
      ++target.connection_epoch;
      run_after(seconds(2), [&target] { target.listed = false; });
      return;
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
        auto& until = other->cut_until[f.argument % upstream_count];
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
