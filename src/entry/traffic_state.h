// What the traffic threads share: the snapshot in force, and beside it each service's limits,
// health, retry budget and upstreams' slots, which outlive snapshots.
//
//   traffic_state shared(settings);
//   auto view = shared.make_view(snapshot);          // control thread
//   view->services[i].upstreams[j]->gate.enter(...)  // traffic threads
#pragma once

#include <atomic>
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
#include "routing/balance.h"
#include "routing/health.h"
#include "routing/limiter.h"
#include "routing/placement.h"
#include "routing/retry.h"
#include "routing/snapshot.h"

namespace plantainpaddle {

// Names of the classes in the figures: the request classes, and one for requests without a route.
inline constexpr std::size_t no_class = request_class_count;
std::vector<std::string> traffic_class_names();

struct upstream_traffic {
  explicit upstream_traffic(admission_config config) : gate(config) {}

  upstream_gate gate;
  std::atomic<std::uint32_t> outstanding{0};
  monotonic_time added{};
  std::atomic<std::size_t> thread_connections{1};  // most connections of a traffic thread
};

// The health of a service's upstreams as this instance sees them, by index of the row. Thread-safe.
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

// One service's retries. Thread-safe.
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
  std::vector<std::string> names;  // of the upstreams: "name@address"
  std::vector<std::shared_ptr<upstream_traffic>> upstreams;
  std::shared_ptr<service_health> health;
  std::shared_ptr<service_retries> retries;
  std::shared_ptr<shard_counts> counts;  // of a service that is divided by key
  // Where other instances send to the upstreams too, the estimate of their load; then there is one
  // traffic thread, since a placement has no lock.
  std::shared_ptr<placement> placed;
};

struct traffic_view {
  std::shared_ptr<const routing_snapshot> snapshot;
  std::vector<service_traffic> services;  // beside snapshot->services
};

class traffic_state {
 public:
  explicit traffic_state(proxy_settings settings);

  const proxy_settings& settings() const { return settings_; }

  std::shared_ptr<const traffic_view> make_view(std::shared_ptr<const routing_snapshot> snapshot,
                                                monotonic_time now);
  std::shared_ptr<const traffic_view> view() const;

  limit_decision check_limits(const service_id& service, const tenant_id& tenant,
                              request_class klass, monotonic_time now);
  std::vector<limit_use> limit_usage(monotonic_time now);
  void on_limit_usage(const instance_id& from, const std::vector<limit_use>& entries,
                      monotonic_time now);
  void on_load_report(const service_id& service, const upstream_id& upstream,
                      const load_report& report, monotonic_time now);

  // Retry budgets of all services, from now on. Any thread.
  void set_retry_config(const retry_config& config);

  // False if this instance's own observations have set the upstream aside.
  bool sees_usable(const service_id& service, const upstream_id& upstream,
                   monotonic_time now) const;
  // Of the services whose upstreams check no fences. Thread-safe by itself.
  dispatcher_leases leases{random_number(), random_number()};

  std::atomic<std::size_t> connections{0};  // callers', open now

 private:
  service_traffic make_service(const service_snapshot& service, const service_traffic* previous,
                               monotonic_time now) const;

  proxy_settings settings_;
  retry_config retry_config_;
  mutable std::mutex mutex_;  // of view_
  std::shared_ptr<const traffic_view> view_;
  std::mutex limits_mutex_;
  limiter limiter_;
};

// The upstream for a request of a service that isn't divided by key: of the own failure domain if
// one is usable there, otherwise of any.
std::optional<std::size_t> choose_unkeyed(const service_snapshot& service,
                                          const service_traffic& traffic, const domain_id& domain,
                                          monotonic_time now, std::uint64_t random,
                                          std::optional<std::size_t> except);

}  // namespace plantainpaddle
