#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

#include "ownership/testing/range_model.h"
#include "ownership/testing/range_oracle.h"
#include "ownership/testing/range_simulation_state.h"

namespace plantainpaddle::range_model {

namespace {

class world {
 public:
  world(const scenario& s, bool with_trace) : with_trace_(with_trace), random_(s.seed) {
    std::uniform_real_distribution<double> drift(1.0, 1.02);
    for (int i = 0; i < upstream_count; ++i) {
      upstreams_.push_back({.name = {"u" + std::to_string(i)}});
      upstreams_.back().clock = drift(random_);
    }
    for (int i = 0; i < instance_count; ++i) {
      instances_.push_back(std::make_unique<instance>(i));
      begin(*instances_.back());
    }
    for (const auto& f : s.faults)
      at(monotonic_time(milliseconds(f.at_ms)), [this, f] { strike(f); });
  }

  verdict run() {
    const monotonic_time end{run_time};
    at(monotonic_time(seconds(3)), [this] { measure(); });
    while (!events_.empty() && !result_.violation) {
      const auto next = events_.top();
      if (next.when > end) break;
      events_.pop();
      now_ = next.when;
      ++result_.steps;
      next.what();
    }
    if (samples_ != 0) result_.served = served_ / static_cast<double>(samples_);
    return std::move(result_);
  }

 private:
  struct event {
    monotonic_time when;
    std::uint64_t order;
    std::function<void()> what;
    bool operator<(const event& other) const {
      return std::pair(when, order) > std::pair(other.when, other.order);
    }
  };

  void at(monotonic_time when, std::function<void()> what) {
    events_.push({when, ++order_, std::move(what)});
  }
  void after(duration d, std::function<void()> what) { at(now_ + d, std::move(what)); }
  duration some(duration least, duration most) {
    return duration(
        std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(random_));
  }
  bool chance(double p) { return std::uniform_real_distribution<double>(0, 1)(random_) < p; }
  void say(const std::string& line) {
    if (!with_trace_) return;
    const auto ms = std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()).count();
    result_.trace.push_back(std::to_string(ms) + " " + line);
  }

  // Runs on the instance when it is not frozen, if it still is in that life.
  void on_instance(instance& who, std::function<void()> what) {
    if (!who.alive) return;
    if (now_ < who.frozen_until) {
      const auto life = who.life;
      at(who.frozen_until + some(microseconds(0), milliseconds(2)), [this, &who, life, what] {
        if (who.life == life) on_instance(who, what);
      });
      return;
    }
    what();
  }

  void begin(instance& who) {
    who.alive = true;
    who.standing.emplace(candidacy_timing{}, some(milliseconds(0), milliseconds(150)));
    who.assigner.reset();
    ++who.epoch;
    who.links = {};
    who.polled = who.reading = false;
    who.seen_version = 0;
    const auto life = who.life;
    after(some(milliseconds(1), milliseconds(50)), [this, &who, life] { tick(who, life); });
    after(some(milliseconds(1), milliseconds(50)), [this, &who, life] { poll(who, life); });
  }

  bool reaches_store(const instance& who) const {
    return now_ >= who.store_cut_until && now_ >= store_.down_until;
  }

  // A call to the store: `what` runs there, the answer reaches the caller unless it is lost.
  template <class Answer>
  void ask_store(instance& who, bool writes, std::function<Answer()> what,
                 std::function<void(std::optional<Answer>)> done) {
    const auto life = who.life;
    const auto answer = [this, &who, life, done](std::optional<Answer> a) {
      if (who.life == life) on_instance(who, [done, a] { done(a); });
    };
    if (!reaches_store(who)) {
      after(milliseconds(800), [answer] { answer(std::nullopt); });
      return;
    }
    const bool lost = writes && now_ < store_.losing_until && chance(0.5);
    const bool late = lost && chance(0.5);
    after(late ? some(seconds(1), seconds(6)) : some(milliseconds(1), milliseconds(20)),
          [this, what, answer, lost] {
            expire_leases();
            const Answer made = what();
            if (!lost)
              after(some(milliseconds(1), milliseconds(20)), [answer, made] { answer(made); });
          });
    if (lost) after(milliseconds(800), [answer] { answer(std::nullopt); });
  }

