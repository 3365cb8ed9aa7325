// naive: sent at once, FIFO at the upstream, each attempt given up after its timeout and sent again
// up to three times; the upstream works on what was given up. previous: the same without retries.
// ours: admission at the dispatcher of each upstream, retries by decide_retry, cancellation at the
// deadline; for services without keys choose_upstream with the instance's own counts and health.

#include "bench/policy_requests.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <queue>
#include <random>

#include "routing/balance.h"
#include "routing/health.h"

namespace plantainpaddle::bench {
namespace {

constexpr std::size_t instances = 10;
constexpr std::size_t tenants = 20;
constexpr std::uint32_t naive_attempts = 4;
constexpr duration report_period = milliseconds(250);
constexpr monotonic_time start{seconds(1000)};

enum class event_kind { arrive, send, done, attempt_over, wake, report };

struct event {
  monotonic_time at;
  std::uint64_t order = 0;
  event_kind kind = event_kind::arrive;
  std::size_t request = 0;  // or the class of an arrival, or the upstream of a wake
  std::uint32_t attempt = 0;
  bool operator>(const event& other) const {
    return at != other.at ? at > other.at : order > other.order;
  }
};

struct request_state {
  std::size_t klass = 0;
  std::size_t tenant = 0;
  std::size_t upstream = 0;
  monotonic_time arrived;
  monotonic_time started;
  duration work{0};
  std::uint32_t attempts = 0;
  bool answered = false;  // complete, failed or given up
  bool running = false;   // ours: holds a slot
  bool counted = false;
};

class simulation {
 public:
  simulation(const deployment& where, const service_model& service, way w,
             const request_scenario& scenario, const request_policy& policy)
      : where_(where),
        service_(service),
        way_(w),
        scenario_(scenario),
        random_(scenario.seed),
        budget_(policy.retry),
        busy_(service.upstreams),
        fifo_(service.upstreams) {
    auto gate = policy.gate;
    gate.slots = where.slots;
    for (std::size_t u = 0; u < service.upstreams; ++u) gates_.emplace_back(gate);
    for (std::size_t i = 0; i < instances; ++i) {
      health_.emplace_back(health_config{}, service.upstreams);
      outstanding_.emplace_back(service.upstreams);
    }
  }

  request_figures run() {
    for (std::size_t c = 0; c < request_class_count; ++c) {
      if (scenario_.load[c] > 0) push(start + next_gap(c), event_kind::arrive, c);
    }
    push(start, event_kind::report, 0);
    while (!events_.empty()) {
      const event e = events_.top();
      events_.pop();
      now_ = e.at;
      handle(e);
    }
    return figures();
  }

 private:
  void push(monotonic_time at, event_kind kind, std::size_t request, std::uint32_t attempt = 0) {
    events_.push({at, ++order_, kind, request, attempt});
  }

  double total_slots() const { return static_cast<double>(service_.upstreams * where_.slots); }

  duration next_gap(std::size_t klass) {
    const double rate = scenario_.load[klass] * total_slots() / mean_work_seconds(klass);
    return duration(
        static_cast<std::int64_t>(1 + 1e6 * std::exponential_distribution<double>(rate)(random_)));
  }

  bool open() const { return now_ < start + scenario_.length; }

  void handle(const event& e) {
    switch (e.kind) {
      case event_kind::arrive:
        return arrive(e.request);
      case event_kind::send:
        return send(e.request);
      case event_kind::done:
        return done(e.request, e.attempt);
      case event_kind::attempt_over:
        return attempt_over(e.request, e.attempt);
      case event_kind::wake:
        return take(gates_[e.request].expire(now_));
      case event_kind::report:
        return report();
    }
  }

  void arrive(std::size_t klass) {
    if (!open()) return;
    push(now_ + next_gap(klass), event_kind::arrive, klass);
    request_state made;
    made.klass = klass;
    // One tenant in twenty asks for a third.
    made.tenant = random_() % 3 == 0 ? 0 : random_() % tenants;
    made.arrived = now_;
    made.counted = now_ >= start + scenario_.warm_up;
    const double log_work = std::log(static_cast<double>(median_work[klass].count())) +
                            work_sigma * std::normal_distribution<double>()(random_);
    made.work = duration(static_cast<std::int64_t>(std::exp(log_work)));
    made.upstream = random_() % service_.upstreams;  // of the key, if the service has keys
    requests_.push_back(made);
    budget_.on_request();
    send(requests_.size() - 1);
  }

  monotonic_time deadline(const request_state& r) const {
    return r.arrived + request_deadline[r.klass];
  }

  std::size_t instance_of(std::size_t id) const { return id % instances; }

