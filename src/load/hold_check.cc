#include "load/hold_check.h"

#include <algorithm>

namespace plantainpaddle {

std::vector<double_hold> find_double_holds(std::vector<hold_record> holds, duration allowed) {
  std::sort(holds.begin(), holds.end(),
            [](const auto& a, const auto& b) { return a.from < b.from; });
  std::vector<double_hold> found;
  for (std::size_t i = 0; i < holds.size(); ++i) {
    const auto& first = holds[i];
    for (std::size_t j = i + 1; j < holds.size() && holds[j].from < first.until; ++j) {
      const auto& second = holds[j];
      if (second.service != first.service || second.upstream == first.upstream) continue;
      if (second.first > first.last || second.last < first.first) continue;
      const duration length = std::min(first.until, second.until) - second.from;
      if (length > allowed) found.push_back({first, second, length});
    }
  }
  return found;
}

std::string to_string(const double_hold& found) {
  const auto describe = [](const hold_record& hold) {
    return hold.upstream + " (fence " + std::to_string(hold.fence) + ", from " +
           std::to_string(hold.from.count()) + " us)";
  };
  return "keys " + std::to_string(std::max(found.first.first, found.second.first)) + " to " +
         std::to_string(std::min(found.first.last, found.second.last)) + " of " +
         found.first.service + " held by " + describe(found.first) + " and " +
         describe(found.second) + " for " + std::to_string(found.length / milliseconds(1)) + " ms";
}

}  // namespace plantainpaddle
