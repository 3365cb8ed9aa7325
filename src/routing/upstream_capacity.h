// What the planner of key ranges is told of an upstream: its capacity as its entry states it and as
// requests to it show it.
#pragma once

#include "ownership/observed_speeds.h"
#include "ownership/range_planner.h"
#include "ownership/upstream_list.h"
#include "routing/placement.h"

namespace plantainpaddle {

// `observed` is null if there are no observations of the service; then all upstreams count as
// equally fast.
range_upstream estimate_capacity(const registered_upstream& entry, const placement* observed,
                                 monotonic_time now);
// The same with the speeds that all instances observed. `observed` gives the mean time of work.
range_upstream estimate_capacity(const registered_upstream& entry, const placement* observed,
                                 const observed_speeds& speeds, monotonic_time now);

}  // namespace plantainpaddle
