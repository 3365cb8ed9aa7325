// The data path of an entry instance: forwards callers' requests to upstreams, on traffic threads
// of its own.
//
//   proxy traffic({.listen_callers = "127.0.0.1:8080", .threads = 4}, counters);
//   auto address = traffic.start();
//   traffic.set_snapshot(snapshot);       // for each new snapshot
//   traffic.drain(seconds(20));           // answers the requests in flight
//   traffic.stop();
//
// Members may be called on any thread but the traffic threads; set_snapshot() and
// set_retry_config() on one thread only. Without threads of its own (proxy_settings::own_thread is
// false), members are called on the thread that calls run(), and finish() takes the place of
// drain(), which would block that thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "entry/proxy_settings.h"
#include "entry/status.h"
#include "metrics/metrics.h"
#include "peer/messages.h"
#include "routing/limiter.h"
#include "routing/snapshot.h"
#include "routing/upstream_permits.h"

namespace plantainpaddle {

struct retry_config;
struct traffic_view;

class proxy {
 public:
  proxy(proxy_settings settings, metrics& counters);
  ~proxy();
  proxy(const proxy&) = delete;
  proxy& operator=(const proxy&) = delete;

  // Starts listening and, with own_thread, the threads. Returns the address in use for callers;
  // fails if an address is malformed or can't be listened on.
  result<std::string> start();
  // The address in use for other instances, once started; empty if there is no such listener.
  std::string forward_address() const;
  // With own_thread false: serves on the calling thread until finish() has been called and the last
  // connection has ended, or until stop().
  void run();
  // With own_thread false: stops accepting callers; run() returns when no connection is left. With
  // abort_connections, all connections are aborted at once.
  void finish(bool abort_connections = false);
  // The first traffic thread's context, for other work on that thread.
  boost::asio::io_context& io();
  // Takes requests that have been read whole by `last_request`, by default drain_idle_time from
  // now. Connections close with their last response, or then if they are idle. With accept_more,
  // callers may still connect.
  void begin_drain(bool accept_more, std::optional<monotonic_time> last_request = {});
  // Gives up pipelined requests whose responses keep back others that are ready. To be called
  // before connections are aborted.
  void release_ready_responses();
  // Answers all requests that have no response yet: that they haven't run, where nothing was sent,
  // else that it isn't known. To be called before connections are aborted.
  void end_waits();
  // Replaces the retry budgets' configuration for all services.
  void set_retry_config(const retry_config& config);
  std::shared_ptr<const traffic_view> view() const;
  // Routes requests by this snapshot from now on.
  void set_snapshot(std::shared_ptr<const routing_snapshot> snapshot);

  // Accepts no more connections, answers each request in flight with "Connection: close", and waits
  // until no connection is left. Idle connections are closed after drain_idle_time, and requests
  // without a response get one shortly before the end. False if connections are left after `bound`.
  bool drain(duration bound);
  // Stops accepting, aborts all connections and joins the threads. With own_thread false, only
  // stops accepting and the io_context: run() returns, and open connections stay open until the
  // proxy is destroyed. Does nothing before start() or when called again.
  void stop();

  // Open connections of callers and of other instances.
  std::size_t connections() const;
  std::size_t requests() const;  // in progress; with own_thread false only

  // Use of the rate limits, which the control thread exchanges with other instances.
  std::vector<limit_use> limit_usage();
  void on_limit_usage(const instance_id& from, const std::vector<limit_use>& entries);
  // Handles an assigner's order to this instance as the dispatcher of an upstream that doesn't
  // check fencing tokens. `owner` names the upstream and this instance.
  grant_answer handle_order(const upstream_id& owner, const grant_order& order);
  // Tells assigners from now on that this instance leaves, so that they move its shards to other
  // dispatchers.
  void set_leaving();
  // The upstreams whose queue isn't empty.
  std::vector<queue_status> queues() const;
  // The requests of each shard since the last call.
  std::map<service_id, std::vector<shard_requests::entry>> take_shard_requests();
  // Sets how permits are asked for (traffic_state::ask_permit). To be called before start().
  void set_permit_source(
      std::function<void(const permit_request&, std::function<void(permit_decision)>)> ask);
  // Sets what is called when an upstream leaves (traffic_state::on_leaving). To be called before
  // start().
  void set_leaving_handler(
      std::function<void(const upstream_id& upstream, std::uint64_t life)> on_leaving);
  // Takes in the load that an upstream reported.
  void on_load_report(const service_id& service, const upstream_id& upstream,
                      const load_report& report);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace plantainpaddle
