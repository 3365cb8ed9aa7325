// Sweeps of the policy's knobs, one JSON object a line, for docs/measurements.
#pragma once

#include <string>

namespace plantainpaddle::bench {

// which: placement, admission or joins. Prints to standard output.
bool run_sweep(const std::string& which);

}  // namespace plantainpaddle::bench
