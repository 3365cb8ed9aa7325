// Passive health checks of a service's upstreams: an upstream that fails or is much slower than the
// others is set aside, which means that it gets no requests, until a probe of it succeeds.
//
//   health_tracker health({.set_aside = 0.34}, count);
//   health.on_success(i, latency, now);  health.on_failure(i, failure_kind::refused, now);
//   for (auto i : health.probes_due(now)) ...   // open a fresh connection; then on_probe()
//   health.usable(i, now);  health.share(i, now);
//
// Upstreams are identified by the index of their row. At most floor(set_aside * count) of them are
// set aside at a time; while that many are, no further one is. A load report of an upstream never
// sets it aside: it only lowers the upstream's share of load, and its effect fades with age. Not
// thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"
#include "ownership/messages.h"

namespace plantainpaddle {

enum class failure_kind {
  refused,   // a fresh connection was refused
  timeout,   // no answer came in time
  dead,      // an open connection's bytes aren't acknowledged: the machine can't be reached
  silent,    // an open connection made no progress, perhaps by a fault of the connection alone
  error,     // a broken or failed answer
  overload,  // the upstream shed the request, so it is alive; not counted as a failure
};

struct health_config {
  double set_aside = 0.34;                  // largest share of the upstreams that may be set aside
  std::uint32_t failures_to_set_aside = 3;  // consecutive failures
  duration min_set_aside_time = milliseconds(500);  // doubles with each repetition
  duration max_set_aside_time = seconds(10);
  double slow_factor = 4;  // beyond this many times the others' median latency: gray failure
  std::uint32_t min_samples = 20;     // least number of observations to judge a latency by
  duration report_life = seconds(2);  // the effect of a report fades to nothing over this time
  double min_report_share = 0.5;      // share of load under the worst report
  duration probe_timeout = milliseconds(200);

  bool operator==(const health_config&) const = default;
};

class health_tracker {
 public:
  health_tracker(health_config config, std::size_t upstreams);

  void on_success(std::size_t upstream, duration latency, monotonic_time now);
  void on_failure(std::size_t upstream, failure_kind kind, monotonic_time now);
  void on_report(std::size_t upstream, const load_report& report, monotonic_time now);

  // Returns the upstreams to probe on a fresh connection now: those with a silent connection, and
  // those whose time aside is over. Each is returned once until on_probe() or probe_timeout.
  std::vector<std::size_t> probes_due(monotonic_time now);
  void on_probe(std::size_t upstream, bool answered, monotonic_time now);

  // False while the upstream is set aside.
  bool usable(std::size_t upstream, monotonic_time now) const;
  // Returns the share of its normal load that an upstream should get by its last report alone, in
  // [0, 1].
  double share(std::size_t upstream, monotonic_time now) const;
  duration latency(std::size_t upstream) const { return states_[upstream].latency; }
  std::size_t set_aside_count(monotonic_time now) const;
  std::size_t max_set_aside() const;
  std::size_t size() const { return states_.size(); }

 private:
  struct upstream_state {
    std::uint32_t consecutive_failures = 0;
    std::uint32_t times_set_aside = 0;  // since the upstream last proved healthy
    std::uint32_t samples = 0;
    duration latency{0};
    bool is_set_aside = false;
    monotonic_time set_aside_until;
    bool needs_probe = false;
    std::optional<monotonic_time> probe_sent_at;
    std::optional<load_report> report;
    monotonic_time reported_at;
  };

  void set_upstream_aside(std::size_t upstream, monotonic_time now);
  bool is_slow(std::size_t upstream) const;

  health_config config_;
  std::vector<upstream_state> states_;
};

}  // namespace plantainpaddle