  void expire_leases() {
    std::erase_if(store_.leases, [&](const auto& lease) { return lease.second <= now_; });
    if (store_.holder_lease && !store_.leases.contains(*store_.holder_lease)) {
      store_.holder_lease.reset();
      ++store_.revision;
    }
  }

  struct look {
    range_record record;
    std::uint64_t version = 0;
    bool held = false;
  };

  void poll(instance& who, std::uint64_t life) {
    if (!who.alive || who.life != life) return;
    ask_store<look>(
        who, false,
        [this] {
          return look{store_.record, store_.record_version, store_.holder_lease.has_value()};
        },
        [this, &who, life](std::optional<look> seen) {
          after(poll_period, [this, &who, life] { poll(who, life); });
          if (!seen) return;
          who.polled = true;
          who.seen_held = seen->held;
          if (seen->version > who.seen_version) {
            who.seen = seen->record;
            who.seen_version = seen->version;
          }
          who.standing->on_seen(who.seen_held, now_);
          if (who.assigner && who.seen_version > who.assigner->version() &&
              who.seen.assigner != who.id()) {
            step_down(who);
          }
        });
  }

  void step_down(instance& who) {
    say("i" + std::to_string(who.number) + " steps down");
    ++who.epoch;
    who.assigner.reset();
    who.links = {};
    who.standing->on_lost(now_);
  }

  void tick(instance& who, std::uint64_t life) {
    if (!who.alive || who.life != life) return;
    on_instance(who, [this, &who, life] {
      step(who);
      after(tick_period, [this, &who, life] { tick(who, life); });
    });
  }

  void step(instance& who) {
    stand(who);
    for (int i = 0; i < 3; ++i) who.load.add(sample_key((hot_ + i) % sample_count), 2);
    who.load.add(sample_key(static_cast<int>(random_() % sample_count)), 2);
    if (!who.assigner) return;
    if (who.assigner->is_isolated(now_)) return give_up(who);
    if (who.assigner->needs_read()) read_record(who);
    list_upstreams(who);
    keep_links(who);
    if (now_ >= who.next_rebalance) {
      who.next_rebalance = now_ + milliseconds(500);
      who.load.age(now_);
      who.assigner->rebalance(who.load, now_);
    }
    act(who);
  }

  void act(instance& who) {
    if (!who.assigner) return;
    for (const auto& order : who.assigner->tick(who.load, now_)) {
      std::visit([&](const auto& o) { perform(who, o); }, order);
    }
  }

  void list_upstreams(instance& who) {
    std::vector<range_upstream> listed;
    for (const auto& u : upstreams_) {
      if (u.listed) listed.push_back({u.name, 4, !u.draining});
    }
    who.assigner->set_upstreams(listed, now_);
  }

  void stand(instance& who) {
    if (!who.polled) return;
    const auto sent = now_;
    switch (who.standing->tick(now_)) {
      case candidacy_step::none:
        return;
      case candidacy_step::create_lease:
        return ask_store<std::uint64_t>(
            who, true,
            [this] {
              store_.leases[++store_.last_lease] = now_ + candidacy_timing{}.lease;
              return store_.last_lease;
            },
            [this, &who, sent](std::optional<std::uint64_t> lease) {
              if (lease) {
                who.standing->on_lease_created(*lease, sent);
              } else {
                who.standing->on_failed(now_);
              }
            });
      case candidacy_step::renew_lease: {
        const auto lease = who.standing->lease();
        return ask_store<bool>(
            who, false,
            [this, lease] {
              const auto place = store_.leases.find(lease);
              if (place == store_.leases.end()) return false;
              place->second = now_ + candidacy_timing{}.lease;
              return true;
            },
            [this, &who, sent](std::optional<bool> kept) {
              if (!kept) return who.standing->on_failed(now_);
              if (!*kept) return who.standing->on_lease_gone(now_);
              who.standing->on_renewed(sent);
              if (who.assigner) who.assigner->confirm(sent);
            });
      }
      case candidacy_step::campaign:
        return campaign(who);
    }
  }

  struct written {
    bool ok = false;
    std::uint64_t version = 0;
  };

  written write(std::uint64_t expected, const range_record& record) {
    if (store_.record_version != expected) return {};
    store_.record = record;
    store_.record_version = ++store_.revision;
    note(oracle_.on_record(store_.record));
    return {true, store_.record_version};
  }

