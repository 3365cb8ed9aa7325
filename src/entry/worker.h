// One traffic thread: its io_context, the callers' connections that it serves, its connections to
// upstreams, and its deadlines.
//
//   worker w(shared, counters, 0);
//   w.start();
//   w.set_view(view);
//   w.add_connection(std::move(socket), false);   // the socket belongs to w.io()
//   w.begin_drain();
//   w.stop();
//
// Members are called on the worker's thread unless their comment says otherwise.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <unordered_map>

#include "entry/deadlines.h"
#include "entry/message_state.h"
#include "entry/traffic_state.h"
#include "metrics/metrics.h"
#include "metrics/traffic_stats.h"
#include "routing/drain_schedule.h"
#include "upstream/pool.h"

namespace plantainpaddle {

class request_scope;
class session;

class worker {
 public:
  worker(traffic_state& shared, metrics& counters, std::size_t index);
  ~worker();
  worker(const worker&) = delete;
  worker& operator=(const worker&) = delete;

  boost::asio::io_context& io() { return io_; }
  // Starts a thread that serves until stop().
  void start();
  // In place of start(): serves on the calling thread until stop() or finish().
  void run();
  // Ends run() when no connection is left. With abort_connections, all connections are aborted at
  // once.
  void finish(bool abort_connections);
  // Aborts all connections and joins the thread. Where run() serves, it returns at once. Any thread
  // but the worker's own.
  void stop();
  // Replaces the view and wakes the requests that wait for an owner. Any thread.
  void set_view(std::shared_ptr<const traffic_view> view);
  // Serves a caller's connection; internal: opened by another instance. Any thread.
  void add_connection(tcp_socket socket, bool internal);
  // Takes requests that have been read whole by `last_request`. Connections close with their last
  // response, or at `close_idle_at` if they are idle. Any thread.
  void begin_drain(monotonic_time close_idle_at, monotonic_time last_request);
  // See session::release_ready_responses(). Any thread.
  void release_ready_responses();
  // See session::end_waits(). Any thread.
  void end_waits();
  // Adds this thread's statistics to `sum`. Any thread.
  void add_stats(traffic_stats& sum) const;
  // Tells the request of this scope whether its admission got a slot. A request that has ended is
  // ignored. Any thread.
  void decide(std::uint64_t scope, admission_id id, bool admitted);

  traffic_state& shared() { return shared_; }
  const proxy_settings& settings() const { return shared_.settings(); }
  metrics& counters() { return counters_; }
  void record(const traffic_sample& sample);
  // The current view. Each thread has a reference count of its own, so that copies are cheap.
  std::shared_ptr<const traffic_view> view() const { return view_; }
  connection_pool& pool() { return pool_; }
  buffer_pool& buffers() { return buffers_; }
  deadline_sweeper& sweeper() { return sweeper_; }
  message_pool& messages() { return messages_; }
  bool draining() const { return phase_ != drain_phase::serving; }
  drain_phase phase() const { return phase_; }
  // How long after the begin of the drain that time is, negative before it; no value while serving.
  std::optional<duration> since_drain_began(monotonic_time at) const;
  // When idle connections are closed, and until when requests are taken; monotonic_time::max()
  // unless the instance drains.
  monotonic_time close_idle_at() const { return close_idle_at_; }
  monotonic_time last_request() const { return last_request_; }
  std::size_t requests() const { return scopes_.size(); }  // in progress
  std::uint64_t random() { return random_(); }
  // An id that is unique among all workers of the instance.
  std::uint64_t next_id() { return (std::uint64_t{index_} << 48) | ++last_id_; }
  std::size_t index() const { return index_; }
  std::size_t sessions() const { return sessions_.size(); }
  // The scope of a request in progress; nullptr if it has ended.
  request_scope* find(std::uint64_t id);
  void add_scope(request_scope& scope);
  void remove_scope(std::uint64_t id);
  // Limits on callers, from the last view that has any; before that, those of the settings.
  const caller_limits& limits() const { return limits_; }
  // The memory held for this thread's callers. hold() asks for bytes and counts them, and ends the
  // sessions that have to make room; false: there is no room.
  memory_budget& memory() { return memory_; }
  bool hold(std::uint64_t session, held_kind kind, std::size_t bytes);
  // Ends the session that has waited for its caller for longest; false: there is none. To be called
  // on this thread.
  bool make_room();
  // Counts that a limit has ended or refused a caller, and logs it at a bounded rate.
  void note_limited(std::string_view reason);

  // Whether skipped_line_period has passed since the last line about a skipped response.
  bool may_log_skipped_response(monotonic_time now);

  // Requests that wait for a connection to an upstream, by their tickets from the pool. They are
  // woken in that order if a new view closes the upstream.
  struct connection_waiter {
    std::uint64_t scope = 0;
    std::shared_ptr<const traffic_view> view;  // that the upstream was chosen from
    const service_snapshot* service = nullptr;
    std::size_t upstream = 0;
  };
  void add_connection_waiter(std::uint64_t ticket, connection_waiter waiter) {
    waiting_for_connection_.emplace(ticket, std::move(waiter));
  }
  void remove_connection_waiter(std::uint64_t ticket) { waiting_for_connection_.erase(ticket); }

  // Ids of the scopes of requests that wait for a view in which their key has an owner.
  std::set<std::uint64_t>& waiting_for_owner() { return waiting_for_owner_; }

 private:
  void schedule_sweep();
  void give_back_memory();
  void sweep_shared_state(monotonic_time now);
  void probe_shared_upstreams(const service_traffic& service, const service_snapshot& snapshot,
                              monotonic_time now);
  void wake_owner_waiters();
  void wake_connection_waiters();
  void abort_sessions();
  void stop_if_finished();

  traffic_state& shared_;
  metrics& counters_;
  std::size_t index_;
  boost::asio::io_context io_{1};
  boost::asio::executor_work_guard<io_executor> work_;
  task_timer sweep_timer_;
  std::shared_ptr<const traffic_view> view_;
  connection_pool pool_;
  buffer_pool buffers_;
  deadline_sweeper sweeper_;
  message_pool messages_;
  std::mt19937_64 random_;
  std::uint64_t last_id_ = 0;
  drain_phase phase_ = drain_phase::serving;
  monotonic_time drain_began_{};
  monotonic_time close_idle_at_ = monotonic_time::max();
  monotonic_time last_request_ = monotonic_time::max();
  bool stopping_ = false;
  monotonic_time next_retire_{};
  monotonic_time next_skipped_line_{};
  std::set<std::uint64_t> waiting_for_owner_;
  std::map<std::uint64_t, connection_waiter> waiting_for_connection_;
  std::unordered_map<std::uint64_t, request_scope*> scopes_;
  caller_limits limits_;
  memory_budget memory_;
  std::size_t most_held_ = 0;  // since free memory was last given back to the system
  monotonic_time next_limited_line_{};
  std::size_t limited_ = 0;  // since the last line about it
  bool finishing_ = false;
  std::unordered_map<std::uint64_t, std::unique_ptr<session>> sessions_;
  mutable std::mutex stats_mutex_;
  traffic_stats stats_;
  std::thread thread_;
};

}  // namespace plantainpaddle
