#include "entry/control.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <future>
#include <random>
#include <thread>

#include "base/log.h"
#include "entry/cell_runner.h"
#include "entry/instance_directory.h"
#include "entry/state_replicator.h"
#include "entry/status.h"
#include "entry/usage_tree.h"
#include "ownership/layout.h"
#include "ownership/rendezvous.h"

namespace plantainpaddle {

namespace asio = boost::asio;

namespace {

constexpr duration tick_period = milliseconds(20);
constexpr duration list_period = seconds(1);
constexpr duration list_timeout = milliseconds(800);
constexpr duration load_report_period = seconds(2);
constexpr std::size_t max_layout_moves = 16;  // shards that move between cells at the same time
constexpr duration limit_share_period = milliseconds(500);
constexpr duration layout_retry = seconds(1);

}  // namespace

// Once the control thread runs, only it accesses the members other than work, io and network.
struct control_plane::impl {
  impl(entry_settings s, metrics& m, traffic_hooks h)
      : settings(std::move(s)),
        counters(m),
        hooks(std::move(h)),
        work(asio::make_work_guard(io)),
        timer(io),
        store(io.get_executor(), {settings.store}),
        http(io.get_executor()),
        self(make_instance_id(settings.name, random_number())),
        random(random_number()),
        directory(self, settings.domain),
        cache(settings.cluster),
        replicator(
            cache, directory, store, network, settings.domain, random(),
            [this](std::function<void()> item) { post(std::move(item)); },
            [this] { state_changed = true; },
            [this](const peer_identity& peer) { directory.mark_reachable(peer.instance); }),
        cells(self,
              {cache, directory, store, http, network,
               [this](std::function<void()> item) { post(std::move(item)); },
               [this](const state_item& item) { replicator.written(item); },
               [this](const std::string& name) { directory.mark_unreachable(name); },
               [this](const instance_id& id) { directory.mark_reachable(id); },
               [this](const upstream_id& owner, const grant_order& order) {
                 return hooks.handle_order(owner, order);
               }},
              random()),
        network(
            {settings.listen_peers, {settings.cluster, 1, settings.region, self, settings.domain}},
            [this](const peer_identity& from, peer_request request, peer_replier reply) {
              post([this, from, request = std::move(request), reply = std::move(reply)] {
                serve(from, request, reply);
              });
            }) {}

  entry_settings settings;
  metrics& counters;
  traffic_hooks hooks;
  asio::io_context io{1};
  asio::executor_work_guard<asio::io_context::executor_type> work;
  asio::steady_timer timer;
  store_client store;
  http_client http;
  instance_id self;
  std::mt19937_64 random;
  instance_directory directory;
  state_cache cache;
  state_replicator replicator;
  cell_runner cells;
  std::thread thread;
  monotonic_time next_list{};
  monotonic_time next_layout{};
  monotonic_time next_share{};
  monotonic_time next_load{};
  monotonic_time next_advance{};
  usage_tree limit_tree;
  bool state_changed = true;
  bool leaving = false;
  bool handing_over = false;
  std::promise<void> handover_done;
  peer_network network;  // last, so that its thread ends before the members that it calls into

