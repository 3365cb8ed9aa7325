#include "entry/proxy.h"

#include <algorithm>
#include <thread>

#include "base/json.h"
#include "entry/acceptor.h"
#include "entry/traffic_state.h"
#include "entry/worker.h"
#include "metrics/labels.h"
#include "routing/drain_schedule.h"

namespace plantainpaddle {

namespace {

constexpr duration drain_poll_period = milliseconds(5);

}  // namespace

struct proxy::impl {
  impl(proxy_settings settings, metrics& counters)
      : shared(std::move(settings)), registry(counters) {
    for (std::uint32_t i = 0; i < shared.settings().threads; ++i) {
      workers.push_back(std::make_unique<worker>(shared, counters, i));
    }
    std::vector<worker*> all;
    for (const auto& one : workers) all.push_back(one.get());
    caller_acceptor.emplace(all, false);
    forward_acceptor.emplace(all, true);
    source_id = registry.add_source([this] { return metrics_text(); });
  }
  ~impl() { registry.remove_source(source_id); }
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  std::string metrics_text() const;

  traffic_state shared;
  metrics& registry;
  std::uint64_t source_id = 0;
  std::vector<std::unique_ptr<worker>> workers;
  std::optional<connection_acceptor> caller_acceptor;
  std::optional<connection_acceptor> forward_acceptor;
  std::string forward_address;
  bool started = false;
};

std::string proxy::impl::metrics_text() const {
  traffic_stats sum(traffic_class_names());
  for (const auto& one : workers) one->add_stats(sum);
  std::string text = sum.prometheus_text();
  text += "plantainpaddle_connections " + std::to_string(shared.connections.load()) + "\n";
  for (const auto& [name, limited] : shared.named_limits.all()) {
    const std::string label = "{upstream=\"" + escape_label(name.value) + "\"} ";
    text += "plantainpaddle_upstream_limit" + label + number_text(limited.rate) + "\n";
    text += "plantainpaddle_upstream_limit_sent" + label +
            std::to_string(shared.named_limits.sent(name, monotonic_now())) + "\n";
  }
  const auto view = shared.view();
  for (std::size_t i = 0; i < view->services.size(); ++i) {
    const auto& service = view->snapshot->services[i];
    for (std::size_t j = 0; j < service.upstreams.size(); ++j) {
      const auto& gate = view->services[i].upstreams[j]->gate;
      const std::string labels = "{service=\"" + escape_label(service.service.name.value) +
                                 "\",upstream=\"" + escape_label(service.upstreams[j].name.value) +
                                 "\"} ";
      text += "plantainpaddle_upstream_running" + labels + std::to_string(gate.running()) + "\n";
      text += "plantainpaddle_upstream_queued" + labels + std::to_string(gate.queued()) + "\n";
    }
  }
  return text;
}

proxy::proxy(proxy_settings settings, metrics& counters)
    : impl_(std::make_unique<impl>(std::move(settings), counters)) {}

proxy::~proxy() { stop(); }

result<std::string> proxy::start() {
  const auto& settings = impl_->shared.settings();
  auto address = impl_->caller_acceptor->listen(settings.listen_callers);
  if (!address) return address;
  if (!settings.listen_forward.empty()) {
    auto forward = impl_->forward_acceptor->listen(settings.listen_forward);
    if (!forward) return forward;
    impl_->forward_address = *forward;
    impl_->forward_acceptor->start();
  }
  impl_->caller_acceptor->start();
  if (settings.own_thread) {
    for (const auto& one : impl_->workers) one->start();
  }
  impl_->started = true;
  return address;
}

void proxy::run() { impl_->workers.front()->run(); }

void proxy::finish(bool abort_connections) {
  impl_->caller_acceptor->close();
  impl_->workers.front()->finish(abort_connections);
}

boost::asio::io_context& proxy::io() { return impl_->workers.front()->io(); }

void proxy::begin_drain(bool accept_more, std::optional<monotonic_time> last_request) {
  if (!accept_more) impl_->caller_acceptor->close();
  const auto usual = monotonic_now() + impl_->shared.settings().limits.drain_idle_time;
  const auto last = last_request.value_or(usual);
  for (const auto& one : impl_->workers) one->begin_drain(last, last);
}

void proxy::release_ready_responses() {
  for (const auto& one : impl_->workers) one->release_ready_responses();
}

void proxy::end_waits() {
  for (const auto& one : impl_->workers) one->end_waits();
}

void proxy::set_retry_config(const retry_config& config) { impl_->shared.set_retry_config(config); }

std::shared_ptr<const traffic_view> proxy::view() const { return impl_->shared.view(); }

std::string proxy::forward_address() const { return impl_->forward_address; }

void proxy::set_snapshot(std::shared_ptr<const routing_snapshot> snapshot) {
  const auto view = impl_->shared.make_view(std::move(snapshot), monotonic_now());
  for (const auto& one : impl_->workers) one->set_view(view);
}

bool proxy::drain(duration bound) {
  const auto now = monotonic_now();
  drain_schedule schedule(make_drain_times(bound, bound), now);
  const auto close_idle_at = now + impl_->shared.settings().limits.drain_idle_time;
  const auto last_request = std::max(close_idle_at, schedule.last_request());
  impl_->caller_acceptor->close();
  impl_->forward_acceptor->close();
  for (const auto& one : impl_->workers) one->begin_drain(close_idle_at, last_request);
  while (connections() != 0 && schedule.phase() != drain_phase::closing) {
    std::this_thread::sleep_for(drain_poll_period);
    const auto phase = schedule.advance(monotonic_now());
    if (phase == drain_phase::releasing) release_ready_responses();
    if (phase == drain_phase::ending_waits) end_waits();
  }
  return connections() == 0;
}

void proxy::stop() {
  if (!impl_->started) return;
  impl_->started = false;
  impl_->caller_acceptor->close();
  impl_->forward_acceptor->close();
  for (const auto& one : impl_->workers) one->stop();
}

std::size_t proxy::connections() const { return impl_->shared.connections; }

std::size_t proxy::requests() const { return impl_->workers.front()->requests(); }

std::vector<limit_use> proxy::limit_usage() { return impl_->shared.limit_usage(monotonic_now()); }

void proxy::on_limit_usage(const instance_id& from, const std::vector<limit_use>& entries) {
  impl_->shared.on_limit_usage(from, entries, monotonic_now());
}

grant_answer proxy::handle_order(const upstream_id& owner, const grant_order& order) {
  const auto now = monotonic_now();
  const bool usable = impl_->shared.is_usable(service_of(order.cell), upstream_of(owner), now);
  return impl_->shared.leases.handle(owner, order, usable, now);
}

std::vector<queue_status> proxy::queues() const {
  std::vector<queue_status> found;
  const auto view = impl_->shared.view();
  if (!view) return found;
  for (std::size_t i = 0; i < view->services.size(); ++i) {
    const auto& service = view->snapshot->services[i];
    for (std::size_t j = 0; j < service.upstreams.size(); ++j) {
      const auto& gate = view->services[i].upstreams[j]->gate;
      const std::size_t waiting = gate.queued();
      if (waiting == 0) continue;
      found.push_back(
          {service.service.name, service.upstreams[j].name, waiting, gate.queue_limit()});
    }
  }
  return found;
}

void proxy::set_leaving() { impl_->shared.leases.set_leaving(); }

std::map<service_id, std::vector<shard_requests::entry>> proxy::take_shard_requests() {
  std::map<service_id, std::vector<shard_requests::entry>> taken;
  const auto view = impl_->shared.view();
  if (!view) return taken;
  for (std::size_t i = 0; i < view->services.size(); ++i) {
    taken[view->snapshot->services[i].service.name] = view->services[i].counts->take();
  }
  return taken;
}

void proxy::set_permit_source(
    std::function<void(const permit_request&, std::function<void(permit_decision)>)> ask) {
  impl_->shared.ask_permit = std::move(ask);
}

void proxy::set_leaving_handler(
    std::function<void(const upstream_id& upstream, std::uint64_t life)> on_leaving) {
  impl_->shared.on_leaving = std::move(on_leaving);
}

void proxy::on_load_report(const service_id& service, const upstream_id& upstream,
                           const load_report& report) {
  impl_->shared.on_load_report(service, upstream, report, monotonic_now());
}

}  // namespace plantainpaddle
