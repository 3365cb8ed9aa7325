#include "entry/traffic_state.h"

#include <algorithm>

#include "base/log.h"

namespace plantainpaddle {

std::vector<std::string> traffic_class_names() {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < request_class_count; ++i) {
    names.emplace_back(class_name(static_cast<request_class>(i)));
  }
  names.emplace_back("none");
  return names;
}

void service_health::on_success(std::size_t upstream, duration latency, monotonic_time now) {
  const std::lock_guard lock(mutex_);
  tracker_.on_success(upstream, latency, now);
}

void service_health::on_failure(std::size_t upstream, failure_kind kind, monotonic_time now) {
  const std::lock_guard lock(mutex_);
  tracker_.on_failure(upstream, kind, now);
}

void service_health::on_report(std::size_t upstream, const load_report& report,
                               monotonic_time now) {
  const std::lock_guard lock(mutex_);
  tracker_.on_report(upstream, report, now);
}

void service_health::on_probe(std::size_t upstream, bool answered, monotonic_time now) {
  const std::lock_guard lock(mutex_);
  tracker_.on_probe(upstream, answered, now);
}

std::vector<std::size_t> service_health::probes_due(monotonic_time now) {
  const std::lock_guard lock(mutex_);
  return tracker_.probes_due(now);
}

bool service_health::usable(std::size_t upstream, monotonic_time now) const {
  const std::lock_guard lock(mutex_);
  return tracker_.usable(upstream, now);
}

double service_health::share(std::size_t upstream, monotonic_time now) const {
  const std::lock_guard lock(mutex_);
  return tracker_.share(upstream, now);
}

void service_retries::on_request() {
  const std::lock_guard lock(mutex_);
  budget_.on_request();
}

void service_retries::set_config(const retry_config& config) {
  const std::lock_guard lock(mutex_);
  budget_.set_config(config);
}

bool service_retries::take() {
  const std::lock_guard lock(mutex_);
  return budget_.take();
}

retry_decision service_retries::decide(const retry_context& question, std::uint64_t random) {
  const std::lock_guard lock(mutex_);
  return decide_retry(budget_, question, random);
}

traffic_state::traffic_state(proxy_settings settings)
    : settings_(std::move(settings)), view_(std::make_shared<const traffic_view>()), limiter_({}) {
  auto empty = std::make_shared<traffic_view>();
  empty->snapshot = std::make_shared<const routing_snapshot>();
  view_ = std::move(empty);
}

std::shared_ptr<const traffic_view> traffic_state::view() const {
  const std::lock_guard lock(mutex_);
  return view_;
}

std::shared_ptr<const traffic_view> traffic_state::make_view(
    std::shared_ptr<const routing_snapshot> snapshot, monotonic_time now) {
  const auto previous = view();
  auto made = std::make_shared<traffic_view>();
  for (const auto& service : snapshot->services) {
    const service_traffic* previous_service = nullptr;
    const auto& old = previous->snapshot->services;
    for (std::size_t i = 0; i < old.size(); ++i) {
      if (old[i].service.name == service.service.name) previous_service = &previous->services[i];
    }
    made->services.push_back(make_service(service, previous_service, now));
    const auto& placed = made->services.back().placed;
    if (placed) placed->set_contended(snapshot->contended);
    if (snapshot->contended) {
      made->services.back().profile = make_admission_profile(*snapshot, made->services.size() - 1);
    }
    const std::lock_guard lock(limits_mutex_);
    limiter_.set_limits(service.service.name, service.limits);
  }
  made->snapshot = std::move(snapshot);
  const std::lock_guard lock(mutex_);
  view_ = made;
  return made;
}

service_traffic traffic_state::make_service(const service_snapshot& service,
                                            const service_traffic* previous,
                                            monotonic_time now) const {
  service_traffic made;
  for (const auto& row : service.upstreams) {
    made.names.push_back(row.name.value + "@" + row.address);
    std::shared_ptr<upstream_traffic> shared;
    if (previous != nullptr) {
      const auto found =
          std::find(previous->names.begin(), previous->names.end(), made.names.back());
      if (found != previous->names.end()) {
        shared = previous->upstreams[static_cast<std::size_t>(found - previous->names.begin())];
      }
    }
    if (!shared) {
      shared = std::make_shared<upstream_traffic>(admission_config{.slots = row.slots});
      // A service's first snapshot doesn't tell how old its upstreams are: they count as warm.
      shared->added = previous == nullptr ? now - service.service.cold_start : now;
    }
    shared->thread_connections = std::max<std::size_t>(1, row.connections / settings_.threads);
    shared->gate.set_slots(row.slots, now);
    made.upstreams.push_back(std::move(shared));
  }
  const bool same_upstreams = previous != nullptr && previous->names == made.names;
  made.health = same_upstreams
                    ? previous->health
                    : std::make_shared<service_health>(
                          health_config{.set_aside = service.service.set_aside}, made.names.size());
  const bool numbered = std::holds_alternative<numbered_keys>(service.keys);
  const std::uint32_t shards = service.service.keyed && !numbered ? service.service.shards : 0;
  made.counts = previous != nullptr && previous->counts->size() == shards
                    ? previous->counts
                    : std::make_shared<shard_counts>(shards, numbered);
  made.retries =
      previous != nullptr ? previous->retries : std::make_shared<service_retries>(retry_config_);
  if (!settings_.shared_upstreams) return made;
  made.placed = previous != nullptr
                    ? previous->placed
                    : std::make_shared<placement>(placement_config{.domain = settings_.domain});
  made.answers = previous != nullptr ? previous->answers : std::make_shared<answer_times>();
  made.key_shares =
      previous != nullptr ? previous->key_shares : std::make_shared<key_share>(key_share_config{});
  std::vector<placement_upstream> facts;
  for (std::size_t i = 0; i < service.upstreams.size(); ++i) {
    const auto& row = service.upstreams[i];
    const auto warm = service.warm_since.empty() ? monotonic_time{} : service.warm_since[i];
    const auto life = service.lives.empty() ? 0 : service.lives[i];
    facts.push_back({row.name, row.domain, row.slots, row.state == upstream_state::active, warm,
                     life, service.cold_rate});
  }
  made.placed->set_upstreams(facts, now);
  return made;
}

