// Plays random scenarios in which upstreams send responses twice. Prints one JSON line. Exits with
// 0 if nothing ran that was refused and nothing ran twice; with --expect-violation, which is for
// mutants, if something did. CARRY_SEED sets the first scenario's seed, 1 if it isn't set.
#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>

#include "routing/testing/carry_simulation.h"

using namespace plantainpaddle::testing;

int main(int count, char** arguments) {
  constexpr std::uint64_t scenarios = 20'000;
  const bool expected = count > 1 && std::string_view(arguments[1]) == "--expect-violation";
  const char* const given = std::getenv("CARRY_SEED");
  const std::uint64_t first = given == nullptr ? 1 : std::stoull(given);
  carry_outcome sum;
  std::uint64_t played = 0;
  while (played < scenarios && sum.violation.empty()) {
    const auto seen = play_carrying(random_carry_scenario(first + played++));
    sum.violation = seen.violation;
    sum.runs += seen.runs;
    sum.promises += seen.promises;
    sum.skipped += seen.skipped;
    sum.replaced += seen.replaced;
  }
  const bool broken = !sum.violation.empty();
  std::cout << "{\"violation\":" << (broken ? '"' + sum.violation + '"' : "null")
            << ",\"seed\":" << first + played - 1 << ",\"played\":" << played
            << ",\"runs\":" << sum.runs << ",\"promises\":" << sum.promises
            << ",\"skipped\":" << sum.skipped << ",\"replaced\":" << sum.replaced << "}\n";
  return broken == expected ? 0 : 1;
}