  void choose(std::size_t id) {
    auto& r = requests_[id];
    if (service_.keyed) return;
    if (way_ != way::ours) {
      r.upstream = random_() % service_.upstreams;
      // Believes what the upstream says of itself.
      if (fault_active() && scenario_.fault->misreports &&
          r.upstream == scenario_.fault->upstream) {
        r.upstream = (r.upstream + 1) % service_.upstreams;
      }
      return;
    }
    auto& health = health_[instance_of(id)];
    for (const auto due : health.probes_due(now_)) {
      const bool frozen =
          fault_active() && scenario_.fault->slowdown == 0 && due == scenario_.fault->upstream;
      if (!frozen) health.on_probe(due, true, now_);
    }
    std::vector<balance_candidate> candidates(service_.upstreams);
    for (std::size_t u = 0; u < candidates.size(); ++u) {
      candidates[u].slots = where_.slots;
      candidates[u].outstanding = outstanding_[instance_of(id)][u];
      candidates[u].usable = health.usable(u, now_);
      candidates[u].share = health.share(u, now_);
    }
    const auto except = r.attempts > 0 ? std::optional(r.upstream) : std::nullopt;
    if (const auto chosen = choose_upstream(candidates, random_(), except)) r.upstream = *chosen;
  }

  void send(std::size_t id) {
    choose(id);
    auto& r = requests_[id];
    ++r.attempts;
    if (r.counted) ++sent_;
    if (way_ == way::ours) return offer(id);
    const auto patience = way_ == way::naive ? attempt_timeout[r.klass] : request_deadline[r.klass];
    push(now_ + patience, event_kind::attempt_over, id, r.attempts);
    if (busy_[r.upstream] < where_.slots) {
      start_naive(id, r.attempts);
    } else {
      fifo_[r.upstream].push_back({id, r.attempts, r.upstream});
      most_queued_ = std::max(most_queued_, fifo_[r.upstream].size());
    }
  }

  // naive and previous.

  void start_naive(std::size_t id, std::uint32_t attempt) {
    auto& r = requests_[id];
    ++busy_[r.upstream];
    running_on_[{id, attempt}] = r.upstream;
    push(finish_time(r), event_kind::done, id, attempt);
  }

  void done_naive(std::size_t id, std::uint32_t attempt) {
    const auto place = running_on_.find({id, attempt});
    const std::size_t u = place->second;
    running_on_.erase(place);
    --busy_[u];
    complete(id);
    while (busy_[u] < where_.slots && !fifo_[u].empty()) {
      const auto next = fifo_[u].front();
      fifo_[u].pop_front();
      auto& r = requests_[next.id];
      const auto current = r.upstream;
      r.upstream = u;
      start_naive(next.id, next.attempt);
      r.upstream = current;
    }
  }

  // ours.

  void offer(std::size_t id) {
    auto& r = requests_[id];
    ++outstanding_[instance_of(id)][r.upstream];
    auto& gate = gates_[r.upstream];
    const auto offered = gate.offer(
        {id, static_cast<request_class>(r.klass), tenant_id{std::to_string(r.tenant)}, deadline(r)},
        now_);
    refuse_all(offered.expired);
    refuse_all(offered.displaced);
    most_queued_ = std::max(most_queued_, gate.queued());
    switch (offered.verdict) {
      case admission_verdict::admitted:
        return start_ours(id);
      case admission_verdict::queued:
        return push(*gate.next_wakeup(), event_kind::wake, r.upstream);
      case admission_verdict::refused:
        return failed(id, run_state::not_run);
    }
  }

  void start_ours(std::size_t id) {
    auto& r = requests_[id];
    r.running = true;
    r.started = now_;
    push(finish_time(r), event_kind::done, id, r.attempts);
    const auto patience = std::min<duration>(attempt_timeout[r.klass], deadline(r) - now_);
    push(now_ + patience, event_kind::attempt_over, id, r.attempts);
  }

  void done_ours(std::size_t id, std::uint32_t attempt) {
    auto& r = requests_[id];
    if (!r.running || attempt != r.attempts) return;  // cancelled before
    health_[instance_of(id)].on_success(r.upstream, now_ - r.started, now_);
    complete(id);
    release(id, true);
  }

  void release(std::size_t id, bool observe) {
    auto& r = requests_[id];
    r.running = false;
    --outstanding_[instance_of(id)][r.upstream];
    take(gates_[r.upstream].finish(id, now_, observe));
  }

  void take(const admission_changes& changes) {
    for (const auto id : changes.admitted) start_ours(id);
    refuse_all(changes.expired);
  }

  void refuse_all(const std::vector<admission_id>& ids) {
    for (const auto id : ids) failed(id, run_state::not_run);
  }

