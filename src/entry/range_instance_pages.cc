// What a range_instance serves: to other instances, and to operators and the load balancer.
#include "base/json.h"
#include "entry/range_instance_impl.h"

namespace plantainpaddle {

namespace asio = boost::asio;

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

}  // namespace plantainpaddle