  void post(std::function<void()> item) { asio::post(io, std::move(item)); }
  void schedule();
  void run_tick();
  void fetch_list(monotonic_time now);
  void share_limits(monotonic_time now);
  void report_load(monotonic_time now);
  void advance_layouts(monotonic_time now);
  bool is_layout_writer(const service_id& service) const;
  void publish_snapshot();
  void set_dispatchers(service_snapshot& service) const;
  void create_layouts(monotonic_time now);
  void write_layout(service_layout layout, std::uint64_t expected_version);
  void serve(const peer_identity& from, const peer_request& request, const peer_replier& reply);
};

control_plane::control_plane(entry_settings settings, metrics& counters, traffic_hooks hooks)
    : impl_(std::make_unique<impl>(std::move(settings), counters, std::move(hooks))) {}

control_plane::~control_plane() { stop(); }

result<std::string> control_plane::start() {
  auto address = impl_->network.start();
  if (!address) return address;
  impl_->thread = std::thread([this] {
    impl_->schedule();
    impl_->io.run();
  });
  return address;
}

void control_plane::stop() {
  if (!impl_->thread.joinable()) return;
  impl_->io.stop();
  impl_->thread.join();
}

void control_plane::set_leaving() {
  impl_->post([this] {
    impl_->leaving = true;
    impl_->cells.set_leaving();
  });
}

void control_plane::leave(duration within) {
  auto done = impl_->handover_done.get_future();
  impl_->post([this] { impl_->handing_over = impl_->leaving = true; });
  done.wait_for(within);
}

std::string control_plane::describe() {
  std::promise<std::string> promise;
  auto text = promise.get_future();
  impl_->post([&] {
    const monotonic_time now = monotonic_now();
    const auto traffic = impl_->http.traffic() + impl_->store.traffic() + impl_->network.traffic();
    const duration cpu_time = thread_cpu_time(impl_->thread) + impl_->network.cpu_time();
    const control_status head{impl_->self,
                              impl_->settings.domain,
                              impl_->leaving,
                              traffic,
                              cpu_time,
                              impl_->replicator.store_reachable(),
                              impl_->hooks.queues()};
    promise.set_value(format_status(head, impl_->cache, impl_->cells.describe(now)));
  });
  return text.get();
}

bool control_plane::is_ready() {
  std::promise<bool> promise;
  auto ready = promise.get_future();
  impl_->post([&] { promise.set_value(!impl_->leaving && !impl_->cache.tables().empty()); });
  return ready.get();
}

void control_plane::impl::schedule() {
  timer.expires_after(tick_period);
  timer.async_wait([this](const boost::system::error_code& code) {
    if (code) return;
    run_tick();
    schedule();
  });
}

void control_plane::impl::run_tick() {
  const monotonic_time now = monotonic_now();
  fetch_list(now);
  replicator.tick(now);
  create_layouts(now);
  advance_layouts(now);
  share_limits(now);
  report_load(now);
  cells.tick(now);
  if (state_changed) {
    state_changed = false;
    publish_snapshot();
  }
  if (handing_over && cells.leave(now)) {
    handing_over = false;
    handover_done.set_value();
  }
}

void control_plane::impl::fetch_list(monotonic_time now) {
  if (now < next_list) return;
  next_list = now + list_period;
  fetch_instances(http, settings.instances, list_timeout,
                  [this](result<std::vector<instance_info>> list) {
                    if (!list) return log_error(log_level::debug, list.error());
                    if (*list == directory.list()) return;
                    directory.set_list(std::move(*list));
                    state_changed = true;
                  });
}

// Reports the usage of limits in this instance's subtree to its parent. The answer is the usage of
// all other instances, which the traffic threads count against the limits.
void control_plane::impl::share_limits(monotonic_time now) {
  if (now < next_share) return;
  next_share = now + limit_share_period;
  limit_tree.set_own(hooks.limit_usage());
  const auto parents = limit_tree_parents(directory);
  if (parents.empty()) hooks.on_limit_usage(self, limit_tree.usage_of_others(now));
  for (const auto& name : parents) {
    const auto* info = directory.find(name);
    if (info == nullptr) continue;
    const bool same_domain = info->domain == settings.domain;
    network.call(info->peers, limit_tree.report(now), limit_share_period,
                 [this, same_domain](result<peer_answer> answer) {
                   if (!answer) return;
                   post([this, same_domain, answer = std::move(*answer)] {
                     const auto* usage = std::get_if<limit_usage>(&answer.reply);
                     if (usage == nullptr) return;
                     const monotonic_time received_at = monotonic_now();
                     limit_tree.on_answer(answer.from.instance, same_domain, *usage, received_at);
                     hooks.on_limit_usage(self, limit_tree.usage_of_others(received_at));
                   });
                 });
  }
}

void control_plane::impl::publish_snapshot() {
  auto snapshot = std::make_shared<routing_snapshot>();
  for (const auto& [name, declared] : cache.tables()) {
    std::vector<cell_record> records;
    for (const auto& [cell, known] : cache.cells()) {
      if (known.record.service == name) records.push_back(known.record);
    }
    snapshot->services.push_back(make_service_snapshot(declared, records));
    set_dispatchers(snapshot->services.back());
  }
  hooks.on_snapshot(std::move(snapshot));
}

// Sets the instance through which the requests of each upstream pass, if there is one. An upstream
// that doesn't check fencing tokens has the dispatcher that the cell record names. One that checks
// them has the first instance of its failure domain in rendezvous order if the service asks for a
// dispatcher.
void control_plane::impl::set_dispatchers(service_snapshot& service) const {
  const auto forward_of = [&](const std::string& name) {
    const auto* info = directory.find(name);
    return info == nullptr || name == settings.name ? std::string() : info->forward;
  };
  for (const auto& target : service.shards) {
    const auto dispatcher = dispatcher_of(target.dispatched);
    if (dispatcher) service.dispatchers[target.upstream] = forward_of(instance_name(*dispatcher));
  }
  if (!service.service.checks_fence || service.service.dispatch != dispatch_mode::dispatcher)
    return;
  for (std::size_t i = 0; i < service.upstreams.size(); ++i) {
    const auto& row = service.upstreams[i];
    const auto order = rendezvous_order(row.name.value, directory.live_in(row.domain));
    if (!order.empty()) service.dispatchers[i] = forward_of(order.front());
  }
}

// Writes the first layout of each keyed service for which this instance is the layout writer.
void control_plane::impl::create_layouts(monotonic_time now) {
  if (now < next_layout) return;
  next_layout = now + layout_retry / 4;
  for (const auto& [name, declared] : cache.tables()) {
    if (!declared.service.keyed || cache.layouts().contains(name)) continue;
    if (!is_layout_writer(name)) continue;
    write_layout(make_layout(declared), 0);
    next_layout = now + layout_retry;
  }
}

// The first listed instance in rendezvous order writes the layouts of a service. Instances whose
// lists differ may write at the same time: the write is a compare-and-swap, so only one succeeds.
bool control_plane::impl::is_layout_writer(const service_id& service) const {
  std::vector<std::string> names;
  for (const auto& info : directory.list()) names.push_back(info.name);
  const auto order = rendezvous_order(service.value, std::move(names));
  return !order.empty() && order.front() == settings.name;
}

// Moves shards between cells after upstreams were added or removed. Each step is one write of the
// layout.
void control_plane::impl::advance_layouts(monotonic_time now) {
  if (now < next_advance) return;
  next_advance = now + layout_retry;
  std::map<cell_id, cell_record> records;
  for (const auto& [cell, known] : cache.cells()) records.emplace(cell, known.record);
  for (const auto& [name, layout] : cache.layouts()) {
    const auto declared = cache.tables().find(name);
    if (declared == cache.tables().end() || !is_layout_writer(name)) continue;
    auto next = advance_layout(layout, declared->second, records, {}, max_layout_moves);
    if (next) write_layout(std::move(*next), cache.version_of(cache.keys().layout(name)));
  }
}

// Reports the requests of this instance's callers per shard to the assigner of each cell.
void control_plane::impl::report_load(monotonic_time now) {
  if (now < next_load) return;
  next_load = now + load_report_period;
  const auto requests_by_service = hooks.take_shard_requests();
  for (const auto& [cell, known] : cache.cells()) {
    const auto service = requests_by_service.find(known.record.service);
    if (service == requests_by_service.end()) continue;
    shard_requests report{cell, {}};
    for (const auto& entry : service->second) {
      if (known.record.shards.contains(entry.shard)) report.entries.push_back(entry);
    }
    if (report.entries.empty()) continue;
    std::sort(report.entries.begin(), report.entries.end(),
              [](const auto& a, const auto& b) { return a.requests > b.requests; });
    if (report.entries.size() > max_shard_entries) report.entries.resize(max_shard_entries);
    const std::string assigner = instance_name(known.record.assigner);
    if (assigner == settings.name) {
      cells.add_load(report, now);
    } else if (const auto* info = directory.find(assigner)) {
      network.call(info->peers, std::move(report), load_report_period,
                   [](const result<peer_answer>&) {});
    }
  }
}

void control_plane::impl::write_layout(service_layout layout, std::uint64_t expected_version) {
  layout.mark = {self, random()};
  const std::string key = cache.keys().layout(layout.service);
  const std::string value = format_service_layout(layout);
  store.compare_and_swap(
      key, expected_version, value, [this, key, value](result<swap_answer> answer) {
        if (!answer) return log_error(log_level::warning, answer.error());
        const bool found = !answer->written && answer->value;
        if (!answer->written && !found) return;
        replicator.written({key, answer->version, found ? *answer->value : value});
      });
}

void control_plane::impl::serve(const peer_identity& from, const peer_request& request,
                                const peer_replier& reply) {
  directory.mark_reachable(from.instance);
  const monotonic_time now = monotonic_now();
  if (const auto* question = std::get_if<term_question>(&request)) {
    reply(cells.answer(*question, now));
  } else if (const auto* push = std::get_if<state_push>(&request)) {
    replicator.received(from.domain, *push);
    reply(acknowledgement{});
  } else if (const auto* digest = std::get_if<state_digest>(&request)) {
    reply(replicator.answer(*digest));
  } else if (const auto* handover = std::get_if<term_handover>(&request)) {
    reply(acknowledgement{cells.take_over(*handover, now)});
  } else if (const auto* order = std::get_if<dispatcher_order>(&request)) {
    reply(hooks.handle_order(order->upstream, order->order));
  } else if (const auto* load = std::get_if<shard_requests>(&request)) {
    cells.add_load(*load, now);
    reply(acknowledgement{});
  } else if (const auto* usage = std::get_if<limit_usage>(&request)) {
    reply(limit_tree.on_report(from.instance, from.domain == settings.domain, *usage, now));
  } else {
    reply(acknowledgement{false});
  }
}

}  // namespace plantainpaddle
