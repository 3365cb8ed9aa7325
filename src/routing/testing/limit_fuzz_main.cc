// Plays the known scenarios and random ones in which instances share the limits of upstreams, and
// the rates of cold ones.
// Prints one JSON line. Exits with 0 if no upstream got more than its limit allows; with
// --expect-violation, which is for mutants, if one did.
#include <iostream>
#include <string_view>

#include "routing/testing/limit_simulation.h"

using namespace plantainpaddle::testing;

int main(int count, char** arguments) {
  constexpr std::uint64_t random_scenarios = 150;
  const bool expected = count > 1 && std::string_view(arguments[1]) == "--expect-violation";
  std::size_t played = 0;
  const auto breaks = [&](const limit_scenario& scenario) {
    ++played;
    const auto seen = play_limits(scenario);
    if (seen.worst <= 1) return false;
    std::cout << "{\"violation\":\"" << seen.worst_case << "\",\"played\":" << played << "}\n";
    return true;
  };
  bool broken = false;
  for (const auto& scenario : known_limit_scenarios()) broken = broken || breaks(scenario);
  for (std::uint64_t seed = 1; seed <= random_scenarios && !broken; ++seed) {
    broken = breaks(random_limit_scenario(seed));
  }
  for (const auto& scenario : known_cold_scenarios()) broken = broken || breaks(scenario);
  for (std::uint64_t seed = 1; seed <= random_scenarios && !broken; ++seed) {
    broken = breaks(random_cold_scenario(seed));
  }
  if (!broken) std::cout << "{\"violation\":null,\"played\":" << played << "}\n";
  return broken == expected ? 0 : 1;
}