  void campaign(instance& who) {
    const auto sent = now_;
    const auto version = who.seen_version;
    const range_record before = version == 0 ? make_range_record() : who.seen;
    const range_predecessor predecessor{
        .any = version != 0,
        .conceded = before.assigner.value.empty() || before.assigner == who.id(),
        .lapses_in = before.lapses_in};
    const auto record = take_over(before, who.id(), "");
    const auto lease = who.standing->lease();
    ask_store<written>(
        who, true,
        [this, record, version, lease] {
          if (store_.holder_lease || !store_.leases.contains(lease)) return written{};
          const auto made = write(version, record);
          if (made.ok) store_.holder_lease = lease;
          return made;
        },
        [this, &who, record, predecessor, sent](std::optional<written> answer) {
          if (!answer) return who.standing->on_failed(now_);
          if (!answer->ok) return who.standing->on_lost(now_);
          say("i" + std::to_string(who.number) + " is assigner, term " +
              std::to_string(record.term.value) + (predecessor.conceded ? "" : ", waits"));
          who.standing->on_won(sent);
          ++who.epoch;
          who.links = {};
          who.seen = record;
          who.seen_version = answer->version;
          who.assigner.emplace(range_timing{});
          who.assigner->start(record, answer->version, predecessor, now_);
          who.assigner->confirm(sent);
          list_upstreams(who);
        });
  }

  void give_up(instance& who) {
    const auto version = who.assigner->version();
    const auto record = who.assigner->concede(now_);
    say("i" + std::to_string(who.number) + " concedes");
    ++who.epoch;
    who.assigner.reset();
    who.links = {};
    who.standing->resign(now_);
    ask_store<written>(
        who, true,
        [this, record, version] {
          const auto made = write(version, record);
          if (made.ok) store_.holder_lease.reset();
          return made;
        },
        [](std::optional<written>) {});
  }

  void perform(instance& who, const range_action::write& order) {
    const auto epoch = who.epoch;
    const auto sent = now_;
    ask_store<written>(
        who, true, [this, order] { return write(order.version, order.record); },
        [this, &who, epoch, order, sent](std::optional<written> answer) {
          if (who.epoch != epoch || !who.assigner) return;
          if (!answer) return who.assigner->on_write_unknown();
          if (!answer->ok) {
            who.assigner->on_write_unknown();
            return read_record(who);
          }
          who.assigner->confirm(sent);
          who.assigner->on_written(answer->version, now_);
          if (answer->version > who.seen_version) {
            who.seen_version = answer->version;
            who.seen = order.record;
          }
          act(who);
        });
  }

  void read_record(instance& who) {
    if (who.reading) return;
    who.reading = true;
    const auto epoch = who.epoch;
    ask_store<look>(
        who, false,
        [this] {
          return look{store_.record, store_.record_version, false};
        },
        [this, &who, epoch](std::optional<look> seen) {
          who.reading = false;
          if (who.epoch != epoch || !who.assigner || !seen) return;
          if (!who.assigner->on_read(who.id(), seen->record, seen->version, now_)) step_down(who);
        });
  }

  int index_of(const upstream_id& name) const { return std::stoi(name.value.substr(1)); }

  bool path(const instance& who, int u) const {
    const auto index = static_cast<std::size_t>(u);
    return upstreams_[index].alive && now_ >= who.cut_until[index] &&
           now_ >= upstreams_[index].isolated_until;
  }

  void keep_links(instance& who) {
    for (int u = 0; u < upstream_count; ++u) {
      auto& target = upstreams_[static_cast<std::size_t>(u)];
      auto& link = who.links[static_cast<std::size_t>(u)];
      if (link.number != 0 && link.connection != target.connections) drop_link(who, u);
      if (link.number != 0 || !target.listed || now_ < link.next_try) continue;
      link.next_try = now_ + milliseconds(200);
      if (!path(who, u)) continue;
      link.number = ++last_link_;
      link.connection = target.connections;
      who.assigner->on_link(target.name, link.number, now_);
    }
  }

  void drop_link(instance& who, int u) {
    who.links[static_cast<std::size_t>(u)].number = 0;
    if (who.assigner) {
      who.assigner->on_link(upstreams_[static_cast<std::size_t>(u)].name, 0, now_);
    }
  }

