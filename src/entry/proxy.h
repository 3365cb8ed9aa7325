// The data path of an entry instance: callers' requests to upstreams, on traffic threads of its
// own.
//
//   proxy traffic({.listen_callers = "127.0.0.1:8080", .threads = 4}, counters);
//   auto address = traffic.start();
//   traffic.set_snapshot(snapshot);       // as often as a new one comes
//   ...
//   traffic.drain(seconds(20));           // answers what is in flight
//   traffic.stop();
//
// All members may be called on any thread but the traffic threads.
#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/error.h"
#include "entry/proxy_settings.h"
#include "entry/status.h"
#include "metrics/metrics.h"
#include "peer/messages.h"
#include "routing/limiter.h"
#include "routing/snapshot.h"

namespace plantainpaddle {

struct retry_config;
struct traffic_view;

class proxy {
 public:
  proxy(proxy_settings settings, metrics& counters);
  ~proxy();
  proxy(const proxy&) = delete;
  proxy& operator=(const proxy&) = delete;

  // The address in use for callers.
  result<std::string> start();
  // Of the listener for other instances, once started; empty if there is none.
  std::string forward_address() const;
  // With own_thread false: works on the calling thread until finish() and the last connection's
  // end.
  void run();
  void finish(bool cut_off = false);
  // The first traffic thread's, for what is to run beside the traffic.
  boost::asio::io_context& io();
  void begin_drain(bool accept_more);
  void set_retry_config(const retry_config& config);
  std::shared_ptr<const traffic_view> view() const;
  void set_snapshot(std::shared_ptr<const routing_snapshot> snapshot);

  // Takes no more connections, answers each request in flight whole with "Connection: close", and
  // returns when no connection is left, or after `bound`: false then.
  bool drain(duration bound);
  // Cuts off what is still under way.
  void stop();

  std::size_t connections() const;

  // What the control thread exchanges with other instances.
  std::vector<limit_use> limit_usage();
  void on_limit_usage(const instance_id& from, const std::vector<limit_use>& entries);
  // As dispatcher of an upstream that checks no fences.
  grant_answer handle_order(const upstream_id& owner, const grant_order& order);
  void set_leaving();
  std::vector<queue_status> queues() const;
  // Requests of each shard since the last call.
  std::map<service_id, std::vector<shard_requests::entry>> take_shard_requests();
  void on_load_report(const service_id& service, const upstream_id& upstream,
                      const load_report& report);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace plantainpaddle
