#include "routing/idle_trust.h"

#include <algorithm>

namespace plantainpaddle {

void idle_trust::on_dead(std::string_view service, duration idle_for, monotonic_time now) {
  std::erase_if(doubts_, [&](const auto& entry) { return now >= entry.second.until; });
  const auto [place, added] = doubts_.try_emplace(std::string(service), doubt{idle_for, now});
  place->second.idle_for = std::min(place->second.idle_for, idle_for);
  place->second.until = now + doubt_time;
}

bool idle_trust::allows(std::string_view service, duration idle_for, monotonic_time now) const {
  const auto found = doubts_.find(service);
  if (found == doubts_.end() || now >= found->second.until) return true;
  return idle_for < found->second.idle_for;
}

}  // namespace plantainpaddle