  void perform(instance& who, const range_action::grant& order) {
    const int u = index_of(order.upstream);
    auto& link = who.links[static_cast<std::size_t>(u)];
    if (link.number != order.link) return;
    ++result_.grants;
    const auto epoch = who.epoch;
    const auto life = who.life;
    const auto timeout = range_timing{}.call_timeout;
    auto state = std::make_shared<int>(0);  // 0: under way, 1: answered, 2: given up
    const auto connection = link.connection;
    // Held up by at most the time after which the link is reset.
    const bool arrives = path(who, u) || chance(0.5);
    const auto travel =
        path(who, u) ? some(milliseconds(0), milliseconds(3)) : some(milliseconds(3), timeout);
    const auto answered = [this, &who, epoch, life, order, state](bool accepted) {
      on_instance(who, [this, &who, epoch, life, order, state, accepted] {
        if (*state != 0 || who.life != life || who.epoch != epoch || !who.assigner) return;
        *state = 1;
        if (accepted) {
          who.assigner->on_granted(order, now_);
        } else {
          who.assigner->on_refused(order, now_);
        }
        act(who);
      });
    };
    if (arrives) {
      after(travel, [this, order, u, state, connection, answered, &who] {
        auto& target = upstreams_[static_cast<std::size_t>(u)];
        if (*state == 2 || !target.alive || target.connections != connection) return;
        const auto arrived = now_;
        if (now_ < target.late_until && chance(0.5)) {
          const auto target_life = target.life;
          after(some(seconds(2), seconds(12)), [this, order, u, arrived, target_life] {
            if (upstreams_[static_cast<std::size_t>(u)].life == target_life)
              take(u, order, arrived);
          });
          return;
        }
        const bool accepted = take(u, order, arrived);
        if (path(who, u))
          after(some(milliseconds(0), milliseconds(3)), [=] { answered(accepted); });
      });
    }
    after(timeout, [this, &who, epoch, life, u, state, number = order.link] {
      on_instance(who, [this, &who, epoch, life, u, state, number] {
        if (*state != 0 || who.life != life) return;
        *state = 2;
        if (who.epoch == epoch && who.links[static_cast<std::size_t>(u)].number == number) {
          drop_link(who, u);
        }
      });
    });
  }

  // An upstream takes a grant; false: it has seen a higher fence.
  bool take(int u, const range_action::grant& order, monotonic_time arrived) {
    auto& target = upstreams_[static_cast<std::size_t>(u)];
    for (int i = 0; i < sample_count; ++i) {
      const auto key = sample_key(i);
      if (key < order.first || key > order.last) continue;
      if (target.seen[static_cast<std::size_t>(i)] > order.fence.value) return false;
    }
    const auto length = static_cast<double>(order.hold.count()) * target.clock;
    const auto until = arrived + duration(static_cast<duration::rep>(length));
    for (int i = 0; i < sample_count; ++i) {
      const auto key = sample_key(i);
      const auto index = static_cast<std::size_t>(i);
      if (key < order.first || key > order.last) continue;
      target.seen[index] = order.fence.value;
      if (until <= now_) continue;
      note(oracle_.on_taken(upstreams_, u, i, order.fence.value, now_));
      result_.moves = oracle_.moves();
      target.held[index] = {order.fence.value, std::max(target.held[index].until, until)};
    }
    say(target.name.value + " takes " + std::to_string(order.first) + "-" +
        std::to_string(order.last) + " fence " + std::to_string(order.fence.value));
    return true;
  }

  void perform(instance& who, const range_action::release& order) {
    const int u = index_of(order.upstream);
    const auto epoch = who.epoch;
    const auto life = who.life;
    const auto failed = [this, &who, epoch, life, order] {
      on_instance(who, [this, &who, epoch, life, order] {
        if (who.life == life && who.epoch == epoch && who.assigner) {
          who.assigner->on_release_failed(order, now_);
        }
      });
    };
    if (!path(who, u)) return after(seconds(3), failed);
    after(some(milliseconds(0), milliseconds(5)), [this, &who, u, epoch, life, order, failed] {
      auto& target = upstreams_[static_cast<std::size_t>(u)];
      if (!target.alive) return after(seconds(3), failed);
      target.release(order);
      after(some(milliseconds(0), milliseconds(300)), [this, &who, u, epoch, life, order, failed] {
        if (!path(who, u)) return after(seconds(3), failed);
        on_instance(who, [this, &who, epoch, life, order] {
          if (who.life != life || who.epoch != epoch || !who.assigner) return;
          who.assigner->on_released(order, "h", now_);
          act(who);
        });
      });
    });
  }

