// Places requests on the upstreams of a service when many instances share upstreams with few slots:
// no instance knows how many slots of an upstream are taken, each sees a fraction of the requests,
// and the load that an upstream reports in its answers is out of date when it is used.
//
//   placement service(config);
//   service.set_upstreams(upstreams, now);
//   auto decision = service.choose({.work = "stock", .left = left, .now = now}, random);
//   service.on_sent(upstream);
//   attempt_report report{.work = "stock", .latency = latency, .ended = outcome};
//   service.on_end(upstream, report, now);
//
// Upstreams are identified by their ids. Observations of an upstream are kept as long as
// set_upstreams() lists it. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace plantainpaddle {

struct placement_config {
  domain_id domain;  // failure domain of this instance
  // Weight of an upstream of another failure domain, where one of the own domain has 1. Traffic
  // between domains has a cost, but waiting costs more.
  double remote_domain_weight = 0.8;
  // Only upstreams of the own failure domain are used as long as one of them would have at most
  // this load per slot with the request, and a slowness and a share of failures below these bounds.
  double local_max_load = 0.85;
  double local_max_slowness = 1.8;
  double local_max_failure_share = 0.1;
  // Time constant of the decay of a reported load: it is out of date after about a service time.
  duration report_decay_time = milliseconds(200);
  // Weights of the newest observation in smoothed times and in the share of failures. They average
  // over about ten requests, which an instance sends to an upstream within a few seconds.
  double time_smoothing = 0.1;
  double failure_smoothing = 0.15;
  // Interval between the connections that probe an unreachable upstream. It gets no requests until
  // one succeeds.
  duration probe_period = milliseconds(300);
  duration identity_mismatch_backoff = seconds(1);  // about the time until a stale entry is removed
  // An upstream counts as unreachable after this many attempts in a row without an answer. A single
  // one may be the fault of the connection.
  std::uint32_t unreachable_after_failures = 2;
  // Time constant of the decay of the slowness towards 1 while there are no new observations, so
  // that an upstream that was slow is tried again.
  duration slowness_decay_time = seconds(6);
  // An upstream that hasn't named its limit for so long is chosen as if it had none, which shows
  // whether the limit has ended.
  duration limit_check_after = seconds(2);
  duration refusal_backoff = milliseconds(60);  // no requests for this long after it refused one
  duration initial_service_time = milliseconds(100);  // assumed before the first observation
  double cold_speed = 0.5;                            // relative speed during a cold start
  // The following are used where upstreams are contended (placement::set_contended()).
  // Time constant with which a stated slowdown passes: machines were seen slowed for 400 ms at a
  // time, of which 200 ms are left on average when a report shows it.
  duration slowdown_decay_time = milliseconds(300);
  // Upstreams that are drawn for one choice. With a fifth of them slowed, 0.2 % of the draws have
  // only slowed ones. More would send the requests of several instances to the same upstream.
  std::uint32_t contended_candidates = 4;
  // An upstream of another domain is chosen if this much is saved, and considered if the own
  // domain's costs this much more than its work. Several times the delay between domains, since
  // traffic between them has a cost, and less than a tenth of a usual request's time.
  duration remote_cost = milliseconds(30);
  // Replaces slowness_decay_time. An instance hears of an upstream every few seconds, so that a
  // shorter one forgot the usual speeds, and requests go to slow upstreams anyhow now and then.
  duration contended_slowness_decay = seconds(30);

  bool operator==(const placement_config&) const = default;
};

// An upstream of the service, as it is listed.
struct placement_upstream {
  upstream_id name;
  domain_id domain;
  std::uint32_t slots = 1;
  bool usable = true;           // false: no new requests, as it is leaving or lost
  monotonic_time warm_since{};  // end of its cold start
  std::uint64_t life = 0;       // incarnation: rises with each start under the same name
  double cold_rate = 0;         // requests per second that it takes while cold; 0: not limited
  bool operator==(const placement_upstream&) const = default;
};

// A request to be placed.
struct placement_request {
  std::string_view work;              // kind of request; those of one kind take about the same time
  duration left{0};                   // time until the deadline
  std::optional<upstream_id> only;    // the owner of the request's key
  std::optional<upstream_id> except;  // the upstream of a failed attempt; avoided if possible
  monotonic_time now;
};

enum class placement_refusal { none, no_usable_upstream, too_late, paused };

