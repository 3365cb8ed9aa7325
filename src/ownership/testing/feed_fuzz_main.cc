// Plays the known scenarios of feed_simulation.h and random ones. With --expect-violation it
// succeeds if news are late under one of them.
#include <cstdio>
#include <cstring>

#include "ownership/testing/feed_simulation.h"

using namespace plantainpaddle;

int main(int argc, char** argv) {
  constexpr milliseconds bound(2500);
  constexpr seconds day(36);
  constexpr std::uint64_t seeds = 40;
  const bool expect_violation = argc > 1 && std::strcmp(argv[1], "--expect-violation") == 0;
  auto scenarios = known_feed_scenarios();
  for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    scenarios.push_back(random_feed_scenario(seed));
  int played = 0;
  std::string violation;
  for (const auto& scenario : scenarios) {
    ++played;
    feed_simulation simulation({}, scenario.faults, 1);
    simulation.run(day);
    const auto worst = std::max(simulation.worst_desired_age(), simulation.worst_leaving_age());
    if (worst <= bound && simulation.forgotten() == 0) continue;
    violation = scenario.name + ": " + simulation.worst();
    break;
  }
  std::printf("{\"caught\": %s, \"scenarios\": %d, \"violation\": \"%s\"}\n",
              violation.empty() ? "false" : "true", played, violation.c_str());
  return violation.empty() == expect_violation ? 1 : 0;
}
