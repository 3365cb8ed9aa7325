// Regression scenarios: each violated an invariant in an earlier version of the protocol, or does
// so when one of its guards is removed, and is the smallest such scenario found. Tests run them
// unchanged; the fuzzer also varies them.
#pragma once

#include <string>
#include <vector>

#include "ownership/testing/model.h"

namespace plantainpaddle::model {

struct known_scenario {
  std::string name;
  std::vector<fault_step> steps;
};

const std::vector<known_scenario>& known_scenarios();

}  // namespace plantainpaddle::model
