// Sends a plan's requests in an open loop: arrivals keep their schedule however late the answers
// are.
//
//   std::vector<load_record> records = run_load(plan);
//
// Blocks until the plan's time is over and each request has an outcome. Latency counts from the
// scheduled time. A target that refuses the connection is passed over for the next one.
#pragma once

#include <vector>

#include "load/plan.h"
#include "load/record.h"

namespace plantainpaddle {

std::vector<load_record> run_load(const load_plan& plan);

}  // namespace plantainpaddle
