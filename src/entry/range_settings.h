// What a range_instance's parts are given, derived from the settings of the instance.
#pragma once

#include "entry/proxy_settings.h"
#include "entry/settings.h"
#include "entry/store_view.h"
#include "ownership/candidacy.h"
#include "ownership/range_assigner.h"
#include "routing/upstream_permits.h"

namespace plantainpaddle {

// The load balancer removes an instance after two readiness checks, a second apart, that fail.
inline constexpr duration balancer_removal_time = milliseconds(2600);

proxy_settings traffic_settings(const entry_settings& settings);
range_timing range_timing_for(const entry_settings& settings);
permit_config permit_config_for(const entry_settings& settings);
store_view_timing store_view_timing_for(const entry_settings& settings);
candidacy_timing candidacy_timing_for(const entry_settings& settings);
// Returns by how much this instance starts its candidacies later than the earliest ones.
duration candidacy_spread(const entry_settings& settings, const instance_id& self);

}  // namespace plantainpaddle
