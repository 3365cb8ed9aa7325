// Requests of several kinds for a service's upstreams, which run four at a time in the order of
// arrival and have 16 queue places. All instances are one here, which observes each upstream every
// 150 ms, as with an exchange of observations that works.
//
//   auto seen = simulate({.kinds = {...}, .load = [](std::int64_t ms) { return 1.15; }});
//   BOOST_TEST(seen[0].in_time() > 0.9);
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "routing/placement.h"
#include "routing/priority_admission.h"

namespace plantainpaddle::contended {

struct kind {
  double share = 1;  // of the load
  std::int64_t work_ms = 190;
  std::int64_t target_ms = 500;
  std::int64_t budget_ms = 1500;
  std::size_t rank = 0;
};

struct scenario {
  std::vector<kind> kinds{{}};
  std::function<double(std::int64_t)> load;  // busy share of all slots that requests would need
  std::int64_t length_ms = 12'000;
  std::size_t upstreams = 20;
  bool states_slowdown = true;
  bool slowed = false;  // each upstream, 3 times, for 400 ms every 2 s
  bool admits = false;  // refuses by priority_admission
};

struct kind_result {
  double requests = 0;
  double on_time = 0;  // within the target, counted from the caller's first attempt
  double refused = 0;  // for good: callers try again once
  double sent = 0;
  double sent_to_slowed = 0;
  double in_time() const { return on_time / std::max(1.0, requests); }
};

inline monotonic_time at(std::int64_t ms) { return monotonic_time(milliseconds(1'000'000 + ms)); }
inline upstream_id name_of(std::size_t i) { return {"u" + std::to_string(i)}; }

class simulation {
 public:
  explicit simulation(const scenario& s)
      : scenario_(s), service_({.domain = {"d1"}}), upstreams_(s.upstreams) {
    std::vector<placement_upstream> listed;
    for (std::size_t i = 0; i < s.upstreams; ++i) listed.push_back({name_of(i), {"d1"}, slots});
    service_.set_contended(true);
    service_.set_upstreams(listed, at(0));
    for (auto& one : upstreams_) one.phase = static_cast<std::int64_t>(random_() % 2000);
    results_.resize(s.kinds.size());
  }

  std::vector<kind_result> run() {
    std::vector<double> due(scenario_.kinds.size());
    for (std::int64_t now = 0; now < scenario_.length_ms; now += step) {
      for (std::size_t i = 0; i < upstreams_.size(); ++i) advance(i, now);
      for (std::size_t k = 0; k < due.size(); ++k) {
        const auto& kind = scenario_.kinds[k];
        const double slots_in_use = scenario_.load(now) * kind.share * slots * upstreams_.size();
        due[k] += slots_in_use / static_cast<double>(kind.work_ms) * step;
        for (; due[k] >= 1; --due[k]) {
          ++results_[k].requests;
          arrive({k, static_cast<double>(kind.work_ms), now}, now, false);
        }
      }
      const auto end = returns_.upper_bound(now);
      for (auto it = returns_.begin(); it != end; ++it) arrive(it->second, now, true);
      returns_.erase(returns_.begin(), end);
    }
    return results_;
  }

 private:
  static constexpr std::uint32_t slots = 4;
  static constexpr std::size_t places = 16;
  static constexpr std::int64_t step = 5;

  struct job {
    std::size_t kind = 0;
    double left_ms = 0;
    std::int64_t begun = 0;  // the caller's first attempt
    std::int64_t sent = 0;
  };
  struct upstream {
    std::int64_t phase = 0;
    std::deque<job> jobs;
  };

  double slowdown(const upstream& one, std::int64_t now) const {
    return scenario_.slowed && (now + one.phase) % 2000 < 400 ? 3 : 1;
  }

