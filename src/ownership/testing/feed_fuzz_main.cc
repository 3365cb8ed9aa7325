// Plays the known scenarios of feed_simulation.h and random ones; with --news those in which
// instances hand on news. Arguments: [--news] [--expect-violation] [SEEDS]. With
// --expect-violation it succeeds if news are late under one of them.
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "ownership/testing/feed_simulation.h"

using namespace plantainpaddle;

int main(int argc, char** argv) {
  constexpr milliseconds bound(2500);
  constexpr seconds day(36);
  std::uint64_t seeds = 40;
  bool expect_violation = false;
  bool news = false;
  for (int i = 1; i < argc; ++i) {
    if (std::strcmp(argv[i], "--expect-violation") == 0) {
      expect_violation = true;
    } else if (std::strcmp(argv[i], "--news") == 0) {
      news = true;
    } else {
      seeds = std::strtoull(argv[i], nullptr, 10);
    }
  }
  auto scenarios = news ? known_news_scenarios() : known_feed_scenarios();
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    scenarios.push_back(news ? random_news_scenario(seed) : random_feed_scenario(seed));
  }
  const feed_load load{.domains = news ? std::size_t{5} : std::size_t{0}};
  int played = 0;
  std::string violation;
  for (const auto& scenario : scenarios) {
    ++played;
    feed_simulation simulation(load, scenario.faults, 1);
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
