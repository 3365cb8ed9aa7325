#include "routing/registry_snapshot.h"

#include <algorithm>
#include <cmath>

namespace plantainpaddle {
namespace {

// Returns the connections that this instance may open to each upstream of the service; at least
// one.
std::uint32_t connection_share(const declared_service& service, const registry_config& config) {
  const double all = service.connections * config.connection_share;
  const double share =
      std::floor(all / static_cast<double>(std::max<std::size_t>(1, config.instances)));
  return static_cast<std::uint32_t>(std::max(1.0, share));
}

// Returns from when an upstream of the domain gets no more requests. Owners of keys serve them for
// a while, as the keys are moving.
monotonic_time closed_from(const declared_service& service, const domain_id& domain,
                           const registry_config& config) {
  const auto it = config.evacuated.find(domain);
  if (it == config.evacuated.end()) return monotonic_time::max();
  return service.keyed ? it->second : monotonic_time{};
}

// Makes the snapshot of a service with its upstreams, as yet without shards.
service_snapshot list_upstreams(const declared_service& declared, const upstream_list& list,
                                const registry_config& config, monotonic_time now) {
  service_snapshot snapshot;
  snapshot.service.name = declared.name;
  snapshot.service.keyed = declared.keyed;
  snapshot.cold_rate = config.cold ? cold_permit_rate(declared.cold_rate, *config.cold) : 0;
  for (const auto& [id, known] : list.all()) {
    if (known.entry.service != declared.name) continue;
    const auto closed = closed_from(declared, known.entry.domain, config);
    snapshot.upstreams.push_back({.name = id,
                                  .address = known.entry.address,
                                  .domain = known.entry.domain,
                                  .slots = known.entry.slots,
                                  .connections = connection_share(declared, config),
                                  .state = known.entry.leaving || now >= closed
                                               ? upstream_state::drain
                                               : upstream_state::active});
    if (!config.evacuated.empty()) snapshot.closed_from.push_back(closed);
    const auto returned = config.returned.find(known.entry.domain);
    const bool may_be_cold = snapshot.cold_rate > 0 && returned != config.returned.end();
    snapshot.warm_since.push_back(may_be_cold ? std::max(known.warm_since, returned->second)
                                              : known.warm_since);
    snapshot.lives.push_back(known.entry.life);
  }
  snapshot.dispatchers.resize(snapshot.upstreams.size());
  return snapshot;
}

// Makes a shard of each range. An owner that isn't listed, or whose grace period is over, gets
// none.
void assign_ranges(service_snapshot& service, const range_view& ranges,
                   const std::map<upstream_id, monotonic_time>& leaving,
                   const registry_config& config, monotonic_time now) {
  std::map<upstream_id, std::uint32_t> index;
  for (std::uint32_t i = 0; i < service.upstreams.size(); ++i) {
    index[service.upstreams[i].name] = i;
  }
  const auto is_closed = [&](std::uint32_t upstream) {
    return !service.closed_from.empty() && now >= service.closed_from[upstream];
  };
  numbered_keys keys;
  for (const auto& entry : ranges.record.ranges) {
    keys.first_keys.push_back(entry.first);
    shard_target target{.fence = entry.fence};
    const auto moving = ranges.moving_since.find(entry.fence);
    if (moving != ranges.moving_since.end()) target.moving_since = moving->second;
    const auto it = entry.owner ? index.find(*entry.owner) : index.end();
    if (it != index.end()) {
      const auto since = leaving.find(*entry.owner);
      const bool grace_over = since != leaving.end() && now - since->second >= config.leaving_grace;
      if (!grace_over && !is_closed(it->second)) target.upstream = it->second;
    }
    const auto former = entry.former.empty() ? index.end() : index.find(entry.former.back());
    if (former != index.end() && !leaving.contains(former->first) && !is_closed(former->second)) {
      target.former = former->second;
    }
    service.shards.push_back(target);
  }
  service.keys = std::move(keys);
}

}  // namespace

range_view update_range_view(const range_view& before, const range_record& record,
                             monotonic_time now) {
  range_view next{record, {}};
  for (const auto& entry : record.ranges) {
    if (entry.former.empty()) continue;
    const auto known = before.moving_since.find(entry.fence);
    next.moving_since[entry.fence] = known == before.moving_since.end() ? now : known->second;
  }
  return next;
}

routing_snapshot make_registry_snapshot(const desired_state& desired, const upstream_list& list,
                                        const std::map<service_id, range_view>& ranges,
                                        const std::map<upstream_id, monotonic_time>& leaving,
                                        const registry_config& config, monotonic_time now) {
  routing_snapshot snapshot;
  snapshot.version = desired.version;
  snapshot.limits = desired.limits;
  snapshot.contended = config.contended || desired.ranked;
  snapshot.evacuates = config.evacuates;
  std::map<service_id, std::uint32_t> index;
  for (const auto& declared : desired.services) {
    index[declared.name] = static_cast<std::uint32_t>(snapshot.services.size());
    auto service = list_upstreams(declared, list, config, now);
    service.table_revision.value = desired.version;
    if (declared.keyed) {
      service.keys = numbered_keys{};
      const auto view = ranges.find(declared.name);
      if (view != ranges.end()) assign_ranges(service, view->second, leaving, config, now);
    }
    snapshot.limits_cold = snapshot.limits_cold || service.cold_rate > 0;
    snapshot.services.push_back(std::move(service));
  }
  for (const auto& declared : desired.routes) {
    split_route route{.row = declared.row, .policy = declared.policy};
    for (const auto& [name, weight] : declared.targets) {
      const auto it = index.find(name);
      if (it != index.end()) route.targets.push_back({it->second, weight});
    }
    if (!route.targets.empty()) snapshot.split_routes.push_back(std::move(route));
  }
  return snapshot;
}

}  // namespace plantainpaddle
