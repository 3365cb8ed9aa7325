// The control thread of an entry instance: keeps the state in step with store and peers, runs the
// assigners and standbys that this instance is, and publishes snapshots for the traffic threads.
//
//   control_plane control(settings, on_snapshot);
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

// What the traffic threads and the control thread tell each other; called on the control thread.
struct traffic_hooks {
  std::function<void(std::shared_ptr<const routing_snapshot>)> on_snapshot;
  std::function<std::vector<limit_use>()> limit_usage;
  std::function<void(const instance_id& from, const std::vector<limit_use>&)> on_limit_usage;
  std::function<std::map<service_id, std::vector<shard_requests::entry>>()> take_shard_requests;
  std::function<std::vector<queue_status>()> queues;
  // An order for an upstream that checks no fences and whose dispatcher this instance is.
  std::function<grant_answer(const upstream_id& owner, const grant_order&)> handle_order;
};

class control_plane {
 public:
  control_plane(entry_settings settings, metrics& counters, traffic_hooks hooks);
  ~control_plane();
  control_plane(const control_plane&) = delete;
  control_plane& operator=(const control_plane&) = delete;

  // Listens for peers and starts the thread.
  result<std::string> start();
  void stop();

  // From now on this instance is not ready, and starts as assigner of no cell.
  void set_leaving();
  // Hands the cells of this instance over to their standbys; returns when that is done or time is
  // up.
  void leave(duration within);

  // The state as JSON, for the operators' port; may be called on any thread, as the next one.
  std::string describe();
  // True once a table is known and until the instance leaves.
  bool is_ready();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace plantainpaddle
