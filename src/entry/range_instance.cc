#include "entry/range_instance.h"

#include <sys/stat.h>

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <map>
#include <optional>
#include <set>

#include "base/json.h"
#include "base/log.h"
#include "entry/load_report.h"
#include "entry/news_relay.h"
#include "entry/observation_client.h"
#include "entry/permit_client.h"
#include "entry/proxy.h"
#include "entry/range_runner.h"
#include "entry/range_settings.h"
#include "entry/record_pusher.h"
#include "entry/store_view.h"
#include "entry/traffic_state.h"
#include "http/client.h"
#include "http/server.h"
#include "ownership/lateness.h"
#include "ownership/store_keys.h"
#include "platform/platform_headers.h"
#include "routing/drain_schedule.h"
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
constexpr duration report_period = milliseconds(500);
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
constexpr duration report_timeout = milliseconds(400);
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
constexpr std::string_view report_target = "/load";
constexpr std::string_view record_target = "/record";
constexpr duration reporter_time = seconds(2);  // for which records are pushed after a report
// Reports to the assigner confirm the record; after so long without an answer the store is read.
constexpr duration max_unconfirmed_time = milliseconds(1200);

}  // namespace

struct range_instance::impl {
  impl(entry_settings s, std::string f)
      : settings(std::move(s)),
        file(std::move(f)),
        self(make_instance_id(settings.name, random_number())),
        traffic(traffic_settings(settings), counters),
        io(traffic.io()),
        store(io.get_executor(), {.addresses = settings.store, .protocol = item_protocol{}}),
        view(
            store, [this](const store_change& changed) { on_store_change(changed); },
            store_view_timing_for(settings)),
        orders(io.get_executor()),
        relay(io.get_executor(), orders, store, view, registration()),
        pusher(orders, std::string(record_target)),
        permits(orders, instance_key(settings.name), permit_config_for(settings)),
        observations(orders, registration()),
        operators(io.get_executor(), exposed_server_limits),
        peers(io.get_executor()),
        signals(io, SIGTERM, SIGINT),
        reload(io, SIGHUP),
        timer(io),
        leave_timer(io) {}

  result<std::string> start();
  void run();

