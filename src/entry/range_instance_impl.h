// The parts of a range_instance, which several source files implement: its timers and the store's
// changes (range_instance.cc), reports and records that instances send each other
// (range_instance_reports.cc), and what it serves to operators and other instances
// (range_instance_pages.cc).
#pragma once

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <map>
#include <optional>
#include <set>

#include "base/durations.h"
#include "base/log.h"
#include "entry/load_report.h"
#include "entry/news_relay.h"
#include "entry/observation_client.h"
#include "entry/permit_client.h"
#include "entry/proxy.h"
#include "entry/range_instance.h"
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

namespace plantainpaddle {

// Where instances take load reports and records from each other.
inline constexpr std::string_view report_target = "/load";
inline constexpr std::string_view record_target = "/record";

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
  boost::asio::awaitable<http_response> serve_operators(http_request request);
  boost::asio::awaitable<http_response> serve_peers(http_request request);
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
  boost::asio::io_context& io;
  store_client store;
  store_view view;
  http_client orders;
  news_relay relay;
  record_pusher pusher;
  permit_client permits;
  observation_client observations;
  http_server operators;
  http_server peers;
  boost::asio::signal_set signals;
  boost::asio::signal_set reload;
  boost::asio::steady_timer timer;
  boost::asio::steady_timer leave_timer;
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

}  // namespace plantainpaddle
