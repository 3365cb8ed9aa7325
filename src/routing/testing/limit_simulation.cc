#include "routing/testing/limit_simulation.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>

#include "routing/upstream_limits.h"

namespace plantainpaddle::testing {
namespace {

constexpr duration start_time = seconds(20);  // before the first request; all lists are read
constexpr duration list_period = seconds(5);
constexpr duration registration_lease = seconds(8);
constexpr duration ask_timeout = milliseconds(250);
constexpr duration longest_wait = milliseconds(200);
constexpr duration burst_length = seconds(2);
// What an instance that is cut off from the others sends isn't counted, up to this time after.
constexpr duration excused_after_cut = seconds(3);
constexpr std::int64_t max_latency_us = 20'000;
constexpr duration second_read = milliseconds(700);  // of an instance that has registered
constexpr duration write_time = milliseconds(500);   // until it has registered, at most
constexpr duration permit_life = milliseconds(250);
constexpr duration cold_window = seconds(1);

permit_config cold_config() {
  permit_config config;
  config.quiet_time = seconds(2);
  config.list_life = seconds(12);
  return config;
}

struct simulated_instance {
  std::string name;
  std::optional<upstream_permits> permits;  // empty while the process doesn't run
  monotonic_time silent_until{};
  monotonic_time cut_until{};
  monotonic_time parted_until{};
  std::optional<monotonic_time> registered_until;  // the end of a registration that isn't renewed
  bool registered = false;
  std::uint64_t life = 0;
  std::map<std::size_t, monotonic_time> alone;  // next request, by upstream
};

class limit_world {
 public:
  explicit limit_world(const limit_scenario& scenario)
      : scenario_(scenario), random_(scenario.seed), sent_(scenario.limits.size()) {
    for (std::size_t i = 0; i < scenario.instances; ++i) {
      instances_.push_back({.name = "instance-" + std::to_string(i)});
      if (!scenario.starts_within) {
        start(i);
        continue;
      }
      const auto before = duration(static_cast<duration::rep>(
          uniform() * static_cast<double>(scenario.starts_within->count())));
      at(time_of(-before), [this, i] { start(i); });
    }
    for (const auto& event : scenario.events) {
      at(time_of(event.at), [this, event] { happen(event); });
    }
    for (std::size_t u = 0; u < scenario.limits.size(); ++u) schedule_arrival(u, time_of({}));
  }

  limit_outcome run() {
    const auto end = time_of(scenario_.length);
    while (!events_.empty() && events_.top().time <= end) {
      auto next = events_.top();
      events_.pop();
      now_ = next.time;
      next.run();
    }
    return measure();
  }

 private:
  struct event {
    monotonic_time time;
    std::uint64_t number = 0;
    std::function<void()> run;
    bool operator<(const event& other) const {
      return time != other.time ? time > other.time : number > other.number;
    }
  };

  static monotonic_time time_of(duration d) { return monotonic_time{} + start_time + d; }
  void at(monotonic_time time, std::function<void()> run) {
    events_.push({time, ++last_event_, std::move(run)});
  }
  double uniform() { return std::uniform_real_distribution<double>()(random_); }
  duration latency() {
    return duration(std::uniform_int_distribution<std::int64_t>(500, max_latency_us)(random_));
  }

  void start(std::size_t i) {
    auto& one = instances_[i];
    one.permits.emplace(one.name, is_guarded() ? cold_config() : permit_config{});
    one.registered = true;
    one.registered_until.reset();
    one.alone.clear();
    const auto life = ++one.life;
    at(now_ + latency(), [this, i, life] { read_list(i, life); });
    if (!scenario_.cold) return;
    // The registration takes two calls of a store that others call as well. Some time later the
    // list is read once more; this read begins no series of its own.
    one.registered = false;
    const auto registration =
        duration(static_cast<duration::rep>(uniform() * static_cast<double>(write_time.count())));
    at(now_ + registration, [this, i, life] {
      if (instances_[i].life == life) instances_[i].registered = true;
    });
    at(now_ + registration + second_read, [this, i, life] {
      if (instances_[i].life == life) take_list(i);
    });
  }

  bool is_guarded() const { return scenario_.cold && scenario_.guarded; }
  bool is_parted(const simulated_instance& one) const { return now_ < one.parted_until; }

