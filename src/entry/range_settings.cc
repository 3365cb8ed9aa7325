#include "entry/range_settings.h"

#include <algorithm>

#include "base/hash.h"
#include "platform/platform_headers.h"

namespace plantainpaddle {

namespace {

constexpr std::size_t upstream_descriptors = 1000;  // not available to callers
constexpr int lapse_heartbeats = 3;                 // without which an entry is removed
// Heartbeats come approximately in time, and entries may not lapse during range_timing's
// max_entries_gap.
constexpr duration entry_lapse_slack = milliseconds(2500);

}  // namespace

proxy_settings traffic_settings(const entry_settings& settings) {
  proxy_settings traffic{.listen_callers = settings.listen_callers,
                         .threads = 1,
                         .instance = settings.name,
                         .domain = settings.domain,
                         .names = platform_header_names,
                         .shared_upstreams = true,
                         .own_thread = false};
  auto& limits = traffic.limits;
  limits.buffer_answers = true;
  const auto& clients = settings.clients;
  const auto memory = static_cast<double>(std::size_t{settings.bounds.memory_mb} << 20);
  limits.memory.bytes = static_cast<std::size_t>(memory * clients.memory_share);
  limits.memory.shares[static_cast<std::size_t>(held_kind::bodies)] = clients.body_share;
  limits.pipelined = clients.pipelined;
  limits.head_fields = clients.head_fields;
  limits.body_progress = clients.progress_bytes;
  limits.body_time = clients.progress_time;
  limits.owner_wait = milliseconds(400);
  limits.misdirected_wait = milliseconds(60);
  limits.retry_after = milliseconds(150);
  limits.first_byte_timeout.fill(seconds(3600));
  limits.tcp_user_timeout = milliseconds(500);
  limits.sweep_period = milliseconds(20);
  const std::size_t descriptors = settings.bounds.descriptors;
  limits.connections =
      descriptors > 2 * upstream_descriptors ? descriptors - upstream_descriptors : descriptors / 2;
  if (clients.connections != 0) {
    limits.connections = std::min<std::size_t>(limits.connections, clients.connections);
  }
  return traffic;
}

range_timing range_timing_for(const entry_settings& settings) {
  range_timing timing;
  timing.hold = std::min<duration>(timing.hold, settings.bounds.hold_max);
  timing.outage_hold = std::min<duration>(timing.outage_hold, settings.bounds.hold_max);
  if (settings.bounds.heartbeat != duration::zero())
    timing.entry_lapse = lapse_heartbeats * settings.bounds.heartbeat + entry_lapse_slack;
  return timing;
}

// Instances that start together have registered, and read of each other, within 2 s. A registration
// lapses 8 s after its last renewal, and others count on its instance for settle_time from then.
permit_config permit_config_for(const entry_settings& settings) {
  constexpr duration quiet_time = milliseconds(2000);
  constexpr duration list_life = milliseconds(12'000);
  permit_config config;
  if (!settings.bounds.cold_overrun) return config;
  config.quiet_time = quiet_time;
  config.list_life = list_life;
  return config;
}

store_view_timing store_view_timing_for(const entry_settings& settings) {
  constexpr double hashes = 1ULL << 32;
  constexpr duration cold_again_margin = milliseconds(500);
  return {.bounds = {.desired = settings.bounds.apply, .leaving = settings.bounds.drain},
          .upstreams = {.cold_again_margin = settings.bounds.cold_overrun
                                                 ? std::optional<duration>(cold_again_margin)
                                                 : std::nullopt},
          .evacuations = settings.bounds.evacuation.has_value(),
          .spread = static_cast<double>(hash64(settings.name) >> 32) / hashes};
}

candidacy_timing candidacy_timing_for(const entry_settings& settings) {
  candidacy_timing timing;
  timing.lease = std::max<duration>(timing.lease, settings.bounds.lease_min);
  return timing;
}

// Instances start at different times, so that they rarely compete. One with little processor time,
// which an assigner of many upstreams uses up, lets others go first. Where upstreams are contended,
// plans are made more often, and all but the largest instances do so.
duration candidacy_spread(const entry_settings& settings, const instance_id& self) {
  constexpr duration max_spread = milliseconds(150);
  constexpr double assigner_cores = 0.2;
  constexpr double ample_cores = 0.4;
  const auto hash = static_cast<duration::rep>(std::hash<std::string>{}(self.value)) & 0xffff;
  const auto own = duration(hash) * max_spread.count() / 0xffff;
  if (settings.bounds.cores < assigner_cores) return own + 2 * max_spread;
  return settings.contended && settings.bounds.cores < ample_cores ? own + max_spread : own;
}

}  // namespace plantainpaddle
