// Settings of an entry instance: a JSON file, checked as a whole before anything starts.
// docs/OPERATIONS.md lists the names with unit, default and bounds.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/log.h"
#include "base/time.h"

namespace plantainpaddle {

// What the store is, and with it who keeps keys exclusive: upstreams that are leased by cells of
// instances, or upstreams that register themselves and are granted ranges of numbered keys.
enum class platform_form { etcd, items };

// What the platform promises and demands; with platform_form::items.
struct platform_bounds {
  duration drain = seconds(2);      // from a leaving upstream's notice to its last new request
  duration shutdown = seconds(6);   // from SIGTERM to the process's end
  duration hold_max = seconds(10);  // longest grant
  duration lease_min = seconds(1);  // shortest lease of the store
  double retry_share = 0.2;         // retries per request of a service, over all instances
  double retry_burst = 64;          // beyond that share
  std::uint32_t memory_mb = 256;    // of the process
  std::uint32_t descriptors = 4096;

  bool operator==(const platform_bounds&) const = default;
};

struct entry_settings {
  std::string name;
  std::string cluster;
  std::string region;
  domain_id domain;
  std::string listen_callers;  // "IP:port" each
  std::string listen_forward;
  std::string listen_operators;
  std::string listen_peers;
  std::vector<std::string> store;  // the platform's key-value service, tried in turn
  std::string instances;           // the platform's instance list
  platform_form form = platform_form::etcd;
  platform_bounds bounds;
  std::uint32_t threads = 2;  // traffic threads; platform_form::items has one thread for everything
  log_level level = log_level::info;

  bool operator==(const entry_settings&) const = default;
};

// file is only for the error's text.
result<entry_settings> parse_entry_settings(std::string_view text, const std::string& file);
result<entry_settings> read_entry_settings(const std::string& file);

}  // namespace plantainpaddle