  void stop(std::size_t i) {
    instances_[i].permits.reset();
    ++instances_[i].life;
  }

  void read_list(std::size_t i, std::uint64_t life) {
    if (instances_[i].life != life) return;
    take_list(i);
    const auto pause = list_period - duration(static_cast<duration::rep>(uniform() * 1e6));
    at(now_ + pause, [this, i, life] { read_list(i, life); });
  }

  void take_list(std::size_t i) {
    auto& reader = instances_[i];
    if (now_ < reader.silent_until || is_parted(reader)) return;
    if (now_ < time_of(scenario_.list_after) && scenario_.list_after != duration::zero()) return;
    std::map<std::string, std::string> addresses;
    for (std::size_t j = 0; j < instances_.size(); ++j) {
      auto& one = instances_[j];
      if (one.registered_until && now_ >= *one.registered_until) one.registered = false;
      if (one.registered) addresses[one.name] = std::to_string(j);
    }
    reader.permits->set_instances(addresses, now_);
  }

  void happen(const limit_event& event) {
    auto& one = instances_[event.instance];
    if (!one.permits) return;
    switch (event.fault) {
      case limit_fault::silent:
        one.silent_until = now_ + event.length;
        return;
      case limit_fault::cut:
        one.cut_until = now_ + event.length;
        return;
      case limit_fault::part:
        one.parted_until = now_ + event.length;
        one.registered_until = now_ + registration_lease;
        at(one.parted_until, [this, i = event.instance, life = one.life] {
          if (instances_[i].life != life) return;
          instances_[i].registered = true;
          instances_[i].registered_until.reset();
        });
        return;
      case limit_fault::kill:
        one.registered_until = now_ + registration_lease;
        break;
      case limit_fault::leave:
        one.registered = false;
        break;
    }
    stop(event.instance);
    at(now_ + event.length, [this, i = event.instance] { start(i); });
  }

  void schedule_arrival(std::size_t u, monotonic_time from) {
    const auto burst_from = time_of(scenario_.burst_at);
    const bool burst = from >= burst_from && from < burst_from + burst_length;
    const double rate = scenario_.limits[u] * scenario_.demand * (burst ? scenario_.burst : 1);
    const double gap = std::exponential_distribution<double>(rate)(random_);
    const auto time = from + duration(static_cast<duration::rep>(gap * 1e6));
    at(time, [this, u] {
      arrive(u);
      schedule_arrival(u, now_);
    });
  }

  bool is_working(const simulated_instance& one) const {
    return one.permits.has_value() && now_ >= one.silent_until;
  }

  void arrive(std::size_t u) {
    const auto i = std::uniform_int_distribution<std::size_t>(0, instances_.size() - 1)(random_);
    auto& one = instances_[i];
    if (!is_working(one)) return;
    ++arrived_;
    const double stated = scenario_.limits[u];
    const double limit = scenario_.cold ? cold_permit_rate(stated, *scenario_.cold) : stated;
    const permit_request request{{"upstream-" + std::to_string(u)}, limit, {}, longest_wait};
    switch (scenario_.policy) {
      case limit_policy::nobody:
        return send(u);
      case limit_policy::each_instance_alone: {
        auto& next = one.alone[u];
        if (now_ < next) return;
        next = now_ + duration(static_cast<duration::rep>(1e6 / limit));
        return send(u);
      }
      case limit_policy::permits:
        return follow(i, u, request, one.permits->begin(request, now_));
    }
  }

  void follow(std::size_t i, std::size_t u, const permit_request& request,
              const permit_step& step) {
    if (const auto* decision = std::get_if<permit_decision>(&step)) return decide(i, u, *decision);
    const auto& issuer = std::get<permit_issuer>(step);
    const auto j = std::stoul(issuer.address);
    const auto life = instances_[i].life;
    auto answered = std::make_shared<bool>(false);
    const auto fail = [this, i, u, request, issuer, life, answered] {
      if (*answered || instances_[i].life != life) return;
      *answered = true;
      follow(i, u, request, instances_[i].permits->on_no_answer(request, issuer, now_));
    };
    at(now_ + ask_timeout, fail);
    if (uniform() < scenario_.lost_messages || now_ < instances_[i].cut_until) return;
    if (is_parted(instances_[i]) != is_parted(instances_[j])) return;
    at(now_ + latency(), [this, i, j, u, request, life, answered, fail] {
      auto& asked = instances_[j];
      if (now_ < asked.cut_until || is_parted(instances_[i]) != is_parted(asked)) return;
      if (asked.permits && now_ < asked.silent_until) return;
      if (!asked.permits || !asked.permits->may_issue(now_)) return at(now_ + latency(), fail);
      const auto decision = asked.permits->issue(request, now_);
      if (uniform() < scenario_.lost_messages) return;
      at(now_ + latency(), [this, i, u, request, life, answered, decision] {
        if (*answered || instances_[i].life != life) return;
        *answered = true;
        instances_[i].permits->on_answer(request, decision, now_);
        decide(i, u, decision);
      });
    });
  }

