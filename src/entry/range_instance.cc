#include "entry/range_instance.h"

#include <sys/stat.h>

#include <algorithm>

#include "base/json.h"
#include "base/log.h"
#include "entry/range_instance_impl.h"
#include "ownership/store_keys.h"
#include "platform/platform_headers.h"
#include "routing/registry_snapshot.h"
#include "routing/upstream_capacity.h"

namespace plantainpaddle {

namespace asio = boost::asio;

namespace {

constexpr duration tick_period = milliseconds(50);
constexpr duration settings_check_period = seconds(1);
// A tick that is late by more than this is logged, at most once in late_tick_log_period.
constexpr duration late_tick = milliseconds(200);
constexpr duration late_tick_log_period = seconds(1);
constexpr duration speed_update_period = milliseconds(500);
// Shares of the drain time of a leaving upstream, which ends with its last new request. Its keys'
// requests go to it for the grace after its notice was seen, but not after the limit, counted from
// when the notice can have been given at the earliest.
constexpr double leaving_grace_share = 0.35;
constexpr double leaving_limit_share = 0.85;
// Share of the time that an evacuation may take, counted from the order's earliest possible
// acknowledgement, for which owners of keys there get requests. The rest (2 s of 5 s) is for a
// request that was checked just before and travels for up to half a second, and for a process that
// is paused between the check and the write.
constexpr double evacuation_share = 0.6;
// Instances register under a lease, so that each knows how many there are.
constexpr duration instance_lease = seconds(8);
constexpr duration instance_renewal = milliseconds(2500);
// Instances that start together have registered by then, and know who reads the store. Each adds a
// share of the spread, so that they don't all call the store at once.
constexpr duration instance_read_delay = milliseconds(700);
constexpr duration instance_read_spread = milliseconds(300);
// Registrations are repeated up to so much earlier, by a share that differs between instances.
constexpr double registration_spread = 0.2;
// Shares of the retry budget that instances spend by themselves. They are below 1 because requests
// are not spread evenly over the instances.
constexpr double instance_retry_share = 0.7;
constexpr double instance_retry_burst_share = 0.7;

}  // namespace

range_instance::range_instance(entry_settings settings, std::string file)
    : impl_(std::make_unique<impl>(std::move(settings), std::move(file))) {}

range_instance::~range_instance() = default;

result<std::string> range_instance::start() { return impl_->start(); }

void range_instance::run() { impl_->run(); }

result<std::string> range_instance::impl::start() {
  auto unknown = std::make_shared<routing_snapshot>();
  unknown->known = false;
  store.set_era_handler([this] { on_store_restored(); });
  traffic.set_snapshot(std::move(unknown));
  traffic.set_permit_source(
      [this](const permit_request& request, auto done) { permits.ask(request, std::move(done)); });
  traffic.set_leaving_handler([this](const upstream_id& upstream, std::uint64_t life) {
    view.note_leaving(upstream, life);
  });
  auto listening = operators.listen(settings.listen_operators, [this](http_request request) {
    return serve_operators(std::move(request));
  });
  if (!listening) return listening;
  listening = peers.listen(settings.listen_peers, [this](http_request request) {
    return serve_peers(std::move(request));
  });
  if (!listening) return listening;
  auto started = traffic.start();
  if (!started) return started;
  wait_for_stop_signal();
  wait_for_reload_signal();
  metrics_source = counters.add_source([this] { return format_metrics(); });
  tick();
  return started;
}

void range_instance::impl::run() {
  log_event(log_level::info, "starts",
            {{"id", self.value},
             {"callers", settings.listen_callers},
             {"store", settings.store.front()},
             {"domain", settings.domain.value}});
  traffic.run();
  log_event(log_level::info, "stops", {{"dropped_log_lines", dropped_log_lines()}});
  flush_log();
}

bool range_instance::impl::is_ready() const { return !drain && view.desired().has_value(); }

// A late tick shows that everything on this thread is late: requests, reads of the store, renewals.
void range_instance::impl::note_lag(monotonic_time now) {
  const auto lag = next_tick == monotonic_time{} ? duration::zero() : now - next_tick;
  worst_tick_lag = std::max(worst_tick_lag, lag);
  own_lateness.add(lag, now);
  note_lateness();
  next_tick = now + tick_period;
  if (lag < late_tick || now < next_late_tick_log) return;
  next_late_tick_log = now + late_tick_log_period;
  log_event(log_level::warning, "the event loop is late", {{"lag_ms", lag}});
}

// Duties go to an instance that isn't late, if there is one.
void range_instance::impl::note_lateness() {
  const bool late = own_lateness.is_late() && is_contended() && known_instances > 1;
  if (late != is_late) {
    if (late) counters.add("late_total", {});
    log_event(log_level::warning, late ? "late for long" : "in time again",
              {{"mean_lag_ms", own_lateness.mean()},
               {"instances", known_instances},
               {"cores", settings.bounds.cores}});
  }
  is_late = late;
  for (auto& [service, runner] : runners) runner->set_late(late);
}

void range_instance::impl::tick() {
  const auto now = monotonic_now();
  note_lag(now);
  if (now >= next_instance_read) {
    next_instance_read = monotonic_time::max();
    view.refresh();
  }
  view.tick();
  relay.tick();
  observations.tick(traffic.view());
  for (auto& [service, runner] : runners) runner->tick();
  if (now >= next_publish) publish(now);
  if (now >= next_speed_update) {
    next_speed_update = now + speed_update_period;
    permits.set_instances(view.instance_addresses(), view.own_keys_known_at());
    update_upstreams();
  }
  register_instance(now);
  report_load(now);
  check_settings_file(now);
  flush_log();
  timer.expires_after(tick_period);
  timer.async_wait([this](const boost::system::error_code& code) {
    if (!code) tick();
  });
}

void range_instance::impl::on_store_change(const store_change& changed) {
  if (changed.desired) update_services();
  if (changed.desired || changed.upstreams || changed.evacuations) update_upstreams();
  for (auto& [service, runner] : runners) runner->on_store_change();
  if (changed.instances || changed.desired) update_retry_budget();
  relay.on_store_change(changed.instances);
  if (changed.instances) observations.set_instances(view.instances_by_name());
  publish(monotonic_now());
}

// Leases, and what was written since the copy was made, are lost.
void range_instance::impl::on_store_restored() {
  instance_lease_id = 0;
  next_registration = {};
  view.on_store_restored();
  for (auto& [service, runner] : runners) runner->on_store_restored();
}

void range_instance::impl::update_services() {
  const auto spread = candidacy_spread(settings, self);
  for (const auto& service : view.desired()->services) {
    if (!service.keyed || runners.contains(service.name)) continue;
    runners[service.name] = std::make_unique<range_runner>(
        service.name,
        range_runner_context{io, store, view, self, settings.listen_peers,
                             settings.bounds.reuse_after,
                             [this](const service_id& name, const range_record& record,
                                    std::uint64_t version) { push_record(name, record, version); }},
        range_timing_for(settings), candidacy_timing_for(settings), spread);
  }
}

void range_instance::impl::update_upstreams() {
  const auto now = monotonic_now();
  std::map<service_id, std::vector<range_runner::upstream>> by_service;
  std::map<upstream_id, monotonic_time> still_leaving;
  const auto is_assigner = [this](const service_id& service) {
    const auto runner = runners.find(service);
    return runner != runners.end() && runner->second->is_assigner();
  };
  for (const auto& [id, known] : view.upstreams().all()) {
    if (known.entry.leaving) {
      const auto since = leaving_upstreams.find(id);
      const auto oldest = known.leaving_since + share_of(settings.bounds.drain,
                                                         leaving_limit_share - leaving_grace_share);
      still_leaving[id] = since == leaving_upstreams.end() ? std::min(now, oldest) : since->second;
    }
    const auto& service = known.entry.service;
    const auto* observed = is_assigner(service) ? observations_of(service) : nullptr;
    auto facts = observed != nullptr && is_contended()
                     ? estimate_capacity(known.entry, observed, runners[service]->speeds(), now)
                     : estimate_capacity(known.entry, observed, now);
    if (view.evacuations().contains(known.entry.domain)) facts.serving = false;
    by_service[service].push_back({std::move(facts), known.entry.address});
  }
  leaving_upstreams = std::move(still_leaving);
  note_cold_rates(now);
  for (auto& [service, runner] : runners) {
    runner->set_contended(is_contended());
    runner->set_upstreams(by_service[service]);
  }
}

// A cold upstream serves its keys' requests at its rate, so that no more keys should go there than
// it can serve until it is warm.
void range_instance::impl::note_cold_rates(monotonic_time now) {
  if (!settings.bounds.cold_overrun || !view.desired()) return;
  for (const auto& service : view.desired()->services) {
    const auto runner = runners.find(service.name);
    if (service.cold_rate <= 0 || runner == runners.end()) continue;
    std::map<upstream_id, double> rates;
    for (const auto& [id, known] : view.upstreams().all()) {
      const bool cold = known.entry.service == service.name && now < known.warm_since;
      if (cold) rates[id] = service.cold_rate;
    }
    runner->second->note_limits(rates);
  }
}

// Returns what this instance has observed of the service's upstreams; null if nothing.
const placement* range_instance::impl::observations_of(const service_id& service) const {
  const auto current = traffic.view();
  for (const auto& seen : current->services) {
    const auto index = static_cast<std::size_t>(&seen - current->services.data());
    if (current->snapshot->services[index].service.name == service) return seen.placed.get();
  }
  return nullptr;
}

void range_instance::impl::publish(monotonic_time now) {
  next_publish = monotonic_time::max();
  if (!view.desired()) return;
  for (const auto& service : view.desired()->services) {
    const auto* seen = view.record(service.name);
    if (seen != nullptr) ranges[service.name] = update_range_view(ranges[service.name], *seen, now);
  }
  registry_config config{.instances = known_instances,
                         .leaving_grace = share_of(settings.bounds.drain, leaving_grace_share),
                         .contended = settings.contended,
                         .evacuates = settings.bounds.evacuation.has_value()};
  if (settings.bounds.cold_overrun) {
    config.cold = {*settings.bounds.cold_overrun, settings.bounds.cold_slack};
    for (const auto& [domain, ended] : view.evacuations().ended()) {
      config.returned[domain] = ended + settings.bounds.drain;
    }
  }
  for (const auto& [domain, order] : view.evacuations().all()) {
    const auto until = order.since + share_of(settings.bounds.evacuation.value_or(duration::zero()),
                                              evacuation_share);
    config.evacuated[domain] = until;
    if (until > now) next_publish = std::min(next_publish, until);
  }
  auto snapshot = std::make_shared<routing_snapshot>(make_registry_snapshot(
      *view.desired(), view.upstreams(), ranges, leaving_upstreams, config, now));
  for (const auto& [id, since] : leaving_upstreams) {
    const auto due = since + config.leaving_grace;
    if (due > now) next_publish = std::min(next_publish, due);
  }
  traffic.set_snapshot(std::move(snapshot));
}

void range_instance::impl::update_retry_budget() {
  known_instances = std::max<std::size_t>(1, view.instances());
  retry_config config;
  config.share = settings.bounds.retry_share * instance_retry_share;
  config.burst = std::max(1.0, settings.bounds.retry_burst * instance_retry_burst_share /
                                   static_cast<double>(known_instances));
  traffic.set_retry_config(config);
}

void range_instance::impl::register_instance(monotonic_time now) {
  if (registering || drain || now < next_registration) return;
  registering = true;
  next_registration = now + share_of(instance_renewal, 1 - registration_spread * spread);
  if (instance_lease_id == 0) {
    return store.create_lease(instance_lease, [this](const result<granted_lease>& lease) {
      registering = false;
      if (!lease) return log_error(log_level::warning, lease.error());
      instance_lease_id = lease->id;
      write_instance();
    });
  }
  store.renew_lease(instance_lease_id, [this](const result<bool>& kept) {
    registering = false;
    if (!kept) return log_error(log_level::warning, kept.error());
    if (*kept) return;
    log_event(log_level::warning, "registration lapsed", {});
    instance_lease_id = 0;
    next_registration = {};
  });
}

instance_registration range_instance::impl::registration() const {
  return {settings.name, settings.listen_peers, settings.domain, settings.bounds.cores};
}

void range_instance::impl::write_instance() {
  registering = true;
  store_transaction change{.puts = {{instance_key(settings.name),
                                     format_registration(registration()), instance_lease_id}}};
  store.transact(change, [this](const result<transaction_answer>& answer) {
    registering = false;
    if (answer && answer->outcome == transaction_result::written) {
      next_instance_read =
          monotonic_now() + instance_read_delay + share_of(instance_read_spread, spread);
      return;
    }
    if (!answer) log_error(log_level::warning, answer.error());
    instance_lease_id = 0;  // the next attempt creates a new lease
  });
}

void range_instance::impl::wait_for_stop_signal() {
  signals.async_wait([this](const boost::system::error_code& code, int number) {
    if (!code) on_signal(number);
  });
}

void range_instance::impl::on_signal(int number) {
  const auto now = monotonic_now();
  if (++stop_signals == 1) {
    drain.emplace(make_drain_times(settings.bounds.shutdown, balancer_removal_time), now);
  }
  log_event(log_level::info, "stop signal",
            {{"signal", number == SIGINT ? "SIGINT" : "SIGTERM"},
             {"number", stop_signals},
             {"in_drain_ms", now - drain->began()}});
  drain->on_signal(number == SIGINT ? stop_signal::interrupt : stop_signal::terminate);
  advance_drain();
  wait_for_stop_signal();
}

void range_instance::impl::log_phase(drain_phase phase) const {
  log_event(log_level::info, "drain phase",
            {{"phase", drain_phase_name(phase)},
             {"in_drain_ms", monotonic_now() - drain->began()},
             {"connections", traffic.connections()},
             {"requests", traffic.requests()}});
}

// Enters the phases that are due, and waits for the next one.
void range_instance::impl::advance_drain() {
  while (const auto phase = drain->advance(monotonic_now())) enter(*phase);
  if (drain->phase() == drain_phase::closing) return;
  leave_timer.expires_after(drain->due() - monotonic_now());
  leave_timer.async_wait([this](const boost::system::error_code& code) {
    if (!code) advance_drain();
  });
}

void range_instance::impl::enter(drain_phase phase) {
  log_phase(phase);
  switch (phase) {
    case drain_phase::draining:
      return leave();
    case drain_phase::no_connections:
      return traffic.finish();
    case drain_phase::releasing:
      return traffic.release_ready_responses();
    case drain_phase::ending_waits:
      return traffic.end_waits();
    case drain_phase::closing:
      return stop();
    case drain_phase::serving:
    case drain_phase::no_requests:  // the connections have this time from begin_drain()
      return;
  }
}

void range_instance::impl::leave() {
  for (auto& [service, runner] : runners) runner->leave();
  if (instance_lease_id != 0) {
    store.end_lease(instance_lease_id, [](const result<bool>& ended) {
      if (!ended) log_error(log_level::warning, ended.error());
    });
  }
  traffic.begin_drain(true, drain->last_request());
}

void range_instance::impl::stop() {
  if (traffic.connections() != 0) {
    log_event(log_level::warning, "closing connections that have not drained",
              {{"connections", traffic.connections()}});
  }
  traffic.finish(true);
}

void range_instance::impl::wait_for_reload_signal() {
  reload.async_wait([this](const boost::system::error_code& code, int) {
    if (code) return;
    reload_settings("signal");
    wait_for_reload_signal();
  });
}

void range_instance::impl::check_settings_file(monotonic_time now) {
  if (now < next_settings_check) return;
  const bool first = next_settings_check == monotonic_time{};
  next_settings_check = now + settings_check_period;
  struct stat found {};
  if (::stat(file.c_str(), &found) != 0) return;
  const bool changed = found.st_mtim.tv_sec != settings_mtime.tv_sec ||
                       found.st_mtim.tv_nsec != settings_mtime.tv_nsec;
  settings_mtime = found.st_mtim;
  if (changed && !first) reload_settings("file");
}

// Applies the settings that can change at run time; the others, such as listen addresses, need a
// restart.
void range_instance::impl::reload_settings(std::string_view why) {
  const auto read = read_entry_settings(file);
  if (!read) return log_error(log_level::error, read.error());
  log_event(log_level::info, "settings read again",
            {{"why", why},
             {"changed", *read == settings ? 0 : 1},
             {"in_drain_ms", drain ? std::optional(monotonic_now() - drain->began())
                                   : std::optional<duration>()}});
  if (*read == settings) return;
  settings.store = read->store;
  settings.bounds = read->bounds;
  settings.level = read->level;
  set_log_level(settings.level);
  store.set_addresses(settings.store);
  update_retry_budget();
}

}  // namespace plantainpaddle
