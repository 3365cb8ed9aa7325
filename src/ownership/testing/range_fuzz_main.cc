// Stateful fuzzer of the range assigners.
//
//   RC_PARAMS="seed=7 max_success=1000" range_fuzz
//   range_fuzz --expect-violation
//   range_fuzz --known NUMBER SEED
//
// The first form runs the known scenarios and then a thousand random ones; on a violation it prints
// the smallest failing scenario found and its trace. With --expect-violation, which is meant for a
// mutant that lacks one guard of the protocol, it prints the number of steps until the oracle
// reports a violation, and fails if there is none. --known prints the trace of one known scenario.

#include <rapidcheck.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "ownership/testing/range_model.h"

namespace {

using namespace plantainpaddle::range_model;

struct totals {
  std::uint64_t scenarios = 0;
  std::uint64_t steps = 0;
  std::uint64_t moves = 0;
  double served = 0;
  std::optional<scenario> failed;  // the latest, which is the smallest one after shrinking
  std::string violation;
};

void print_failure(const scenario& s) {
  const verdict v = run(s, true);
  std::printf("violation: %s\n%s", v.violation.value_or("none").c_str(), to_string(s).c_str());
  constexpr std::size_t shown_lines = 150;
  const std::size_t first = v.trace.size() > shown_lines ? v.trace.size() - shown_lines : 0;
  for (std::size_t i = first; i < v.trace.size(); ++i) std::printf("%s\n", v.trace[i].c_str());
}

rc::Gen<fault> gen_fault() {
  return rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, fault_kinds),
                                     rc::gen::inRange(1000U, 32000U), rc::gen::inRange(20U, 14000U),
                                     rc::gen::inRange(0U, 12U), rc::gen::inRange(0U, 32U)),
                      [](const auto& t) {
                        return fault{static_cast<fault_kind>(std::get<0>(t)), std::get<1>(t),
                                     std::get<2>(t), std::get<3>(t), std::get<4>(t)};
                      });
}

// Runs one scenario and adds its figures to the totals. False if it has a violation.
bool run_one(const scenario& s, totals& counts) {
  const verdict v = run(s);
  ++counts.scenarios;
  counts.steps += v.steps;
  counts.moves += v.moves;
  counts.served += v.served;
  if (!v.violation) return true;
  counts.failed = s;
  counts.violation = *v.violation;
  return false;
}

// Runs the known scenarios under the first `seeds` seeds, until one has a violation.
bool run_known(totals& counts, std::uint64_t seeds) {
  for (std::uint64_t seed = 0; seed < seeds; ++seed) {
    for (const auto& faults : known_scenarios()) {
      if (!run_one({seed, faults}, counts)) return false;
    }
  }
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc == 4 && std::strcmp(argv[1], "--known") == 0) {
    const auto number = std::strtoul(argv[2], nullptr, 10) % known_scenarios().size();
    print_failure({std::strtoul(argv[3], nullptr, 10), known_scenarios()[number]});
    return 0;
  }
  const bool expect_violation = argc > 1 && std::strcmp(argv[1], "--expect-violation") == 0;
  constexpr std::uint64_t few_seeds = 10;
  constexpr std::uint64_t many_seeds = 60;
  totals counts;
  bool passed = run_known(counts, expect_violation ? many_seeds : few_seeds);
  passed = passed && rc::check("no key has two holders", [&] {
             if (expect_violation && counts.failed)
               RC_FAIL("not run: a violation was already found");
             const scenario s{*rc::gen::arbitrary<std::uint64_t>(),
                              *rc::gen::container<std::vector<fault>>(gen_fault())};
             if (!run_one(s, counts)) RC_FAIL(counts.violation);
           });
  if (expect_violation) {
    std::printf("{\"caught\": %s, \"steps\": %llu, \"scenarios\": %llu, \"violation\": \"%s\"}\n",
                passed ? "false" : "true", static_cast<unsigned long long>(counts.steps),
                static_cast<unsigned long long>(counts.scenarios), counts.violation.c_str());
    return passed ? 1 : 0;
  }
  if (!passed && counts.failed) print_failure(*counts.failed);
  std::printf(
      "{\"scenarios\": %llu, \"steps\": %llu, \"moves\": %llu, \"served\": %.3f, "
      "\"violations\": %d}\n",
      static_cast<unsigned long long>(counts.scenarios),
      static_cast<unsigned long long>(counts.steps), static_cast<unsigned long long>(counts.moves),
      counts.served / static_cast<double>(std::max<std::uint64_t>(1, counts.scenarios)),
      passed ? 0 : 1);
  return passed ? 0 : 1;
}
