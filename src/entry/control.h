// The control thread of an entry instance. It synchronizes the state with the store and the other
// instances, runs the assigner and standby roles of this instance, and publishes routing snapshots
// for the traffic threads.
//
//   control_plane control(settings, counters, hooks);
//   auto started = control.start();
//   ...
//   control.stop();
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/error.h"
#include "base/time.h"
#include "entry/settings.h"
#include "entry/status.h"
#include "metrics/metrics.h"
#include "peer/messages.h"
#include "routing/limiter.h"
#include "routing/snapshot.h"

namespace plantainpaddle {

// Callbacks through which the control thread exchanges data with the traffic threads. All of them
// are called on the control thread.
struct traffic_hooks {
  std::function<void(std::shared_ptr<const routing_snapshot>)> on_snapshot;
  std::function<std::vector<limit_use>()> limit_usage;
  std::function<void(const instance_id& from, const std::vector<limit_use>&)> on_limit_usage;
  std::function<std::map<service_id, std::vector<shard_requests::entry>>()> take_shard_requests;
  std::function<std::vector<queue_status>()> queues;
  // Handles a grant order for an upstream that doesn't check fencing tokens and for which this
  // instance is the dispatcher.
  std::function<grant_answer(const upstream_id& owner, const grant_order&)> handle_order;
};

class control_plane {
 public:
  control_plane(entry_settings settings, metrics& counters, traffic_hooks hooks);
  ~control_plane();
  control_plane(const control_plane&) = delete;
  control_plane& operator=(const control_plane&) = delete;

  // Listens for peers and starts the control thread. Returns the address that it listens on, or the
  // error of the listener.
  result<std::string> start();
  // Ends the control thread without handing over cells. Does nothing if it isn't running.
  void stop();

  // Makes is_ready() false and keeps this instance from becoming the assigner of further cells.
  void set_leaving();
  // Hands the cells of this instance over to their standbys. Returns when all handovers have ended,
  // or after `within` at the latest. May be called once.
  void leave(duration within);

  // Returns the state as JSON for the operators' port (see status.h). Blocks until the control
  // thread has answered; any other thread may call it.
  std::string describe();
  // True from the time a service table is known until the instance leaves. Blocks as describe().
  bool is_ready();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace plantainpaddle
