// Plays a soak's plan against a whole system of processes and checks what came of it.
//
//   result<soak_verdict> verdict = play_soak(plan, "build/bin", folder);
#pragma once

#include <string>

#include "base/error.h"
#include "soak/check.h"
#include "soak/plan.h"

namespace plantainpaddle {

// Logs, journals, the plan and the records of the requests are left in the folder.
result<soak_verdict> play_soak(const soak_plan& plan, const std::string& bin,
                               const std::string& folder);

}  // namespace plantainpaddle
