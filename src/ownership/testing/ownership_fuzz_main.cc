// Stateful fuzzing of a cell: ownership_fuzz [--expect-violation | --known NUMBER SEED]
//
// RC_PARAMS="seed=7 max_success=1000" ownership_fuzz runs a thousand scenarios. On a violation it
// prints the smallest scenario found and its trace. With --expect-violation, for a copy of the code
// that lacks a guard, it prints the count of steps until the oracle objects, and fails if it never
// does. --known prints the trace of one of the known scenarios.

#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "ownership/testing/scenario_generator.h"

namespace {

using namespace plantainpaddle::model;

struct totals {
  std::uint64_t scenarios = 0;
  std::uint64_t events = 0;
  std::optional<scenario> failed;  // the last one, which is the smallest after shrinking
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

// The known scenarios as they are, with many drifts and delays. Some guards cover so short a time
// that random scenarios seldom need them.
void run_known(totals& sum) {
  constexpr std::uint64_t seeds = 500;
  for (std::uint64_t seed = 0; seed < seeds; ++seed) {
    for (const auto& known : known_scenarios()) {
      const scenario s{seed, known.steps};
      const verdict v = run(s);
      ++sum.scenarios;
      sum.events += v.events;
      if (!v.violation) continue;
      sum.failed = s;
      sum.events_until_violation = sum.events;
      sum.first_violation = *v.violation;
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
  totals sum;
  if (expect_violation) run_known(sum);
  const bool passed = !sum.failed && rc::check("a cell keeps its promises", [&] {
    const scenario s = *gen_scenario();
    // A mutant need not be shrunk.
    if (expect_violation && sum.failed) RC_FAIL("not tried further");
    const verdict v = run(s);
    ++sum.scenarios;
    sum.events += v.events;
    if (!v.violation) return;
    if (!sum.failed) {
      sum.events_until_violation = sum.events;
      sum.first_violation = *v.violation;
    }
    sum.failed = s;
    RC_FAIL(*v.violation);
  });
  if (expect_violation) {
    std::printf("{\"caught\": %s, \"steps\": %llu, \"scenarios\": %llu, \"violation\": \"%s\"}\n",
                passed ? "false" : "true",
                static_cast<unsigned long long>(passed ? sum.events : sum.events_until_violation),
                static_cast<unsigned long long>(sum.scenarios), sum.first_violation.c_str());
    return passed ? 1 : 0;
  }
  if (sum.failed) print_failure(*sum.failed);
  std::printf("{\"scenarios\": %llu, \"steps\": %llu, \"violations\": %d}\n",
              static_cast<unsigned long long>(sum.scenarios),
              static_cast<unsigned long long>(sum.events), passed ? 0 : 1);
  return passed ? 0 : 1;
}
