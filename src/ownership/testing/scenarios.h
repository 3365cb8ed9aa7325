// Scenarios that once broke a version of the protocol, or break it when a guard is removed; each is
// the smallest that was found. Tests run them as they are, the fuzzer varies them.
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