  void note(const std::optional<std::string>& violation) {
    if (!violation) return;
    say("VIOLATION " + *violation);
    if (!result_.violation) result_.violation = violation;
  }

  void measure() {
    int held = 0;
    for (int i = 0; i < sample_count; ++i) {
      held += std::any_of(upstreams_.begin(), upstreams_.end(), [&](const auto& u) {
        return u.alive && u.held[static_cast<std::size_t>(i)].until > now_;
      });
    }
    served_ += static_cast<double>(held) / sample_count;
    ++samples_;
    after(milliseconds(100), [this] { measure(); });
  }

  void strike(const fault& f);
  instance& some_instance(const fault& f) {
    // Mostly the assigner: that is where faults hurt.
    for (const auto& one : instances_) {
      if (one->alive && one->assigner && f.who % 4 != 3) return *one;
    }
    return *instances_[f.who % instance_count];
  }

  bool with_trace_;
  std::mt19937_64 random_;
  std::priority_queue<event> events_;
  std::uint64_t order_ = 0;
  monotonic_time now_{};
  store_state store_;
  std::vector<std::unique_ptr<instance>> instances_;
  std::vector<upstream> upstreams_;
  link_number last_link_ = 0;
  int hot_ = 5;
  oracle oracle_;
  verdict result_;
  double served_ = 0;
  std::uint64_t samples_ = 0;
};

void world::strike(const fault& f) {
  auto& who = some_instance(f);
  auto& target = upstreams_[f.other % upstream_count];
  const auto length = milliseconds(f.for_ms);
  say(fault_name(f.kind) + " i" + std::to_string(who.number) + " " + target.name.value + " for " +
      std::to_string(f.for_ms));
  switch (f.kind) {
    case fault_kind::kill_instance: {
      who.alive = false;
      ++who.life;
      who.assigner.reset();
      const auto life = who.life;
      after(length, [this, &who, life] {
        if (!who.alive && who.life == life) begin(who);
      });
      return;
    }
    case fault_kind::freeze_instance:
      who.frozen_until = std::max(who.frozen_until, now_ + length);
      return;
    case fault_kind::cut_store:
      who.store_cut_until = std::max(who.store_cut_until, now_ + length);
      return;
    case fault_kind::store_down:
      store_.down_until = std::max(store_.down_until, now_ + length);
      return;
    case fault_kind::lose_answers:
      store_.losing_until = std::max(store_.losing_until, now_ + length);
      return;
    case fault_kind::cut_upstream: {
      auto& until = who.cut_until[f.other % upstream_count];
      until = std::max(until, now_ + length);
      return;
    }
    case fault_kind::isolate_upstream:
      target.isolated_until = std::max(target.isolated_until, now_ + length);
      return;
    case fault_kind::crash_upstream: {
      target.alive = false;
      target.held = {};
      target.seen = {};
      ++target.life;
      ++target.connections;
      const auto life = target.life;
      after(length, [&target, life] {
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
      ++target.connections;
      after(seconds(2), [&target] { target.listed = false; });
      return;
    case fault_kind::drain_upstream:
      target.draining = true;
      after(length, [&target] { target.draining = false; });
      return;
    case fault_kind::late_grants:
      target.late_until = std::max(target.late_until, now_ + length);
      return;
    case fault_kind::break_links:
      for (auto& u : upstreams_) ++u.connections;
      return;
    case fault_kind::shift_load:
      hot_ = static_cast<int>(f.other % sample_count);
      return;
    case fault_kind::concede:
      if (who.alive && who.assigner && now_ >= who.frozen_until) give_up(who);
      return;
  }
}

}  // namespace

verdict run(const scenario& s, bool with_trace) { return world(s, with_trace).run(); }

}  // namespace plantainpaddle::range_model
