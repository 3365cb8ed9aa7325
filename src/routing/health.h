// Which upstreams of a service are set aside on suspicion, from one's own observations first.
//
//   health_tracker health({.set_aside = 0.34}, count);
//   health.on_success(i, latency, now);  health.on_failure(i, failure_kind::refused, now);
//   for (auto i : health.probes_due(now)) ...   // open a fresh connection; then on_probe()
//   health.usable(i, now);  health.share(i, now);
//
// An upstream is the index of its row. Not thread-safe. At most floor(set_aside * count) upstreams
// are set aside at a time, the worst ones. Reports only lower the share of load, and age; they
// never set an upstream aside.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"
#include "ownership/messages.h"

namespace plantainpaddle {

enum class failure_kind {
  refused,   // a fresh connection was refused
  timeout,   // an answer didn't come in time
  dead,      // an open connection's bytes aren't acknowledged: the machine can't be reached
  silent,    // an open connection made no progress: says little of the upstream itself
  error,     // a broken or failed answer
  overload,  // the upstream shed the request: it lives
};

struct health_config {
  double set_aside = 0.34;                  // largest share of upstreams set aside
  std::uint32_t failures_to_set_aside = 3;  // in a row
  duration first_rest = milliseconds(500);  // set aside for this long, doubled for each next time
  duration longest_rest = seconds(10);
  double slow_factor = 4;             // times the service's median latency: gray failure
  std::uint32_t least_samples = 20;   // observations before latency is judged
  duration report_life = seconds(2);  // a report counts for less and less over this time
  double least_report_share = 0.5;    // share of load under the worst report
  duration probe_timeout = milliseconds(200);

  bool operator==(const health_config&) const = default;
};

class health_tracker {
 public:
  health_tracker(health_config config, std::size_t upstreams);

  void on_success(std::size_t upstream, duration latency, monotonic_time now);
  void on_failure(std::size_t upstream, failure_kind kind, monotonic_time now);
  void on_report(std::size_t upstream, const load_report& report, monotonic_time now);

  // Upstreams to be probed on a fresh connection now: after silence, and at the end of a rest.
  // Each is named once until on_probe() or the probe's time limit.
  std::vector<std::size_t> probes_due(monotonic_time now);
  void on_probe(std::size_t upstream, bool answered, monotonic_time now);

  bool usable(std::size_t upstream, monotonic_time now) const;
  // Of its normal load, between 0 and 1, by reports alone.
  double share(std::size_t upstream, monotonic_time now) const;
  duration latency(std::size_t upstream) const { return states_[upstream].latency; }
  std::size_t set_aside(monotonic_time now) const;
  std::size_t most_set_aside() const;
  std::size_t size() const { return states_.size(); }

 private:
  struct upstream_state {
    std::uint32_t failures = 0;  // in a row
    std::uint32_t rests = 0;     // in a row
    std::uint32_t samples = 0;
    duration latency{0};
    bool aside = false;
    monotonic_time aside_until;
    bool wants_probe = false;
    std::optional<monotonic_time> probe_sent;
    std::optional<load_report> report;
    monotonic_time reported;
  };

  void put_aside(std::size_t upstream, monotonic_time now);
  bool is_slow(std::size_t upstream) const;

  health_config config_;
  std::vector<upstream_state> states_;
};

}  // namespace plantainpaddle