  void tick();
  void note_lag(monotonic_time now);
  void note_lateness();
  void on_store_change(const store_change& changed);
  void on_store_restored();
  void update_services();
  void update_upstreams();
  void note_cold_rates(monotonic_time now);
  const placement* observations_of(const service_id& service) const;
  bool is_contended() const { return traffic.view()->snapshot->contended; }
  void publish(monotonic_time now);
  void update_retry_budget();
  void register_instance(monotonic_time now);
  instance_registration registration() const;
  void write_instance();
  void report_load(monotonic_time now);
  std::map<upstream_id, double> limits_of(const service_id& service) const;
  template <class Value>
  void keep_service(std::map<upstream_id, Value>& values, const service_id& service) const;
  std::string handle_load_report(std::string_view body);
  void on_report_answer(const service_id& service, const result<http_response>& answer);
  void push_record(const service_id& service, const range_record& record, std::uint64_t version);
  std::string handle_pushed_record(std::string_view body);
  void wait_for_stop_signal();
  void on_signal(int number);
  void log_phase(drain_phase phase) const;
  void advance_drain();
  void enter(drain_phase phase);
  void leave();
  void stop();
  void wait_for_reload_signal();
  void reload_settings(std::string_view why);
  void check_settings_file(monotonic_time now);
  bool is_ready() const;
  asio::awaitable<http_response> serve_operators(http_request request);
  asio::awaitable<http_response> serve_peers(http_request request);
  std::string status_json() const;
  std::string format_metrics() const;
  ~impl() { counters.remove_source(metrics_source); }
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  entry_settings settings;
  std::string file;
  instance_id self;
  metrics counters;
  proxy traffic;
  asio::io_context& io;
  store_client store;
  store_view view;
  http_client orders;
  news_relay relay;
  record_pusher pusher;
  permit_client permits;
  observation_client observations;
  http_server operators;
  http_server peers;
  asio::signal_set signals;
  asio::signal_set reload;
  asio::steady_timer timer;
  asio::steady_timer leave_timer;
  std::map<service_id, std::unique_ptr<range_runner>> runners;
  std::map<upstream_id, monotonic_time> leaving_upstreams;
  std::map<service_id, range_view> ranges;
  // When the assigner last answered a report, or the store was asked instead.
  std::map<service_id, monotonic_time> record_confirmed;
  std::map<std::string, monotonic_time> reporters;  // by address, when the last report came
  const double spread = store_view_timing_for(settings).spread;
  std::uint64_t instance_lease_id = 0;
  bool registering = false;
  monotonic_time next_registration{};
  monotonic_time next_instance_read = monotonic_time::max();
  monotonic_time next_report{};
  monotonic_time next_speed_update{};
  monotonic_time next_settings_check{};
  monotonic_time next_tick{};
  monotonic_time next_late_tick_log{};
  duration worst_tick_lag{0};
  lateness own_lateness{lateness_config{}};
  bool is_late = false;  // and there is another instance to hand duties to
  monotonic_time next_publish = monotonic_time::max();
  std::size_t known_instances = 1;
  timespec settings_mtime{};
  std::uint64_t metrics_source = 0;     // from metrics::add_source
  std::optional<drain_schedule> drain;  // from the first stop signal on
  std::size_t stop_signals = 0;         // SIGTERM and SIGINT so far
};

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
        range_runner_context{io, store, view, orders, self, settings.listen_peers,
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

// Sends request counts by key to the assigner, which plans with those of all instances.
void range_instance::impl::report_load(monotonic_time now) {
  if (now < next_report) return;
  next_report = now + report_period;
  const auto current = traffic.view();
  for (std::size_t i = 0; i < current->services.size(); ++i) {
    const auto& name = current->snapshot->services[i].service.name;
    const auto runner = runners.find(name);
    if (runner == runners.end()) continue;
    const auto* known = view.record(name);
    load_report_message report{.service = name,
                               .address = settings.listen_peers,
                               .known = known == nullptr ? record_position{} : position_of(*known),
                               .keys = current->services[i].counts->take_keys(),
                               .limits = limits_of(name),
                               .leaving = view.upstreams().noticed()};
    keep_service(report.leaving, name);
    if (current->snapshot->contended) report.speeds = current->services[i].answers->take();
    if (runner->second->is_assigner()) {
      for (const auto& [key, count] : report.keys) runner->second->count(key, count);
      runner->second->note_limits(report.limits);
      runner->second->note_speeds(report.speeds);
      continue;
    }
    // Without a word of the assigner only the store tells whether the record has changed.
    auto& confirmed = record_confirmed[name];
    if (now - confirmed >= max_unconfirmed_time) {
      confirmed = now;
      view.refresh_unless_followed();
    }
    const std::string address(runner->second->assigner_address());
    if (address.empty()) continue;
    orders.send(address, {"POST", std::string(report_target), {}, format_load_report(report)},
                report_timeout, [this, name](const result<http_response>& answer) {
                  on_report_answer(name, answer);
                });
  }
}

// Returns the limits of the service's upstreams for which this instance issues permits.
std::map<upstream_id, double> range_instance::impl::limits_of(const service_id& service) const {
  auto limits = permits.limits_asked_for();
  keep_service(limits, service);
  return limits;
}

// Removes the values of upstreams that aren't listed in the service.
template <class Value>
void range_instance::impl::keep_service(std::map<upstream_id, Value>& values,
                                        const service_id& service) const {
  std::erase_if(values, [&](const auto& value) {
    const auto known = view.upstreams().all().find(value.first);
    return known == view.upstreams().all().end() || known->second.entry.service != service;
  });
}

// Returns the response. An assigner's says which version of the record it has written.
std::string range_instance::impl::handle_load_report(std::string_view body) {
  const auto report = parse_load_report(body);
  if (!report) {
    log_error(log_level::warning, report.error());
    return format_known_record({});
  }
  const auto runner = runners.find(report->service);
  if (runner == runners.end()) return format_known_record({});
  for (const auto& [key, count] : report->keys) runner->second->count(key, count);
  runner->second->note_limits(report->limits);
  if (is_contended()) runner->second->note_speeds(report->speeds);
  for (const auto& [upstream, life] : report->leaving) {
    view.note_leaving(upstream, life, report->address);
  }
  const auto* known = view.record(report->service);
  if (!runner->second->is_assigner() || known == nullptr) return format_known_record({});
  reporters[report->address] = monotonic_now();
  pusher.on_report(report->service, report->address, report->known);
  return format_known_record(position_of(*known));
}

// An assigner's answer confirms that its pushes come from the present assigner.
void range_instance::impl::on_report_answer(const service_id& service,
                                            const result<http_response>& answer) {
  if (!answer) return log_error(log_level::debug, answer.error());
  const auto position = parse_known_record(answer->body);
  if (position && *position != record_position{}) record_confirmed[service] = monotonic_now();
}

void range_instance::impl::push_record(const service_id& service, const range_record& record,
                                       std::uint64_t version) {
  std::set<std::string> addresses;
  for (const auto& [key, address] : view.instance_addresses()) addresses.insert(address);
  const auto oldest = monotonic_now() - reporter_time;
  std::erase_if(reporters, [&](const auto& reporter) { return reporter.second < oldest; });
  for (const auto& [address, seen] : reporters) addresses.insert(address);
  addresses.erase(settings.listen_peers);
  pusher.push(service, record, version, {addresses.begin(), addresses.end()});
}

// Returns the response, which says which version of the record this instance has then.
std::string range_instance::impl::handle_pushed_record(std::string_view body) {
  const auto pushed = parse_pushed_record(body);
  if (!pushed) {
    log_error(log_level::warning, pushed.error());
    return format_known_record({});
  }
  if (!runners.contains(pushed->service)) return format_known_record({});
  const auto* known = view.record(pushed->service);
  if (pushed->base == record_position{}) {
    view.update_record(pushed->service, pushed->record.changes, pushed->version);
  } else if (known != nullptr && position_of(*known) == pushed->base) {
    const auto record = apply_delta(*known, pushed->record);
    if (!record) {
      log_error(log_level::warning, record.error());
      return format_known_record({});
    }
    view.update_record(pushed->service, *record, pushed->version);
  }
  known = view.record(pushed->service);
  return format_known_record(known == nullptr ? record_position{} : position_of(*known));
}

asio::awaitable<http_response> range_instance::impl::serve_peers(http_request request) {
  const bool post = request.method == "POST";
  if (post && request.target == report_target) {
    co_return json_response(200, handle_load_report(request.body));
  } else if (post && request.target == record_target) {
    co_return json_response(200, handle_pushed_record(request.body));
  } else if (post && request.target == news_target) {
    co_return co_await relay.serve(std::move(request.body));
  } else if (post && request.target == permit_target) {
    co_return json_response(200, permits.handle(request.body));
  } else if (post && request.target == observation_target) {
    co_return observations.handle(request.body, traffic.view());
  } else if (!post && request.target == "/status") {
    co_return json_response(200, status_json());
  } else {
    co_return json_response(404, R"({"error":"no such page"})");
  }
}

asio::awaitable<http_response> range_instance::impl::serve_operators(http_request request) {
  if (request.target == platform_ready_target || request.target == "/readyz") {
    co_return json_response(is_ready() ? 200 : 503, "{}");
  }
  if (request.target == "/metrics") {
    co_return http_response{200, {{"Content-Type", "text/plain"}}, counters.prometheus_text(), {}};
  }
  if (request.target == "/status") co_return json_response(200, status_json());
  if (request.target == "/healthz") co_return json_response(200, "{}");
  co_return json_response(404, R"({"error":"no such page"})");
}

std::string range_instance::impl::format_metrics() const {
  const auto age_of = [](monotonic_time at) {
    return std::chrono::duration<double>(monotonic_now() - at).count();
  };
  const auto age = age_of(view.last_contact());
  std::string text;
  const auto add = [&](const std::string& name, double value) {
    text += "plantainpaddle_" + name + " " + number_text(value) + "\n";
  };
  add("store_calls_total", static_cast<double>(store.calls()));
  add("store_view_age_seconds", age);
  add(R"(news_role{role=")" + std::string(role_name(relay.role())) + "\"}", 1);
  add("news_role_changes_total", static_cast<double>(relay.counts().role_changes));
  add("news_asked_total", static_cast<double>(relay.counts().asked));
  add("news_failed_total", static_cast<double>(relay.counts().failed));
  add("news_answered_total", static_cast<double>(relay.counts().answered));
  if (observations.active()) {
    const auto& counts = observations.counts();
    add("observation_collector", observations.collects() ? 1 : 0);
    add("observation_collector_changes_total", static_cast<double>(counts.collector_changes));
    add("observations_asked_total", static_cast<double>(counts.asked));
    add("observations_failed_total", static_cast<double>(counts.failed));
    add("observations_answered_total", static_cast<double>(counts.answered));
    add("observations_received_total", static_cast<double>(counts.received));
    add("observation_bytes_sent_total", static_cast<double>(counts.sent_bytes));
    add("observation_bytes_received_total", static_cast<double>(counts.received_bytes));
  }
  add("news_values_total", static_cast<double>(relay.counts().values));
  for (const auto& [prefix, reads] : view.reads())
    add("store_reads_total{prefix=\"" + prefix + "\"}", static_cast<double>(reads));
  for (const auto& [prefix, at] : view.known_at())
    add("store_feed_age_seconds{prefix=\"" + prefix + "\"}", age_of(at));
  for (const auto& [service, at] : record_confirmed)
    add("record_age_seconds{service=\"" + service.value + "\"}", age_of(at));
  add("operators_connections_limited_total", static_cast<double>(operators.limited()));
  add("worst_tick_lag_seconds", std::chrono::duration<double>(worst_tick_lag).count());
  add("store_era", static_cast<double>(store.era()));
  add("store_values_passed_over_total", static_cast<double>(view.passed_over()));
  add("desired_state_version", view.desired() ? static_cast<double>(view.desired()->version) : 0);
  add("upstreams", static_cast<double>(view.upstreams().all().size()));
  const auto now = monotonic_now();
  add("cold_upstreams", static_cast<double>(std::count_if(
                            view.upstreams().all().begin(), view.upstreams().all().end(),
                            [&](const auto& known) { return now < known.second.warm_since; })));
  for (const auto& [domain, order] : view.evacuations().all())
    add("evacuated{failure_domain=\"" + domain.value + "\"}", 1);
  add("instances", static_cast<double>(view.instances()));
  add("assigned_services",
      static_cast<double>(std::count_if(runners.begin(), runners.end(), [](const auto& runner) {
        return runner.second->is_assigner();
      })));
  add("log_lines_dropped_total", static_cast<double>(dropped_log_lines()));
  return text;
}

std::string range_instance::impl::status_json() const {
  std::string text = "{\"instance\":\"" + self.value + "\",\"ready\":";
  text += is_ready() ? "true" : "false";
  text += ",\"store_calls\":" + std::to_string(store.calls());
  text += ",\"desired_version\":" + std::to_string(view.desired() ? view.desired()->version : 0);
  text += ",\"connections\":" + std::to_string(traffic.connections()) + "}";
  return text;
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
