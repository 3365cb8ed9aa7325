// One traffic thread: its io_context, callers' connections, connections to upstreams, deadlines.
//
//   worker w(shared, counters, 0);
//   w.start();
//   w.adopt(view);                      // any thread
//   w.take(std::move(socket), false);   // any thread; the socket belongs to w.io()
//   w.begin_drain();  ...  w.stop();    // any other thread
//
// Everything without that note is called on the worker's thread.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <mutex>
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
  void start();
  // In place of start(): works on the calling thread until stop() or finish().
  void run();
  // Ends run() when the connections are gone; cut_off: which they are soon then. On the worker's
  // thread.
  void finish(bool cut_off);
  // Cuts off what is under way. Any thread but the worker's own.
  void stop();
  // Any thread.
  void adopt(std::shared_ptr<const traffic_view> view);
  void take(tcp_socket socket, bool internal);
  void begin_drain();
  // What was recorded, added to sum. Any thread.
  void add_stats(traffic_stats& sum) const;
  // The request of this scope and admission got its slot, or won't get one. Any thread.
  void decide(std::uint64_t scope, admission_id id, bool admitted);

  traffic_state& shared() { return shared_; }
  const proxy_settings& settings() const { return shared_.settings(); }
  metrics& counters() { return counters_; }
  void record(const traffic_sample& sample);
  // A reference count of its own for each thread: copies are cheap.
  std::shared_ptr<const traffic_view> view() const { return view_; }
  connection_pool& pool() { return pool_; }
  buffer_pool& buffers() { return buffers_; }
  deadline_sweeper& sweeper() { return sweeper_; }
  message_pool& messages() { return messages_; }
  bool draining() const { return draining_; }
  std::uint64_t random() { return random_(); }
  std::uint64_t next_id() { return (std::uint64_t{index_} << 48) | ++last_id_; }
  std::size_t index() const { return index_; }
  std::size_t sessions() const { return sessions_.size(); }
  request_scope* find(std::uint64_t id);
  void add_scope(request_scope& scope);
  void remove_scope(std::uint64_t id);
  // What callers may do, as the view in force says or else the settings.
  const caller_limits& limits() const { return limits_; }
  // Bytes of requests that are held; false: no more may be.
  bool hold(std::size_t bytes);
  void release_held(std::size_t bytes) { held_ -= bytes; }

  // Requests that wait for a new view.
  std::set<std::uint64_t>& waiting_for_owner() { return waiting_for_owner_; }

 private:
  void schedule_sweep();
  void sweep_shared(monotonic_time now);
  void probe_placed(const service_traffic& service, const service_snapshot& snapshot,
                    monotonic_time now);
  void wake_waiting();
  void abort_sessions();

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
  bool draining_ = false;
  bool stopping_ = false;
  monotonic_time next_retire_{};
  std::set<std::uint64_t> waiting_for_owner_;
  std::unordered_map<std::uint64_t, request_scope*> scopes_;
  caller_limits limits_;
  std::size_t held_ = 0;
  bool finishing_ = false;
  std::unordered_map<std::uint64_t, std::unique_ptr<session>> sessions_;
  mutable std::mutex stats_mutex_;
  traffic_stats stats_;
  std::thread thread_;
};

}  // namespace plantainpaddle
