// The immutable snapshot of configuration and ownership by which traffic threads route requests. A
// newer one replaces it as a whole.
//
//   auto snapshot = holder.load();                       // shared_ptr<const routing_snapshot>
//   auto match = match_route(*snapshot, host, path, random);
//   auto key = extract_key(*match.route, target, header);
//   auto shard = find_shard(match.service->service, match.service->keys, *key);
//   const shard_target* owner = owner_of(*match.service, *shard);
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ownership/cell_record.h"
#include "routing/key_space.h"
#include "table/rows.h"

namespace plantainpaddle {

// Where the requests of a shard go.
struct shard_target {
  static constexpr std::uint32_t no_upstream = ~std::uint32_t{0};
  std::uint32_t upstream = no_upstream;  // index into service_snapshot::upstreams
  fence_number fence;
  // The owner's full name, "upstream~instance", if the upstream checks no fencing tokens and all
  // requests pass through a dispatcher; otherwise empty.
  upstream_id dispatched;
  // Since when the shard is moving. Until the move is complete, a former owner may still be
  // finishing work on the shard, and the new owner refuses requests.
  std::optional<monotonic_time> moving_since;
  std::uint32_t former = no_upstream;  // the last former owner, unless it is gone or leaving
  bool operator==(const shard_target&) const = default;
};

// A service with its upstreams, routes, limits and shards.
struct service_snapshot {
  service_row service;
  revision_number table_revision;
  std::vector<upstream_row> upstreams;
  std::vector<route_row> routes;  // longest path prefix first
  std::vector<limit_row> limits;
  key_space keys = hashed_keys{};
  std::vector<shard_target> shards;  // by shard id; empty for services that aren't divided by key
  // For each upstream, the address of the instance through which its requests pass. Empty if that
  // is this instance, or if requests are sent directly.
  std::vector<std::string> dispatchers;
  // For each upstream, the end of its cold start. Empty if that isn't known.
  std::vector<monotonic_time> warm_since;
  double cold_rate = 0;  // requests per second that a cold upstream takes; 0: not limited
  // For each upstream, from when it gets no more requests because its failure domain is evacuated;
  // monotonic_time::max() if it isn't. Empty if no domain is.
  std::vector<monotonic_time> closed_from;
  // For each upstream, its incarnation, which rises with each start. Empty if that isn't known.
  std::vector<std::uint64_t> lives;
  bool operator==(const service_snapshot&) const = default;
};

// How a route's requests are treated beyond what its row says.
struct route_policy {
  std::uint32_t priority = 0;      // 0 is the most urgent
  duration target_latency{0};      // an answer within it has full value; 0: not stated
  std::uint32_t max_attempts = 3;  // upstreams that one request may be sent to
  bool operator==(const route_policy&) const = default;
};

// A service that gets part of a split route's requests.
struct route_target {
  std::uint32_t service = 0;  // index into routing_snapshot::services
  double weight = 1;
  bool operator==(const route_target&) const = default;
};

// A route whose requests may be spread over several services.
struct split_route {
  route_row row;
  route_policy policy;
  std::vector<route_target> targets;  // never empty
  bool operator==(const split_route&) const = default;
};

// Limits on what a caller sends and how long it takes.
struct caller_limits {
  std::size_t head_bytes = 16 << 10;
  duration head_time = seconds(10);  // from a head's first byte to its last
  duration idle_time = seconds(60);  // of a connection without a request
  bool operator==(const caller_limits&) const = default;
};

// Everything that requests are routed by.
struct routing_snapshot {
  std::vector<service_snapshot> services;
  std::vector<split_route> split_routes;
  std::optional<caller_limits> limits;  // nullopt: those of the settings apply
  std::uint64_t version = 0;            // of the desired state; 0: not versioned as a whole
  // Whether instances share what they observe of upstreams and admit requests by priority.
  bool contended = false;
  // Whether the platform may order evacuations. Then an upstream is checked again right before a
  // request is sent to it (routing/upstream_check).
  bool evacuates = false;
  bool limits_cold = false;  // whether a service limits the rate of its cold upstreams
  bool known = true;         // false: nothing was read yet, so no route may be reported as missing
};

// The route of a request. All pointers are into the snapshot.
struct route_match {
  const service_snapshot* service = nullptr;
  const route_row* route = nullptr;
  route_policy policy;
};

// Returns the matching route: one with the request's host before one without a host, then the one
// with the longest path prefix. Its pointers are null if no route matches. For a split route, the
// service is drawn by weight with `random`, 64 random bits. Takes O(routes).
route_match match_route(const routing_snapshot& snapshot, std::string_view host,
                        std::string_view path, std::uint64_t random = 0);

using header_lookup = std::function<std::string_view(std::string_view name)>;

// Returns the request's key, or nullopt if the route has no key or the request lacks it.
std::optional<std::string> extract_key(const route_row& route, std::string_view target,
                                       const header_lookup& header);

// Returns the shard's target, or nullptr if the shard has no owner now.
const shard_target* owner_of(const service_snapshot& service, shard_id shard);

// Makes a service's snapshot from its table and the ownership records of its cells.
service_snapshot make_service_snapshot(const service_table& declared,
                                       const std::vector<cell_record>& cells);

}  // namespace plantainpaddle