  void decide(std::size_t i, std::size_t u, const permit_decision& decision) {
    if (!decision.granted) return;
    const auto life = instances_[i].life;
    const auto due = now_ + decision.wait;
    at(due, [this, i, u, life, due] {
      const auto& one = instances_[i];
      if (one.life != life) return;
      if (scenario_.cold) return send_cold(i, u, due);
      if (now_ >= one.cut_until + excused_after_cut) send(u);
    });
  }

  // A process that is paused sends what has fallen due when it goes on.
  void send_cold(std::size_t i, std::size_t u, monotonic_time due) {
    const auto& one = instances_[i];
    if (now_ < one.silent_until) {
      at(one.silent_until, [this, i, u, due, life = one.life] {
        if (instances_[i].life == life) send_cold(i, u, due);
      });
      return;
    }
    if (scenario_.guarded && now_ >= due + permit_life) return;
    const auto travel = duration(
        static_cast<duration::rep>(uniform() * static_cast<double>(scenario_.travel.count())));
    at(now_ + travel, [this, u] { send(u); });
  }

  void send(std::size_t u) { sent_[u].push_back(now_); }

  limit_outcome measure() const {
    limit_outcome seen;
    double total = 0;
    double limits = 0;
    for (std::size_t u = 0; u < sent_.size(); ++u) {
      const double limit = scenario_.limits[u];
      limits += limit;
      total += static_cast<double>(sent_[u].size());
      std::size_t first = 0;
      for (std::size_t last = 0; last < sent_[u].size(); ++last) {
        const duration window = scenario_.cold ? cold_window : limit_window;
        while (sent_[u][first] <= sent_[u][last] - window) ++first;
        const auto count = static_cast<double>(last - first + 1);
        const double share =
            count / (scenario_.cold ? limit * scenario_.cold->overrun + scenario_.cold->slack
                                    : allowed_in_window(limit));
        if (share <= seen.worst) continue;
        seen.worst = share;
        const auto since = sent_[u][last] - time_of({});
        seen.worst_case = std::to_string(last - first + 1) +
                          " requests in a window at a limit of " + std::to_string(limit) + ", " +
                          format_duration(since) + " after the start, seed " +
                          std::to_string(scenario_.seed);
      }
    }
    seen.sent = total / std::chrono::duration<double>(scenario_.length).count() / limits;
    seen.accepted = arrived_ == 0 ? 1 : total / static_cast<double>(arrived_);
    return seen;
  }

