// The parts of the platform's contract that change how this router works, by the names that the
// platform gives them in the settings.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

namespace plantainpaddle {

// Whether upstreams share their machines with others and have less room than callers ask for at
// times, so that instances share what they observe and admit requests by priority.
inline bool has_contended_upstreams(const std::vector<std::string>& contracts) {
  return std::any_of(contracts.begin(), contracts.end(), [](const std::string& name) {
    return name == "places" || name == "pressure";
  });
}

}  // namespace plantainpaddle
