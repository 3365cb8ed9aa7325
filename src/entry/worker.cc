#include "entry/worker.h"

#include <pthread.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>

#include "base/heap.h"
#include "base/log.h"
#include "entry/prober.h"
#include "entry/request_scope.h"
#include "entry/session.h"
#include "routing/upstream_check.h"

namespace plantainpaddle {

namespace asio = boost::asio;

namespace {

constexpr duration retire_period = seconds(1);  // between checks for idle upstream connections
constexpr duration skipped_line_period = milliseconds(20);
constexpr duration limited_line_period = seconds(1);
// Decrease of the memory held for callers after which free memory is given back to the system.
constexpr std::size_t min_given_back = 2 << 20;

// Each thread has an equal part of the budget.
memory_budget_limits part_of(memory_budget_limits whole, std::size_t threads) {
  whole.bytes /= std::max<std::size_t>(1, threads);
  return whole;
}

// Gives the pointer a control block of this thread's own, so that copying it doesn't contend with
// other threads for a cache line.
std::shared_ptr<const traffic_view> thread_local_copy(std::shared_ptr<const traffic_view> view) {
  const auto* target = view.get();
  return {std::make_shared<std::shared_ptr<const traffic_view>>(std::move(view)), target};
}

}  // namespace

worker::worker(traffic_state& shared, metrics& counters, std::size_t index)
    : shared_(shared),
      counters_(counters),
      index_(index),
      work_(asio::make_work_guard(io_)),
      sweep_timer_(io_),
      view_(thread_local_copy(shared.view())),
      pool_(io_.get_executor()),
      random_(random_number()),
      memory_(part_of(shared.settings().limits.memory, shared.settings().threads)),
      stats_(traffic_class_names()) {
  limits_.head_time = shared_.settings().limits.head_time;
  limits_.idle_time = shared_.settings().limits.idle_time;
}

worker::~worker() { stop(); }

void worker::start() {
  thread_ = std::thread([this] {
    ::pthread_setname_np(::pthread_self(), ("traffic-" + std::to_string(index_)).c_str());
    schedule_sweep();
    io_.run();
  });
}

void worker::run() {
  schedule_sweep();
  io_.run();
}

void worker::finish(bool abort_connections) {
  finishing_ = true;
  if (phase_ == drain_phase::draining) phase_ = drain_phase::no_connections;
  if (abort_connections) abort_sessions();
  // Behind the acceptor's close, which takes in the backlog.
  asio::post(io_, [this] { stop_if_finished(); });
}

// A connection that has been accepted but has no session yet counts too.
void worker::stop_if_finished() {
  if (finishing_ && shared_.connections == 0) io_.stop();
}

void worker::stop() {
  if (!thread_.joinable()) return io_.stop();
  asio::post(io_, [this] {
    stopping_ = true;
    abort_sessions();
  });
  thread_.join();
}

void worker::record(const traffic_sample& sample) {
  const std::lock_guard lock(stats_mutex_);
  stats_.record(sample);
}

void worker::add_stats(traffic_stats& sum) const {
  const std::lock_guard lock(stats_mutex_);
  sum.merge(stats_);
}

void worker::abort_sessions() {
  if (draining()) phase_ = drain_phase::closing;
  for (auto& [id, open] : sessions_) open->abort();
  if (sessions_.empty()) work_.reset();
}

void worker::set_view(std::shared_ptr<const traffic_view> view) {
  asio::post(io_, [this, view = std::move(view)]() mutable {
    view_ = thread_local_copy(std::move(view));
    wake_owner_waiters();
    wake_connection_waiters();
    const auto& limits = view_->snapshot->limits;
    if (!limits || *limits == limits_) return;
    limits_ = *limits;
    for (auto& [id, open] : sessions_) open->refresh_idle_time();
  });
}

void worker::wake_owner_waiters() {
  for (const auto id : waiting_for_owner_) {
    if (auto* waiting = find(id)) waiting->wake();
  }
}

// Most wait for few upstreams, each of which is checked once.
void worker::wake_connection_waiters() {
  const auto now = monotonic_now();
  std::map<upstream_id, bool> closed;
  for (const auto& [ticket, waiter] : waiting_for_connection_) {
    const auto& row = waiter.service->upstreams[waiter.upstream];
    const auto [place, added] = closed.try_emplace(row.name);
    if (added) {
      const auto decision = check_upstream(
          *view_->snapshot,
          {waiter.view->snapshot.get(), waiter.service->service.name, row.name, row.address}, now,
          monotonic_time::max());
      place->second = decision.verdict == send_verdict::refuse;
    }
    if (!place->second) continue;
    if (auto* waiting = find(waiter.scope)) waiting->wake();
  }
}

std::optional<duration> worker::since_drain_began(monotonic_time at) const {
  if (!draining()) return std::nullopt;
  return at - drain_began_;
}

request_scope* worker::find(std::uint64_t id) {
  const auto place = scopes_.find(id);
  return place == scopes_.end() ? nullptr : place->second;
}

bool worker::may_log_skipped_response(monotonic_time now) {
  if (now < next_skipped_line_) return false;
  next_skipped_line_ = now + skipped_line_period;
  return true;
}

void worker::add_scope(request_scope& scope) { scopes_.emplace(scope.id(), &scope); }

void worker::remove_scope(std::uint64_t id) { scopes_.erase(id); }

bool worker::hold(std::uint64_t session, held_kind kind, std::size_t bytes) {
  const auto verdict = memory_.request(session, kind, bytes, monotonic_now());
  for (const auto victim : verdict.victims) {
    const auto place = sessions_.find(victim);
    if (place == sessions_.end()) continue;
    place->second->shed();
    note_limited("memory");
  }
  if (verdict.granted) memory_.add(session, kind, bytes);
  most_held_ = std::max(most_held_, memory_.held());
  return verdict.granted;
}

bool worker::make_room() {
  const auto longest = memory_.choose_longest_waiting(monotonic_now());
  const auto place = sessions_.find(longest);
  if (place == sessions_.end()) return false;
  place->second->shed();
  note_limited("connections");
  return true;
}

void worker::note_limited(std::string_view reason) {
  counters_.add("limited_callers_total", {{"reason", std::string(reason)}});
  ++limited_;
  const auto now = monotonic_now();
  if (now < next_limited_line_) return;
  next_limited_line_ = now + limited_line_period;
  log_event(log_level::warning, "limits have ended or refused callers",
            {{"reason", reason},
             {"callers", std::exchange(limited_, 0)},
             {"held_bytes", memory_.held()},
             {"budget_bytes", shared_.settings().limits.memory.bytes},
             {"connections", shared_.connections.load()}});
}

// The allocator keeps what is freed below memory that is in use, such as the buffers of a crowd.
void worker::give_back_memory() {
  if (most_held_ < memory_.held() + min_given_back) return;
  most_held_ = memory_.held();
  return_free_memory();
}

void worker::add_connection(tcp_socket socket, bool internal) {
  asio::post(io_, [this, internal, socket = std::move(socket)]() mutable {
    const auto id = next_id();
    auto& opened =
        *sessions_.emplace(id, std::make_unique<session>(*this, id, std::move(socket), internal))
             .first->second;
    asio::co_spawn(io_, opened.run(), [this, id](const std::exception_ptr& thrown) {
      if (thrown) log_line(log_level::error, {.message = "unhandled exception on a connection"});
      sessions_.erase(id);
      --shared_.connections;
      stop_if_finished();
    });
  });
}

void worker::begin_drain(monotonic_time close_idle_at, monotonic_time last_request) {
  asio::post(io_, [this, close_idle_at, last_request] {
    phase_ = drain_phase::draining;
    drain_began_ = monotonic_now();
    close_idle_at_ = close_idle_at;
    last_request_ = last_request;
    for (auto& [id, open] : sessions_) open->begin_drain();
  });
}

void worker::release_ready_responses() {
  asio::post(io_, [this] {
    if (draining()) phase_ = drain_phase::releasing;
    for (auto& [id, open] : sessions_) open->release_ready_responses();
  });
}

void worker::end_waits() {
  asio::post(io_, [this] {
    if (draining()) phase_ = drain_phase::ending_waits;
    for (auto& [id, open] : sessions_) open->end_waits();
  });
}

void worker::decide(std::uint64_t scope, admission_id id, bool admitted) {
  asio::post(io_, [this, scope, id, admitted] {
    if (auto* waiting = find(scope)) waiting->decide(id, admitted);
  });
}

void worker::schedule_sweep() {
  sweep_timer_.expires_after(settings().limits.sweep_period);
  sweep_timer_.async_wait([this](const boost::system::error_code& code) {
    if (code) return;
    const auto now = monotonic_now();
    sweeper_.sweep(now);
    if (now >= next_retire_) {
      next_retire_ = now + retire_period;
      pool_.retire_idle(now);
      give_back_memory();
    }
    if (index_ == 0) sweep_shared_state(now);
    if (stopping_) {
      abort_sessions();
      if (sessions_.empty()) return;
    }
    schedule_sweep();
  });
}

void worker::probe_shared_upstreams(const service_traffic& service,
                                    const service_snapshot& snapshot, monotonic_time now) {
  for (const auto& due : service.placed->probes_due(now)) {
    const auto row = std::find_if(snapshot.upstreams.begin(), snapshot.upstreams.end(),
                                  [&](const upstream_row& r) { return r.name == due; });
    if (row == snapshot.upstreams.end()) {
      service.placed->on_probe(due, false, now);
    } else {
      // Connections that are older than the failure may stay silent for good.
      pool_.close_idle(row->address);
      start_connect_probe(io_, service.placed, due, row->address);
    }
  }
}

// Worker 0 runs the periodic tasks for state that all workers share: the expiry of queued requests
// and health checks of upstreams.
void worker::sweep_shared_state(monotonic_time now) {
  for (std::size_t i = 0; i < view_->services.size(); ++i) {
    const auto& service = view_->services[i];
    if (service.placed) {
      probe_shared_upstreams(service, view_->snapshot->services[i], now);
      continue;
    }
    for (const auto& upstream : service.upstreams) upstream->gate.expire(now);
    for (const auto due : service.health->probes_due(now)) {
      start_probe(io_, service.health, due, view_->snapshot->services[i].upstreams[due].address);
    }
  }
}

}  // namespace plantainpaddle