  const limit_scenario& scenario_;
  std::mt19937_64 random_;
  monotonic_time now_{};
  std::vector<simulated_instance> instances_;
  std::priority_queue<event> events_;
  std::uint64_t last_event_ = 0;
  std::vector<std::vector<monotonic_time>> sent_;
  std::size_t arrived_ = 0;
};

}  // namespace

double allowed_in_window(double limit) {
  constexpr double allowed_excess = 1.5;
  constexpr double allowed_more = 5;
  return allowed_excess * limit * std::chrono::duration<double>(limit_window).count() +
         allowed_more;
}

limit_outcome play_limits(const limit_scenario& scenario) { return limit_world(scenario).run(); }

std::vector<limit_scenario> known_limit_scenarios() {
  const std::vector<double> grown(20, 4.0);
  limit_scenario restarts{.limits = grown};  // of every instance, one after the other
  limit_scenario returns{.instances = 12, .limits = std::vector<double>(12, 17.0), .demand = 3};
  limit_scenario kills{.limits = grown, .demand = 4};
  limit_scenario freezes{.limits = grown};
  limit_scenario cuts{.limits = grown};
  for (std::size_t i = 0; i < restarts.instances; ++i) {
    const auto turn = milliseconds(300) * static_cast<int>(i);
    restarts.events.push_back({turn, limit_fault::leave, i, milliseconds(900)});
    if (i % 3 == 0) freezes.events.push_back({turn, limit_fault::silent, i, seconds(4)});
    if (i % 2 == 0) kills.events.push_back({seconds(6), limit_fault::kill, i, seconds(2)});
    if (i % 4 == 0) cuts.events.push_back({seconds(8), limit_fault::cut, i, seconds(9)});
  }
  for (std::size_t i = 0; i < returns.instances; ++i) {
    returns.events.push_back(
        {seconds(1) + seconds(2) * static_cast<int>(i), limit_fault::leave, i, seconds(10)});
  }
  return {{.limits = grown},
          {.limits = {0.4, 1, 4, 30, 200}, .demand = 5},
          {.limits = grown, .demand = 0.8, .burst_at = seconds(12), .burst = 8},
          {.limits = grown, .lost_messages = 0.2},
          restarts,
          returns,
          kills,
          freezes,
          cuts};
}

std::vector<limit_scenario> known_cold_scenarios() {
  const limit_scenario usual{.instances = 89,
                             .limits = std::vector<double>(12, 3.9),
                             .demand = 4,
                             .cold = cold_bound{1.5, 8},
                             .travel = milliseconds(500)};
  std::vector<limit_scenario> made(8, usual);
  made[1].demand = 20;
  made[2].demand = 20;
  made[2].starts_within = duration(0);
  made[2].list_after = seconds(3);
  made[3].starts_within = seconds(4);
  made[3].lost_messages = 0.1;
  for (std::size_t i = 0; i < usual.instances; ++i) {
    const auto turn = milliseconds(250) * static_cast<int>(i);
    made[4].events.push_back({turn, limit_fault::silent, i, milliseconds(1500)});
    if (i % 3 == 0) made[5].events.push_back({seconds(2), limit_fault::part, i, seconds(27)});
    made[6].events.push_back({seconds(3), limit_fault::cut, i, seconds(2)});
    made[6].events.push_back({seconds(15), limit_fault::cut, i, seconds(9)});
    made[7].events.push_back({turn, limit_fault::leave, i, milliseconds(900)});
  }
  // Rates for which the slack counts for little.
  made.push_back(usual);
  made.back().limits = {0.5, 12, 40, 120};
  return made;
}

limit_scenario random_cold_scenario(std::uint64_t seed) {
  auto made = random_limit_scenario(seed);
  std::mt19937_64 random(seed);
  const auto pick = [&](std::size_t most) {
    return std::uniform_int_distribution<std::size_t>(0, most)(random);
  };
  made.cold = cold_bound{1.5, 8};
  made.travel = milliseconds(pick(500));
  if (pick(2) == 0) made.starts_within = milliseconds(pick(5000));
  const auto parted = pick(2) == 0 ? pick(made.instances) : 0;
  const auto parted_at = milliseconds(pick(20'000));
  for (std::size_t i = 0; i < parted; ++i) {
    made.events.push_back({parted_at, limit_fault::part, i, milliseconds(500 + pick(25'000))});
  }
  return made;
}

limit_scenario random_limit_scenario(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto pick = [&](std::size_t most) {
    return std::uniform_int_distribution<std::size_t>(0, most)(random);
  };
  limit_scenario made{.instances = 2 + pick(98), .demand = 0.5 + static_cast<double>(pick(9)) / 2};
  made.limits.clear();
  for (std::size_t i = 0; i <= pick(9); ++i) {
    made.limits.push_back(0.5 + static_cast<double>(pick(400)) / 10);
  }
  made.burst_at = milliseconds(pick(25'000));
  made.burst = 1 + static_cast<double>(pick(5));
  made.lost_messages = pick(2) == 0 ? static_cast<double>(pick(10)) / 100 : 0;
  const auto events = pick(2 * made.instances);
  for (std::size_t i = 0; i < events; ++i) {
    made.events.push_back({milliseconds(pick(28'000)), static_cast<limit_fault>(pick(3)),
                           pick(made.instances - 1), milliseconds(200 + pick(9'000))});
  }
  made.seed = seed;
  return made;
}

}  // namespace plantainpaddle::testing