  reported_load load_of(const upstream& one, std::int64_t now) const {
    const auto running = std::min<std::size_t>(slots, one.jobs.size());
    reported_load load{static_cast<std::uint32_t>(running),
                       static_cast<std::uint32_t>(one.jobs.size() - running),
                       slots,
                       {}};
    if (scenario_.states_slowdown) load.slowdown = slowdown(one, now);
    return load;
  }

  void advance(std::size_t index, std::int64_t now) {
    auto& one = upstreams_[index];
    const auto running = std::min<std::size_t>(slots, one.jobs.size());
    for (std::size_t j = 0; j < running; ++j) one.jobs[j].left_ms -= step / slowdown(one, now);
    for (std::size_t j = running; j-- > 0;) {
      if (one.jobs[j].left_ms > 0) continue;
      const job done = one.jobs[j];
      one.jobs.erase(one.jobs.begin() + static_cast<std::ptrdiff_t>(j));
      const auto& kind = scenario_.kinds[done.kind];
      if (now - done.begun <= kind.target_ms) ++results_[done.kind].on_time;
      service_.on_end(name_of(index),
                      {.work = std::to_string(done.kind),
                       .latency = milliseconds(now - done.sent),
                       .load = load_of(one, now)},
                      at(now));
    }
    if (now % 150 == static_cast<std::int64_t>(index % 30) * step) {
      service_.observe(name_of(index), {load_of(one, now), milliseconds(1)}, at(now));
    }
  }

  void arrive(job one, std::int64_t now, bool again) {
    const auto& kind = scenario_.kinds[one.kind];
    auto& result = results_[one.kind];
    const auto left = milliseconds(kind.budget_ms - (now - one.begun));
    const auto work = std::to_string(one.kind);
    const auto chosen = service_.choose({.work = work, .left = left, .now = at(now)}, random_());
    duration again_in = milliseconds(100);
    bool refused = !chosen.upstream;
    if (scenario_.admits) {
      auto urgent_wait = duration::max();
      for (std::size_t k = 0; k < scenario_.kinds.size(); ++k) {
        const auto& other = scenario_.kinds[k];
        if (other.rank > 0) continue;
        urgent_wait =
            std::min(urgent_wait, affordable_wait(milliseconds(other.target_ms),
                                                  service_.service_time(std::to_string(k))));
      }
      std::size_t ranks = 1;
      for (const auto& other : scenario_.kinds) ranks = std::max(ranks, other.rank + 1);
      const auto admitted = decide_by_priority({.expected = chosen.expected,
                                                .wait = chosen.wait,
                                                .target = milliseconds(kind.target_ms),
                                                .left = left,
                                                .allowed = milliseconds(kind.budget_ms),
                                                .rank = kind.rank,
                                                .ranks = ranks,
                                                .urgent_wait = urgent_wait,
                                                .usage = chosen.usage,
                                                .report_age = chosen.report_age},
                                               random_());
      refused = refused || admitted.term.verdict == send_verdict::refuse;
      again_in = admitted.term.again_in;
    }
    std::size_t index = 0;
    if (!refused) {
      index = std::stoul(chosen.upstream->value.substr(1));
      ++result.sent;
      result.sent_to_slowed += slowdown(upstreams_[index], now) > 1 ? 1 : 0;
      refused = upstreams_[index].jobs.size() >= slots + places;
    }
    if (!refused) {
      service_.on_sent(*chosen.upstream, at(now));
      one.sent = now;
      upstreams_[index].jobs.push_back(one);
    } else if (again) {
      ++result.refused;
    } else {
      returns_.emplace(now + std::max<std::int64_t>(step, again_in.count() / 1000), one);
    }
  }

  const scenario& scenario_;
  placement service_;
  std::mt19937_64 random_{3};
  std::vector<upstream> upstreams_;
  std::multimap<std::int64_t, job> returns_;
  std::vector<kind_result> results_;
};

inline std::vector<kind_result> simulate(const scenario& s) { return simulation(s).run(); }

}  // namespace plantainpaddle::contended