// The chosen upstream, or the reason why there is none.
struct placement_decision {
  std::optional<upstream_id> upstream;
  placement_refusal why = placement_refusal::none;
  duration expected{0};  // estimated time until the answer; with too_late: if it were sent
  // With too_late: time for the backlog to shrink. With paused: until the first upstream that could
  // serve the request takes requests again.
  duration retry_after{0};
  // The following are set where upstreams are contended and an upstream was considered.
  duration wait{0};  // part of `expected` for which the request waits in the upstream's queue
  // Load per slot: of all upstreams of the service, or the smoothed one of this upstream if it is
  // higher.
  double usage = 0;
  double load = 0;                        // estimated requests in the upstream
  std::optional<duration> report_age;     // of the upstream's last report; empty: there was none
  std::optional<upstream_id> considered;  // the upstream that the estimates are of
};

// The load that an upstream reports in an answer.
struct reported_load {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  // How long work takes on the upstream's machine at this moment, relative to the usual time; empty
  // if it wasn't stated.
  std::optional<double> slowdown;
  bool operator==(const reported_load&) const = default;
};

// What another instance has heard of an upstream.
struct upstream_observation {
  reported_load load;
  duration age{0};  // of the report, when it is taken in
  bool operator==(const upstream_observation&) const = default;
};

// Parses "running,waiting,slots", such as "3,0,8", or with a fourth figure that states the slowdown
// in percent, 100 meaning as usual. Returns nullopt if the text is malformed.
std::optional<reported_load> parse_reported_load(std::string_view text);

// How an attempt at an upstream ended.
enum class attempt_outcome {
  answered,           // a complete answer, whatever its status
  failed,             // an answer that says that the upstream failed, or a malformed one
  refused,            // the upstream had no room
  identity_mismatch,  // another upstream answered at its address
  unreachable,        // no connection
  silent,             // no answer in time, or the connection was lost
  abandoned,          // cancelled on the caller's side; says nothing of the upstream
};

// How an attempt at an upstream went.
struct attempt_report {
  std::string_view work;
  duration latency{0};  // used for answered attempts only
  attempt_outcome ended = attempt_outcome::answered;
  std::optional<reported_load> load;
  bool asked_for_pause = false;  // the answer turned the request away and stated for how long
};

class placement {
 public:
  explicit placement(placement_config config) : config_(std::move(config)) {}

  // Replaces the list of upstreams.
  void set_upstreams(const std::vector<placement_upstream>& upstreams, monotonic_time now);

  // Whether the instances share observations and admit requests by priority: then choose() takes
  // the upstream of the least expected time among several random ones, and not otherwise.
  void set_contended(bool contended) { contended_ = contended; }

  // Chooses the upstream for a request. `random` holds 64 random bits.
  placement_decision choose(const placement_request& request, std::uint64_t random) const;
  // An attempt begins; on_end() must follow. Without a time, later reports of others count as
  // older.
  void on_sent(const upstream_id& upstream, std::optional<monotonic_time> now = {});
  // An attempt has ended.
  void on_end(const upstream_id& upstream, const attempt_report& report, monotonic_time now);
  // Takes in what another instance has heard of the upstream. An observation that is older than the
  // latest known report is ignored, as is one of an upstream that isn't listed.
  void observe(const upstream_id& upstream, const upstream_observation& seen, monotonic_time now);

  // Returns the reports that this instance has received after `since` and that are the latest known
  // ones of their upstreams.
  std::vector<std::pair<upstream_id, upstream_observation>> heard_since(monotonic_time since,
                                                                        monotonic_time now) const;

  // Sets the requests per second that the upstream takes from all instances; nullopt: no limit.
  void set_limit(const upstream_id& upstream, std::optional<double> rate, monotonic_time now);
  // The upstream's limit is used up: it isn't chosen for so long, unless it owns the request's key.
  void on_limit_used_up(const upstream_id& upstream, duration wait, monotonic_time now);

  // The upstream wants no requests from this instance for so long: choose() doesn't return it. A
  // pause that was stated before and lasts longer stays.
  void on_pause(const upstream_id& upstream, duration length, monotonic_time now);
  // Returns what is left of the upstream's pause; zero if there is none.
  duration pause_left(const upstream_id& upstream, monotonic_time now) const;

