// What traffic threads route by: an immutable snapshot of table and ownership, replaced as a whole.
//
//   auto snapshot = holder.load();                       // shared_ptr<const routing_snapshot>
//   auto match = match_route(*snapshot, host, path);
//   auto key = extract_key(*match.route, target, header);
//   const shard_target* owner = owner_of(*match.service, key);
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ownership/cell_record.h"
#include "table/rows.h"

namespace plantainpaddle {

struct shard_target {
  std::uint32_t upstream = no_upstream;  // index into service_snapshot::upstreams
  fence_number fence;
  // For upstreams that check no fences, the owner's whole name: "upstream~instance".
  upstream_id dispatched;
  static constexpr std::uint32_t no_upstream = ~std::uint32_t{0};
  bool operator==(const shard_target&) const = default;
};

struct service_snapshot {
  service_row service;
  revision_number table_revision;
  std::vector<upstream_row> upstreams;
  std::vector<route_row> routes;  // longest path prefix first
  std::vector<limit_row> limits;
  std::vector<shard_target> shards;  // by shard id; empty for services that aren't divided by key
  // Per upstream, the instance through which its requests pass; empty address: it is this one, or
  // direct.
  std::vector<std::string> dispatchers;
  bool operator==(const service_snapshot&) const = default;
};

struct routing_snapshot {
  std::vector<service_snapshot> services;
};

struct route_match {
  const service_snapshot* service = nullptr;
  const route_row* route = nullptr;
};

// The route with a matching host and the longest matching path prefix; hosts before no host.
route_match match_route(const routing_snapshot& snapshot, std::string_view host,
                        std::string_view path);

using header_lookup = std::function<std::string_view(std::string_view name)>;

// The request's key; nothing if the route has none or the request lacks it.
std::optional<std::string> extract_key(const route_row& route, std::string_view target,
                                       const header_lookup& header);

// The shard's target; nullptr if nobody owns it now.
const shard_target* owner_of(const service_snapshot& service, shard_id shard);

service_snapshot make_service_snapshot(const service_table& declared,
                                       const std::vector<cell_record>& cells);

}  // namespace plantainpaddle
