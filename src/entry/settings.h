// Settings of an entry instance, read from a JSON file and validated as a whole before anything
// starts.
// docs/OPERATIONS.md lists the names with unit, default and bounds.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/log.h"
#include "base/time.h"

namespace plantainpaddle {

// The kind of store, which also decides how keys are kept exclusive. With etcd, cells of instances
// lease shards to upstreams; with items, upstreams register themselves and are granted ranges of
// numbered keys.
enum class platform_form { etcd, items };

// Limits that the platform guarantees or requires. They apply to platform_form::items only.
struct platform_bounds {
  duration drain = seconds(2);  // from an upstream's notice that it leaves to its last new request
  duration apply = seconds(2);  // from the acknowledgement of a desired state until it is in force
  // From SIGTERM to the end of the process at the latest. Connections that are still open 500 ms
  // before are aborted.
  duration shutdown = seconds(6);
  duration hold_max = seconds(10);  // maximum duration of a grant
  duration lease_min = seconds(1);  // minimum lease that the store accepts
  // From an upstream's end until its address may be given to another one. Zero: any time.
  duration reuse_after{0};
  // From one renewal of an upstream's entry in the store to the next. Zero: unknown.
  duration heartbeat{0};
  double retry_share = 0.2;       // retries per request of a service, over all instances
  double retry_burst = 64;        // retries on top of that share, over all instances
  std::uint32_t memory_mb = 256;  // MiB, of the process
  std::uint32_t descriptors = 4096;
  double cores = 1;  // that this instance may use
  // Set where upstreams state how many requests they take while they are cold: in any second, all
  // instances together send one at most the stated rate times cold_overrun, plus cold_slack.
  std::optional<double> cold_overrun;
  double cold_slack = 0;  // requests
  // From an order to evacuate a failure domain to the last request to its upstreams. Unset: the
  // platform gives no such orders.
  std::optional<duration> evacuation;

  bool operator==(const platform_bounds&) const = default;
};

// Limits on callers, which may be out of the platform's control. They apply to platform_form::items
// only. The defaults are beyond what a caller inside the declared limits reaches.
struct client_limits {
  double memory_share = 0.5;  // of platform_bounds::memory_mb, for callers' connections
  double body_share = 0.5;    // of that memory, for bodies that are read before they are sent
  // While a body is transferred, the caller must move progress_bytes within progress_time.
  std::uint32_t progress_bytes = 1024;
  duration progress_time = seconds(10);
  std::uint32_t head_fields = 100;  // of a request
  std::uint32_t pipelined = 8;      // requests in progress on one connection
  std::uint32_t connections = 0;    // 0: as many as platform_bounds::descriptors allows

  bool operator==(const client_limits&) const = default;
};

struct entry_settings {
  std::string name;
  std::string cluster;
  std::string region;
  domain_id domain;
  std::string listen_callers;  // each listen address is "IP:port"
  std::string listen_forward;
  std::string listen_operators;
  std::string listen_peers;
  std::vector<std::string> store;  // addresses of the key-value service, tried in turn
  std::string instances;  // address of the platform's instance list; platform_form::etcd only
  platform_form form = platform_form::etcd;
  platform_bounds bounds;
  client_limits clients;
  // Whether instances share what they observe of upstreams and admit requests by priority.
  // platform_form::items only.
  bool contended = false;
  std::uint32_t threads = 2;  // for traffic; 1 with platform_form::items
  log_level level = log_level::info;

  bool operator==(const entry_settings&) const = default;
};

// Parses settings. The error lists all faults with their places; `file` is used only in its text.
result<entry_settings> parse_entry_settings(std::string_view text, const std::string& file);
// Reads and parses `file`. Returns errc::not_found if it can't be opened.
result<entry_settings> read_entry_settings(const std::string& file);

}  // namespace plantainpaddle