  // Returns the estimated number of requests that run or wait in the upstream.
  double load(const upstream_id& upstream, monotonic_time now) const;
  // Returns the upstream's speed relative to the mean of the service's upstreams.
  double speed(const upstream_id& upstream, monotonic_time now) const;
  // True if the upstream gets no requests until a probe succeeds.
  bool is_unreachable(const upstream_id& upstream) const;
  // Records that the former owner has released the range with this fencing token.
  void note_released(fence_number fence);
  bool is_released(fence_number fence) const { return released_.contains(fence); }
  // Returns the unreachable upstreams to probe by a connection now. Each is returned once until
  // on_probe().
  std::vector<upstream_id> probes_due(monotonic_time now);
  void on_probe(const upstream_id& upstream, bool connected, monotonic_time now);
  // Returns the mean service time of a kind of work over all upstreams.
  duration service_time(std::string_view work) const;
  // Returns the mean service time over all requests, or no value before the first.
  std::optional<duration> mean_service_time() const;

 private:
  struct upstream_observations {
    std::uint32_t outstanding = 0;
    std::uint32_t sent_since_report = 0;
    double mean_load = 0;  // smoothed reported loads
    double reported = 0;
    monotonic_time reported_at{};
    monotonic_time slowness_updated_at{};
    std::uint32_t timed_answers = 0;  // that slowness rests on
    double slowness = 1;         // smoothed ratio of service times to the mean over all upstreams
    double failure_share = 0;    // smoothed share of failed attempts
    std::uint32_t failures = 0;  // consecutive attempts without an answer
    bool unreachable = false;
    bool probe_pending = false;  // returned by probes_due(), without on_probe() yet
    monotonic_time probe_at{};
    monotonic_time refusing_until{};
    std::optional<double> limit;  // requests per second
    monotonic_time limit_seen{};
    monotonic_time limited_until{};
    std::uint64_t life = 0;
    monotonic_time paused_until{};
    double slowdown = 1;  // the last stated one
    monotonic_time slowdown_at{};
    reported_load own;  // the last one that this instance received itself
    monotonic_time own_reported_at{};
    std::optional<monotonic_time> last_sent;
  };

  // How long a request is expected to take at an upstream.
  struct time_estimate {
    duration expected{0};
    duration wait{0};  // in its queue
    duration work{0};  // the request's own work at the upstream's usual speed
  };
  struct scored_upstream {
    std::size_t index = 0;
    time_estimate time;
    double score = 0;  // expected time over the share of attempts that don't fail
  };

  const upstream_observations& observations_of(const upstream_id& upstream) const;
  double estimated_load(const upstream_observations& state, monotonic_time now) const;
  double slowness_of(const upstream_observations& state, monotonic_time now) const;
  duration expected_time(const placement_upstream& upstream, const upstream_observations& state,
                         std::string_view work, monotonic_time now) const;
  double share_within_limit(const placement_upstream& upstream, const upstream_observations& state,
                            const placement_request& request) const;
  std::optional<duration> shortest_pause(const placement_request& request) const;
  placement_decision choose_contended(const placement_request& request, std::uint64_t random) const;
  // Fills the weights with which upstreams of the own and of other domains are drawn; false if none
  // may be.
  bool fill_weights(const placement_request& request, bool include_refusing,
                    std::optional<std::size_t> except, std::vector<double>& local,
                    std::vector<double>& remote) const;
  std::optional<scored_upstream> draw_best(std::vector<double>& weights, std::uint64_t& random,
                                           const placement_request& request) const;
  time_estimate estimate_time(const placement_upstream& upstream,
                              const upstream_observations& state, std::string_view work,
                              monotonic_time now) const;
  double usage(monotonic_time now) const;
  bool has_free_slot(const placement_upstream& upstream, monotonic_time now) const;
  void update_times(upstream_observations& state, const placement_upstream& upstream,
                    const attempt_report& report, monotonic_time now);

  placement_config config_;
  std::vector<placement_upstream> upstreams_;
  std::map<upstream_id, upstream_observations> observations_;
  std::set<fence_number> released_;  // the latest ones; the lowest is dropped first
  std::optional<double> mean_time_us_;
  std::map<std::string, double, std::less<>> work_times_;  // mean service times in microseconds
  bool contended_ = false;
  mutable double usage_ = 0;  // kept by usage() for a while
  mutable monotonic_time usage_at_{};
};

}  // namespace plantainpaddle
