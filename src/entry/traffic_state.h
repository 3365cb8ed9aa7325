// State that the traffic threads share: the current snapshot, and for each service its limits,
// health, retry budget and the slots of its upstreams. make_view() says what is kept from snapshot
// to snapshot.
//
//   traffic_state shared(settings);
//   auto view = shared.make_view(snapshot, now);     // control thread
//   view->services[i].upstreams[j]->gate.enter(...)  // traffic threads
//
// make_view() and set_retry_config() are for one thread; all other members are thread-safe.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "entry/dispatcher_leases.h"
#include "entry/gate.h"
#include "entry/proxy_settings.h"
#include "entry/shard_counts.h"
#include "ownership/observed_speeds.h"
#include "routing/balance.h"
#include "routing/health.h"
#include "routing/key_share.h"
#include "routing/limiter.h"
#include "routing/placement.h"
#include "routing/priority_admission.h"
#include "routing/retry.h"
#include "routing/snapshot.h"
#include "routing/upstream_limits.h"
#include "routing/upstream_permits.h"

namespace plantainpaddle {

// Class names in the metrics, by index: the request classes, and "none" for requests that match no
// route.
inline constexpr std::size_t no_class = request_class_count;
std::vector<std::string> traffic_class_names();

// What the traffic threads share of one upstream.
struct upstream_traffic {
  explicit upstream_traffic(admission_config config) : gate(config) {}

  upstream_gate gate;
  std::atomic<std::uint32_t> outstanding{0};       // attempts in progress, queued ones too
  monotonic_time added{};                          // when the upstream was first listed
  std::atomic<std::size_t> thread_connections{1};  // limit of each traffic thread
};

// The health of a service's upstreams as this instance observes it. Upstreams are given by their
// index in the service's snapshot. Thread-safe.
class service_health {
 public:
  service_health(health_config config, std::size_t upstreams) : tracker_(config, upstreams) {}

  void on_success(std::size_t upstream, duration latency, monotonic_time now);
  void on_failure(std::size_t upstream, failure_kind kind, monotonic_time now);
  void on_report(std::size_t upstream, const load_report& report, monotonic_time now);
  void on_probe(std::size_t upstream, bool answered, monotonic_time now);
  std::vector<std::size_t> probes_due(monotonic_time now);
  bool usable(std::size_t upstream, monotonic_time now) const;
  double share(std::size_t upstream, monotonic_time now) const;

 private:
  mutable std::mutex mutex_;
  health_tracker tracker_;
};

// The retry budget of one service. Thread-safe.
class service_retries {
 public:
  explicit service_retries(retry_config config = {}) : budget_(config) {}

  void on_request();
  void set_config(const retry_config& config);
  retry_decision decide(const retry_context& question, std::uint64_t random);
  bool take();

 private:
  std::mutex mutex_;
  retry_budget budget_;
};

struct service_traffic {
  std::vector<std::string> names;  // of the upstreams, as "name@address"
  std::vector<std::shared_ptr<upstream_traffic>> upstreams;
  std::shared_ptr<service_health> health;
  std::shared_ptr<service_retries> retries;
  std::shared_ptr<shard_counts> counts;  // requests of each shard of a keyed service
  // Set with proxy_settings::shared_upstreams only: it chooses upstreams by an estimate of their
  // load. A placement has no lock, so there is only one traffic thread then.
  std::shared_ptr<placement> placed;
  // Set with `placed`: times of answers, for load reports.
  std::shared_ptr<answer_times> answers;
  // Set with `placed`: the requests of each key.
  std::shared_ptr<key_share> key_shares;
  admission_profile profile;  // where upstreams are contended
};

// A snapshot together with the shared state of its services.
struct traffic_view {
  std::shared_ptr<const routing_snapshot> snapshot;
  std::vector<service_traffic> services;  // in the order of snapshot->services
};

class traffic_state {
 public:
  explicit traffic_state(proxy_settings settings);

  const proxy_settings& settings() const { return settings_; }

  // Makes the snapshot the current one. From the previous snapshot, a service of the same name
  // keeps its retry budget and its placement, and an upstream of the same name and address its gate
  // and attempts in progress. The service's health starts anew if any of its upstreams or their
  // order changed, and its request counts if its number of shards did.
  std::shared_ptr<const traffic_view> make_view(std::shared_ptr<const routing_snapshot> snapshot,
                                                monotonic_time now);
  // The current view; one with an empty snapshot before the first make_view().
  std::shared_ptr<const traffic_view> view() const;

  limit_decision check_limits(const service_id& service, const tenant_id& tenant,
                              request_class klass, monotonic_time now);
  std::vector<limit_use> limit_usage(monotonic_time now);
  void on_limit_usage(const instance_id& from, const std::vector<limit_use>& entries,
                      monotonic_time now);
  void on_load_report(const service_id& service, const upstream_id& upstream,
                      const load_report& report, monotonic_time now);

  // Applies to the retry budgets of all services, present and future.
  void set_retry_config(const retry_config& config);

  // False if the upstream failed in this instance's own observations; true if it isn't listed.
  bool is_usable(const service_id& service, const upstream_id& upstream, monotonic_time now) const;
  // Leases for the services whose upstreams don't check fencing tokens.
  dispatcher_leases leases{random_number(), random_number()};

  // Limits that upstreams name. Used with proxy_settings::shared_upstreams only, and so by the one
  // traffic thread.
  upstream_limits named_limits;
  // Asks for a permit to send a request to an upstream that names a limit. The decision may come
  // before the call returns. Without it, limits aren't held.
  std::function<void(const permit_request&, std::function<void(permit_decision)>)> ask_permit;

  // Called with an upstream's life when the upstream says in a response that it leaves. Used with
  // proxy_settings::shared_upstreams only.
  std::function<void(const upstream_id&, std::uint64_t life)> on_leaving;
  // Logs that a field of an upstream's response can't be read, at a bounded rate for each upstream.
  // To be called on the one traffic thread.
  void note_unreadable(const upstream_id& upstream, std::string_view field, monotonic_time now);

  // Whether a line about a refusal for this reason may be logged: one each second. To be called on
  // the one traffic thread.
  bool may_log_refusal(send_reason reason, monotonic_time now);

  std::atomic<std::size_t> connections{0};  // open ones of callers and other instances

 private:
  service_traffic make_service(const service_snapshot& service, const service_traffic* previous,
                               monotonic_time now) const;

  proxy_settings settings_;
  retry_config retry_config_;
  std::map<send_reason, monotonic_time> refusal_logged_;  // when may_log_refusal() last allowed it
  std::map<upstream_id, monotonic_time> unreadable_logged_;  // when note_unreadable() last logged
  mutable std::mutex mutex_;                                 // guards view_
  std::shared_ptr<const traffic_view> view_;
  std::mutex limits_mutex_;
  limiter limiter_;
};

// Chooses an upstream for a request of a service without keys: one of this instance's failure
// domain if a usable one is there, otherwise one of any domain. `except` is avoided if there is
// another one. Nothing if no upstream is usable.
std::optional<std::size_t> choose_unkeyed(const service_snapshot& service,
                                          const service_traffic& traffic, const domain_id& domain,
                                          monotonic_time now, std::uint64_t random,
                                          std::optional<std::size_t> except);

}  // namespace plantainpaddle
