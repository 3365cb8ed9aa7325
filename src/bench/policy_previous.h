// The planner of the first version, kept as a baseline: it looks at shard counts alone.
#pragma once

#include "ownership/planner.h"

namespace plantainpaddle {

std::vector<shard_move> plan_moves_by_count(const plan_input& input);

}  // namespace plantainpaddle
