// Finds keys that two upstreams of a service held at once, from what upstreams wrote down.
//
//   for (const auto& found : find_double_holds(holds, milliseconds(500))) report(to_string(found));
//
// Takes O(n log n + overlapping pairs) for n holds.
#pragma once

#include <string>
#include <vector>

#include "standin/journal.h"

namespace plantainpaddle {

struct double_hold {
  hold_record first;
  hold_record second;
  duration length{0};
};

// Those that lasted for more than `allowed`. An upstream's own holds don't count against each
// other.
std::vector<double_hold> find_double_holds(std::vector<hold_record> holds, duration allowed);
std::string to_string(const double_hold& found);

}  // namespace plantainpaddle
