// Answers the load pattern "many instances share upstreams of few slots": no instance knows how
// many slots of an upstream are taken, each sees a fraction of the requests, and the load that an
// upstream states in its answers is old by the time that it is used.
//
//   placement service(config);
//   service.set_upstreams(facts, now);
//   auto answer = service.choose({.work = "stock", .left = left, .now = now}, random);
//   service.on_sent(upstream, now);
//   service.on_end(upstream, {.work = "stock", .latency = latency, .ended =
//   attempt_outcome::answered}, now);
//
// An upstream is known by its id; what was seen of it is kept while it is listed. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace plantainpaddle {

struct placement_config {
  domain_id domain;  // the own failure domain
  // What an upstream of another failure domain counts for in the draw: bytes between domains cost,
  // a wait costs more.
  double far_share = 0.8;
  // Upstreams of the own failure domain are used alone as long as one of them has a load below this
  // share of its slots, isn't much slower than the others and doesn't fail more than seldom.
  double near_load = 0.85;
  double near_slowness = 1.8;
  double near_failing = 0.1;
  // A stated load tells less and less beyond a service time or so.
  duration report_memory = milliseconds(200);
  // Weights of the newest observation in smoothed times and in the share of failures: some ten
  // requests, which an instance sends an upstream within a few seconds.
  double time_smoothing = 0.1;
  double failure_smoothing = 0.15;
  // An upstream without an answer isn't used until a connection to it succeeds, tried this often.
  duration probe_period = milliseconds(300);
  duration misplaced_rest = seconds(1);  // about as long as its entry needs to go
  // A lost answer alone may be the connection's fault: so many in a row are the upstream's.
  std::uint32_t failures_to_rest = 2;
  // What was seen of an upstream's speed counts for less and less while nothing new is seen, so
  // that one that was slow is tried again.
  duration speed_memory = seconds(6);
  duration full_memory = milliseconds(60);     // an upstream that refused has no room for so long
  duration first_service = milliseconds(100);  // service time assumed before any was seen
  double cold_share = 0.5;                     // speed of an upstream that has just started

  bool operator==(const placement_config&) const = default;
};

struct placement_upstream {
  upstream_id name;
  domain_id domain;
  std::uint32_t slots = 1;
  bool usable = true;           // false: no new work, it leaves or is lost
  monotonic_time warm_since{};  // slow before that
  bool operator==(const placement_upstream&) const = default;
};

struct placement_request {
  std::string_view work;              // requests of the same work take alike long
  duration left{0};                   // until the request is worthless
  std::optional<upstream_id> only;    // the owner of its key
  std::optional<upstream_id> except;  // has failed it before
  monotonic_time now;
};

enum class placement_refusal { none, nobody, too_late };

struct placement_answer {
  std::optional<upstream_id> upstream;
  placement_refusal why = placement_refusal::none;
  duration expected{0};     // until its answer, or for too_late how long it would have taken
  duration retry_after{0};  // with too_late: when the backlog will have gone down
};

// What the upstream stated in an answer.
struct reported_load {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  bool operator==(const reported_load&) const = default;
};

// "3,0,8"; nothing if it isn't of that form.
std::optional<reported_load> parse_reported_load(std::string_view text);

enum class attempt_outcome {
  answered,           // whole, whatever its status
  failed,             // an answer that says that the upstream failed, or a broken one
  refused,            // the upstream had no room
  identity_mismatch,  // another upstream answers at its address
  unreachable,        // no connection
  silent,             // no answer in time, or the connection went dead
  abandoned,          // given up for reasons of the caller's
};

struct attempt_report {
  std::string_view work;
  duration latency{0};
  attempt_outcome ended = attempt_outcome::answered;
  std::optional<reported_load> load;
};

class placement {
 public:
  explicit placement(placement_config config) : config_(std::move(config)) {}

  void set_upstreams(const std::vector<placement_upstream>& listed, monotonic_time now);

  placement_answer choose(const placement_request& question, std::uint64_t random) const;
  void on_sent(const upstream_id& upstream);
  void on_end(const upstream_id& upstream, const attempt_report& end, monotonic_time now);

  // Requests estimated to run or wait in the upstream.
  double load(const upstream_id& upstream, monotonic_time now) const;
  // Of the mean speed of the service's upstreams.
  double speed(const upstream_id& upstream, monotonic_time now) const;
  // Not to be used now: it couldn't be reached lately.
  bool is_unreachable(const upstream_id& upstream) const;
  // A former owner has said that it doesn't have the range of that fence any more.
  void note_released(fence_number fence);
  bool is_released(fence_number fence) const { return released_.contains(fence); }
  // Upstreams that can't be reached and are to be tried by a connection now. Each is named once
  // until on_probe().
  std::vector<upstream_id> probes_due(monotonic_time now);
  void on_probe(const upstream_id& upstream, bool connected, monotonic_time now);
  duration service_time(std::string_view work) const;

 private:
  struct observed {
    std::uint32_t outstanding = 0;
    std::uint32_t sent_since_report = 0;
    double mean_load = 0;  // smoothed reports
    double reported = 0;
    monotonic_time reported_at{};
    monotonic_time timed_at{};
    double slowness = 1;         // smoothed latency over what the work takes elsewhere
    double failing = 0;          // smoothed share of failures
    std::uint32_t failures = 0;  // without an answer, in a row
    bool unreachable = false;
    bool probed = false;  // a probe is under way
    monotonic_time probe_at{};
    monotonic_time full_until{};
  };

  const observed& seen(const upstream_id& upstream) const;
  static double load_of(const observed& state, const placement_config& config, monotonic_time now);
  double slowness_of(const observed& state, monotonic_time now) const;
  duration expected_time(const placement_upstream& facts, const observed& state,
                         std::string_view work, monotonic_time now) const;
  bool is_idle(const placement_upstream& facts, monotonic_time now) const;
  void learn_time(observed& state, const placement_upstream& facts, const attempt_report& end,
                  monotonic_time now);

  placement_config config_;
  std::vector<placement_upstream> listed_;
  std::map<upstream_id, observed> observed_;
  std::set<fence_number> released_;                        // the latest ones
  std::map<std::string, double, std::less<>> work_times_;  // microseconds, at mean speed
};

}  // namespace plantainpaddle
