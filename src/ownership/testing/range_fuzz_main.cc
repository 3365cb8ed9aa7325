// Stateful fuzzing of the assigners of ranges: range_fuzz [--expect-violation | --known NUMBER
// SEED]
//
// RC_PARAMS="seed=7 max_success=1000" range_fuzz runs a thousand scenarios. On a violation it
// prints the smallest scenario found and its trace. With --expect-violation, for a copy of the code
// that lacks a guard, it prints the count of steps until the oracle objects, and fails if it never
// does.

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
  std::optional<scenario> failed;
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

bool play(const scenario& s, totals& sum) {
  const verdict v = run(s);
  ++sum.scenarios;
  sum.steps += v.steps;
  sum.moves += v.moves;
  sum.served += v.served;
  if (!v.violation) return true;
  sum.failed = s;
  sum.violation = *v.violation;
  return false;
}

bool play_known(totals& sum, std::uint64_t seeds) {
  for (std::uint64_t seed = 0; seed < seeds; ++seed) {
    for (const auto& faults : known_scenarios()) {
      if (!play({seed, faults}, sum)) return false;
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
  totals sum;
  bool passed = play_known(sum, expect_violation ? many_seeds : few_seeds);
  passed = passed && rc::check("no key has two holders", [&] {
             if (expect_violation && sum.failed) RC_FAIL("not tried further");
             const scenario s{*rc::gen::arbitrary<std::uint64_t>(),
                              *rc::gen::container<std::vector<fault>>(gen_fault())};
             if (!play(s, sum)) RC_FAIL(sum.violation);
           });
  if (expect_violation) {
    std::printf("{\"caught\": %s, \"steps\": %llu, \"scenarios\": %llu, \"violation\": \"%s\"}\n",
                passed ? "false" : "true", static_cast<unsigned long long>(sum.steps),
                static_cast<unsigned long long>(sum.scenarios), sum.violation.c_str());
    return passed ? 1 : 0;
  }
  if (!passed && sum.failed) print_failure(*sum.failed);
  std::printf(
      "{\"scenarios\": %llu, \"steps\": %llu, \"moves\": %llu, \"served\": %.3f, "
      "\"violations\": %d}\n",
      static_cast<unsigned long long>(sum.scenarios), static_cast<unsigned long long>(sum.steps),
      static_cast<unsigned long long>(sum.moves),
      sum.served / static_cast<double>(std::max<std::uint64_t>(1, sum.scenarios)), passed ? 0 : 1);
  return passed ? 0 : 1;
}
