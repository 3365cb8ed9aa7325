// Stateful fuzzer of one cell.
//
//   RC_PARAMS="seed=7 max_success=1000" ownership_fuzz
//   ownership_fuzz --expect-violation
//   ownership_fuzz --known NUMBER SEED
//
// The first form runs a thousand random scenarios; on a violation it prints the smallest failing
// scenario found and its trace. With --expect-violation, which is meant for a mutant that lacks one
// guard of the protocol, it prints the number of steps until the oracle reports a violation, and
// fails if there is none. --known prints the trace of one known scenario.

#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "ownership/testing/scenario_generator.h"

namespace {

using namespace plantainpaddle::model;

struct totals {
  std::uint64_t scenarios = 0;
  std::uint64_t events = 0;
  std::optional<scenario> failed;  // the latest, which is the smallest one after shrinking
  std::uint64_t events_until_violation = 0;
  std::string first_violation;
};

void print_failure(const scenario& s) {
  const verdict v = run(s, true);
  std::printf("violation: %s\n%s", v.violation.value_or("none").c_str(), to_string(s).c_str());
  constexpr std::size_t shown_lines = 120;
  const std::size_t first = v.trace.size() > shown_lines ? v.trace.size() - shown_lines : 0;
  for (std::size_t i = first; i < v.trace.size(); ++i) std::printf("%s\n", v.trace[i].c_str());
}

// Runs the known scenarios unchanged under many seeds, that is with many clock drifts and delays,
// until one fails. Some guards protect so short a window that random scenarios rarely reach it.
void run_known(totals& counts) {
  constexpr std::uint64_t seeds = 500;
  for (std::uint64_t seed = 0; seed < seeds; ++seed) {
    for (const auto& known : known_scenarios()) {
      const scenario s{seed, known.steps};
      const verdict v = run(s);
      ++counts.scenarios;
      counts.events += v.events;
      if (!v.violation) continue;
      counts.failed = s;
      counts.events_until_violation = counts.events;
      counts.first_violation = *v.violation;
      return;
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc == 4 && std::strcmp(argv[1], "--known") == 0) {
    const auto number = std::strtoul(argv[2], nullptr, 10) % known_scenarios().size();
    print_failure({std::strtoul(argv[3], nullptr, 10), known_scenarios()[number].steps});
    return 0;
  }
  const bool expect_violation = argc > 1 && std::strcmp(argv[1], "--expect-violation") == 0;
  totals counts;
  if (expect_violation) run_known(counts);
  const bool passed = !counts.failed && rc::check("a cell keeps its invariants", [&] {
    const scenario s = *gen_scenario();
    // One violation suffices for a mutant: shrinking runs no further scenarios.
    if (expect_violation && counts.failed) RC_FAIL("not run: a violation was already found");
    const verdict v = run(s);
    ++counts.scenarios;
    counts.events += v.events;
    if (!v.violation) return;
    if (!counts.failed) {
      counts.events_until_violation = counts.events;
      counts.first_violation = *v.violation;
    }
    counts.failed = s;
    RC_FAIL(*v.violation);
  });
  if (expect_violation) {
    std::printf(
        "{\"caught\": %s, \"steps\": %llu, \"scenarios\": %llu, \"violation\": \"%s\"}\n",
        passed ? "false" : "true",
        static_cast<unsigned long long>(passed ? counts.events : counts.events_until_violation),
        static_cast<unsigned long long>(counts.scenarios), counts.first_violation.c_str());
    return passed ? 1 : 0;
  }
  if (counts.failed) print_failure(*counts.failed);
  std::printf("{\"scenarios\": %llu, \"steps\": %llu, \"violations\": %d}\n",
              static_cast<unsigned long long>(counts.scenarios),
              static_cast<unsigned long long>(counts.events), passed ? 0 : 1);
  return passed ? 0 : 1;
}