  void failed(std::size_t id, run_state known) {
    auto& r = requests_[id];
    if (known == run_state::not_run) --outstanding_[instance_of(id)][r.upstream];
    const bool idempotent = static_cast<request_class>(r.klass) != request_class::order;
    const auto decision = decide_retry(budget_,
                                       {.attempts = r.attempts,
                                        .known = known,
                                        .idempotent = idempotent,
                                        .expected = median_work[r.klass],
                                        .deadline = deadline(r),
                                        .now = now_},
                                       random_());
    if (!decision.retry) {
      r.answered = true;
      return;
    }
    push(now_ + decision.delay, event_kind::send, id);
  }

  // Both.

  bool fault_active() const {
    return scenario_.fault && now_ >= start + scenario_.fault->from &&
           now_ < start + scenario_.fault->until;
  }

  monotonic_time finish_time(const request_state& r) const {
    if (!fault_active() || r.upstream != scenario_.fault->upstream) return now_ + r.work;
    if (scenario_.fault->slowdown == 0) return start + scenario_.fault->until + r.work;
    return now_ + duration(static_cast<std::int64_t>(scenario_.fault->slowdown *
                                                     static_cast<double>(r.work.count())));
  }

  void done(std::size_t id, std::uint32_t attempt) {
    if (way_ == way::ours) {
      done_ours(id, attempt);
    } else {
      done_naive(id, attempt);
    }
  }

  void attempt_over(std::size_t id, std::uint32_t attempt) {
    auto& r = requests_[id];
    if (r.answered || attempt != r.attempts) return;
    if (way_ == way::ours) {
      if (!r.running) return;
      health_[instance_of(id)].on_failure(r.upstream, failure_kind::timeout, now_);
      release(id, false);
      failed(id, run_state::unknown);
    } else if (way_ == way::naive && r.attempts < naive_attempts) {
      send(id);
    } else {
      r.answered = true;
    }
  }

  void complete(std::size_t id) {
    auto& r = requests_[id];
    if (r.answered) return;
    r.answered = true;
    if (now_ > deadline(r)) return;
    if (now_ >= start + scenario_.warm_up && now_ < start + scenario_.length) {
      done_work_ += std::chrono::duration<double>(r.work).count();
    }
    if (!r.counted) return;
    ++complete_[r.klass];
    latency_[r.klass].push_back(std::chrono::duration<double>(now_ - r.arrived).count());
  }

  void report() {
    if (!open()) return;
    push(now_ + report_period, event_kind::report, 0);
    if (way_ != way::ours || !fault_active() || !scenario_.fault->misreports) return;
    for (auto& health : health_) {
      health.on_report(scenario_.fault->upstream, {.shedding = true}, now_);
    }
  }

  request_figures figures() {
    request_figures made;
    for (std::size_t c = 0; c < request_class_count; ++c) {
      auto& latencies = latency_[c];
      made.classes[c].complete = complete_[c];
      if (latencies.empty()) continue;
      const auto place =
          latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() * 99 / 100);
      std::nth_element(latencies.begin(), place, latencies.end());
      made.classes[c].p99_seconds = *place;
    }
    for (const auto& r : requests_) {
      if (!r.counted) continue;
      ++made.asked;
      ++made.classes[r.klass].asked;
    }
    made.sent = sent_;
    const double span = std::chrono::duration<double>(scenario_.length - scenario_.warm_up).count();
    made.goodput_ratio = done_work_ / (total_slots() * span);
    made.most_queued = static_cast<double>(most_queued_);
    return made;
  }

  struct waiting_attempt {
    std::size_t id;
    std::uint32_t attempt;
    std::size_t upstream;
  };

  const deployment& where_;
  const service_model& service_;
  way way_;
  const request_scenario& scenario_;
  std::mt19937_64 random_;
  retry_budget budget_;
  monotonic_time now_ = start;
  std::uint64_t order_ = 0;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  std::deque<request_state> requests_;
  std::vector<std::uint32_t> busy_;
  std::vector<std::deque<waiting_attempt>> fifo_;
  std::map<std::pair<std::size_t, std::uint32_t>, std::size_t> running_on_;
  std::vector<admission> gates_;
  std::vector<health_tracker> health_;
  std::vector<std::vector<std::uint32_t>> outstanding_;
  per_class<double> complete_{};
  per_class<std::vector<double>> latency_;
  double sent_ = 0;
  double done_work_ = 0;
  std::size_t most_queued_ = 0;
};

}  // namespace

request_figures run_requests(const deployment& where, const service_model& service, way w,
                             const request_scenario& scenario, const request_policy& policy) {
  return simulation(where, service, w, scenario, policy).run();
}

}  // namespace plantainpaddle::bench