void traffic_state::set_retry_config(const retry_config& config) {
  const std::lock_guard lock(mutex_);
  retry_config_ = config;
  for (const auto& service : view_->services) service.retries->set_config(config);
}

limit_decision traffic_state::check_limits(const service_id& service, const tenant_id& tenant,
                                           request_class klass, monotonic_time now) {
  const std::lock_guard lock(limits_mutex_);
  return limiter_.check(service, tenant, klass, now);
}

std::vector<limit_use> traffic_state::limit_usage(monotonic_time now) {
  const std::lock_guard lock(limits_mutex_);
  return limiter_.usage(now);
}

void traffic_state::on_limit_usage(const instance_id& from, const std::vector<limit_use>& entries,
                                   monotonic_time now) {
  const std::lock_guard lock(limits_mutex_);
  limiter_.on_usage(from, entries, now);
}

void traffic_state::note_unreadable(const upstream_id& upstream, std::string_view field,
                                    monotonic_time now) {
  constexpr duration log_period = seconds(10);
  std::erase_if(unreadable_logged_, [&](const auto& at) { return now - at.second >= log_period; });
  if (!unreadable_logged_.try_emplace(upstream, now).second) return;
  log_event(log_level::warning, "a field of the upstream's response can't be read",
            {{"upstream", upstream.value}, {"field", field}});
}

bool traffic_state::may_log_refusal(send_reason reason, monotonic_time now) {
  constexpr duration log_period = seconds(1);
  const auto logged = refusal_logged_.find(reason);
  if (logged != refusal_logged_.end() && now - logged->second < log_period) return false;
  refusal_logged_[reason] = now;
  return true;
}

bool traffic_state::is_usable(const service_id& service, const upstream_id& upstream,
                              monotonic_time now) const {
  const auto current = view();
  if (!current) return true;
  for (std::size_t i = 0; i < current->services.size(); ++i) {
    const auto& snapshot = current->snapshot->services[i];
    if (snapshot.service.name != service) continue;
    for (std::size_t u = 0; u < snapshot.upstreams.size(); ++u) {
      if (snapshot.upstreams[u].name == upstream)
        return current->services[i].health->usable(u, now);
    }
  }
  return true;
}

void traffic_state::on_load_report(const service_id& service, const upstream_id& upstream,
                                   const load_report& report, monotonic_time now) {
  const auto current = view();
  for (std::size_t i = 0; i < current->services.size(); ++i) {
    const auto& snapshot = current->snapshot->services[i];
    if (snapshot.service.name != service) continue;
    for (std::size_t j = 0; j < snapshot.upstreams.size(); ++j) {
      if (snapshot.upstreams[j].name == upstream) {
        current->services[i].health->on_report(j, report, now);
      }
    }
  }
}

std::optional<std::size_t> choose_unkeyed(const service_snapshot& service,
                                          const service_traffic& traffic, const domain_id& domain,
                                          monotonic_time now, std::uint64_t random,
                                          std::optional<std::size_t> except) {
  std::vector<balance_candidate> candidates(service.upstreams.size());
  bool any_local = false;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const auto& row = service.upstreams[i];
    const auto& state = *traffic.upstreams[i];
    candidates[i] = {
        .weight = row.weight,
        .slots = row.slots,
        .outstanding = static_cast<double>(state.outstanding.load(std::memory_order_relaxed)),
        .share = traffic.health->share(i, now) *
                 cold_start_share(now - state.added, service.service.cold_start),
        .usable = row.state == upstream_state::active && traffic.health->usable(i, now)};
    any_local = any_local || (candidates[i].usable && row.domain == domain && except != i);
  }
  if (any_local) {
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      candidates[i].usable = candidates[i].usable && service.upstreams[i].domain == domain;
    }
  }
  return choose_upstream(candidates, random, except);
}

}  // namespace plantainpaddle
