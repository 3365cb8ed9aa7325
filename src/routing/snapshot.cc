#include "routing/snapshot.h"

#include <algorithm>
#include <charconv>

#include "base/unit_fraction.h"

namespace plantainpaddle {
namespace {

// A prefix matches whole path segments: "/a" matches "/a" and "/a/b", but not "/ab".
bool prefix_matches(std::string_view prefix, std::string_view path) {
  if (!path.starts_with(prefix)) return false;
  return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/';
}

// Returns the path segment with the index that the text states, counted from 0.
std::optional<std::string> path_segment(std::string_view path, std::string_view number_text) {
  std::size_t wanted = 0;
  std::from_chars(number_text.data(), number_text.data() + number_text.size(), wanted);
  path.remove_prefix(std::min<std::size_t>(1, path.size()));
  for (std::size_t i = 0;; ++i) {
    const auto slash = path.find('/');
    if (i == wanted) {
      const auto segment = path.substr(0, slash);
      return segment.empty() ? std::nullopt : std::optional<std::string>(segment);
    }
    if (slash == std::string_view::npos) return std::nullopt;
    path.remove_prefix(slash + 1);
  }
}

// Returns the value of a query parameter as it is written, without decoding it.
std::optional<std::string> query_value(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const auto pair = query.substr(0, query.find('&'));
    const auto equals = pair.find('=');
    if (pair.substr(0, equals) == name && equals != std::string_view::npos &&
        equals + 1 < pair.size()) {
      return std::string(pair.substr(equals + 1));
    }
    query.remove_prefix(std::min(pair.size() + 1, query.size()));
  }
  return std::nullopt;
}

}  // namespace

namespace {

// Returns the service of a target drawn by weight.
const service_snapshot& draw_service(const routing_snapshot& snapshot, const split_route& route,
                                     std::uint64_t random) {
  double total = 0;
  for (const auto& target : route.targets) total += target.weight;
  double point = unit_fraction(random) * total;
  for (const auto& target : route.targets) {
    if (point < target.weight) return snapshot.services[target.service];
    point -= target.weight;
  }
  return snapshot.services[route.targets.back().service];
}

}  // namespace

route_match match_route(const routing_snapshot& snapshot, std::string_view host,
                        std::string_view path, std::uint64_t random) {
  const std::string_view name = host.substr(0, host.rfind(':'));
  route_match best;
  const split_route* split = nullptr;
  const auto is_better = [&](const route_row& route) {
    if (!route.host.empty() && route.host != host && route.host != name) return false;
    if (!prefix_matches(route.path_prefix, path)) return false;
    if (best.route == nullptr) return true;
    if (route.host.empty() != best.route->host.empty()) return best.route->host.empty();
    return route.path_prefix.size() > best.route->path_prefix.size();
  };
  for (const auto& service : snapshot.services) {
    for (const auto& route : service.routes) {
      if (is_better(route)) best = {&service, &route, {}};
    }
  }
  for (const auto& route : snapshot.split_routes) {
    if (!is_better(route.row)) continue;
    split = &route;
    best = {nullptr, &route.row, route.policy};
  }
  if (best.route != nullptr && best.service == nullptr) {
    best.service = &draw_service(snapshot, *split, random);
  }
  return best;
}

std::optional<std::string> extract_key(const route_row& route, std::string_view target,
                                       const header_lookup& header) {
  const auto question = target.find('?');
  const auto path = target.substr(0, question);
  switch (route.key_from) {
    case key_source::none:
      return std::nullopt;
    case key_source::path_segment:
      return path_segment(path, route.key_name);
    case key_source::header: {
      const auto value = header(route.key_name);
      return value.empty() ? std::nullopt : std::optional<std::string>(value);
    }
    case key_source::query:
      if (question == std::string_view::npos) return std::nullopt;
      return query_value(target.substr(question + 1), route.key_name);
  }
  return std::nullopt;
}

const shard_target* owner_of(const service_snapshot& service, shard_id shard) {
  if (shard.value >= service.shards.size()) return nullptr;
  const auto& target = service.shards[shard.value];
  return target.upstream == shard_target::no_upstream ? nullptr : &target;
}

service_snapshot make_service_snapshot(const service_table& declared,
                                       const std::vector<cell_record>& cells) {
  service_snapshot snapshot;
  snapshot.service = declared.service;
  snapshot.table_revision = declared.revision;
  snapshot.upstreams = declared.upstreams;
  snapshot.routes = declared.routes;
  snapshot.limits = declared.limits;
  snapshot.dispatchers.resize(snapshot.upstreams.size());
  std::stable_sort(
      snapshot.routes.begin(), snapshot.routes.end(),
      [](const auto& a, const auto& b) { return a.path_prefix.size() > b.path_prefix.size(); });
  if (!declared.service.keyed) return snapshot;
  snapshot.shards.resize(declared.service.shards);
  std::map<upstream_id, std::uint32_t> index;
  for (std::uint32_t i = 0; i < snapshot.upstreams.size(); ++i)
    index[snapshot.upstreams[i].name] = i;
  for (const auto& cell : cells) {
    for (const auto& [shard, entry] : cell.shards) {
      if (shard.value >= snapshot.shards.size() || !entry.owner) continue;
      const auto it = index.find(upstream_of(*entry.owner));
      if (it == index.end()) continue;
      auto& target = snapshot.shards[shard.value];
      // While a shard moves between cells, both records may list it. The higher fencing token is
      // the newer one.
      if (target.upstream == shard_target::no_upstream || entry.fence > target.fence) {
        const bool dispatched = dispatcher_of(*entry.owner).has_value();
        target = {it->second, entry.fence, dispatched ? *entry.owner : upstream_id{}};
      }
    }
  }
  return snapshot;
}

}  // namespace plantainpaddle
