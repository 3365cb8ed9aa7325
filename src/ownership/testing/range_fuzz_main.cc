// Stateful fuzzer of the range assigners.
//
//   RC_PARAMS="seed=7 max_success=1000" range_fuzz
//   range_fuzz --expect-violation
//   range_fuzz --known NUMBER SEED
//   range_fuzz --known-hidden NUMBER SEED
//
// The first form runs the known scenarios and then a thousand random ones; on a violation it prints
// the smallest failing scenario found and its trace. With --expect-violation, which is meant for a
// mutant that lacks one guard of the protocol, it prints the number of steps until the oracle
// reports a violation, and fails if there is none. --known prints the trace of one known scenario,
// or of one of a restore, which are numbered after them; with --known-hidden, entries don't change
// when only their sequence does.

#include <rapidcheck.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "ownership/testing/range_model.h"
#include "ownership/testing/range_simulation_state.h"

namespace {

using namespace plantainpaddle;
using namespace plantainpaddle::range_model;

struct totals {
  std::uint64_t scenarios = 0;
  std::uint64_t steps = 0;
  std::uint64_t moves = 0;
  double served = 0;
  std::optional<scenario> failed;  // the latest, which is the smallest one after shrinking
  std::string violation;
};

void print_failure(const scenario& s, const std::string& violation) {
  const verdict v = run(s, true);
  std::printf("violation: %s\n%s", violation.c_str(), to_string(s).c_str());
  constexpr std::size_t shown_lines = 400;
  const std::size_t first = v.trace.size() > shown_lines ? v.trace.size() - shown_lines : 0;
  for (std::size_t i = first; i < v.trace.size(); ++i) std::printf("%s\n", v.trace[i].c_str());
}

rc::Gen<fault> gen_fault(const rc::Gen<fault_kind>& kind, std::uint32_t from_ms,
                         std::uint32_t to_ms, const rc::Gen<std::uint32_t>& argument) {
  return rc::gen::map(
      rc::gen::tuple(kind, rc::gen::inRange(from_ms, to_ms), rc::gen::inRange(20U, 14000U),
                     rc::gen::inRange(0U, 12U), argument),
      [](const auto& t) {
        return fault{std::get<0>(t), std::get<1>(t), std::get<2>(t), std::get<3>(t),
                     std::get<4>(t)};
      });
}

// A restore of the store, and faults that overlap it: mostly, upstreams that join before and can't
// write their entries, and the end of all instances.
rc::Gen<std::vector<fault>> gen_restore() {
  using enum fault_kind;
  constexpr std::uint32_t earliest = 9000;  // ms, of the restore
  constexpr std::uint32_t before = 7000;    // ms, for which other faults may begin
  const auto just = [](fault_kind kind) { return rc::gen::just(kind); };
  const auto any = rc::gen::inRange(0U, 32U);
  const auto other =
      gen_fault(rc::gen::element(join_upstream, cut_entry, kill_instances, kill_instance,
                                 crash_upstream, isolate_upstream, cut_upstream, cut_store,
                                 leave_upstream, drain_upstream, shift_load, restore_store),
                0, 2 * before, any);
  const auto joins = gen_fault(just(join_upstream), 0, before, any);
  const auto cut = gen_fault(just(cut_entry), before - 1000, before, rc::gen::inRange(4U, 6U));
  auto killed = gen_fault(just(kill_instances), before, before + 3000, any);
  killed = rc::gen::map(killed, [](fault f) {
    f.for_ms %= 1000;
    return f;
  });
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(earliest, earliest + 8000), rc::gen::inRange(20U, 4000U),
                     rc::gen::inRange(0U, 12U),
                     rc::gen::resize(8, rc::gen::container<std::vector<fault>>(other)), joins, cut,
                     killed, rc::gen::inRange(0, 8)),
      [](const auto& t) {
        auto faults = std::get<3>(t);
        const int usual = std::get<7>(t);
        if (usual != 0) faults.push_back(std::get<4>(t));
        if (usual != 1) faults.push_back(std::get<5>(t));
        if (usual != 2) faults.push_back(std::get<6>(t));
        for (auto& f : faults) f.at_ms += std::get<0>(t) - before;
        faults.push_back({restore_store, std::get<0>(t), std::get<1>(t), 0, std::get<2>(t)});
        return faults;
      });
}

// Runs one scenario and adds its figures to the totals.
verdict run_one(const scenario& s, totals& counts) {
  verdict v = run(s);
  ++counts.scenarios;
  counts.steps += v.steps;
  counts.moves += v.moves;
  counts.served += v.served;
  if (v.violation) {
    counts.failed = s;
    counts.violation = *v.violation;
  }
  return v;
}

// Runs the known scenarios under the seed, until one has a violation. Sequences matter after a
// restore of the store.
bool run_known(totals& counts, std::uint64_t seed) {
  for (const auto& faults : known_scenarios()) {
    if (run_one({seed, faults, true}, counts).violation) return false;
    const bool restores = std::any_of(faults.begin(), faults.end(), [](const fault& f) {
      return f.kind == fault_kind::restore_store;
    });
    if (restores && run_one({seed, faults, false}, counts).violation) return false;
  }
  return true;
}

std::string in_ms(duration d) { return std::to_string(d / milliseconds(1)) + " ms"; }

// Runs the scenarios of restores, until keys stay without a holder for too long in one.
bool run_restored(totals& counts, std::uint64_t seed) {
  // Owners whose entries show no sequence are asked later by this.
  const duration entry_lapse = *simulated_timing().entry_lapse;
  for (const auto& restored : restored_scenarios()) {
    for (const bool shows_sequences : {true, false}) {
      const scenario s{seed, restored.faults, shows_sequences};
      const verdict v = run_one(s, counts);
      if (v.violation) return false;
      const auto later = shows_sequences ? duration::zero() : entry_lapse;
      if (v.unmoved_gap <= restored.most_unmoved_gap + later &&
          v.longest_gap <= restored.longest_gap)
        continue;
      counts.failed = s;
      counts.violation = "keys without a holder: " + in_ms(v.unmoved_gap) + " of unmoved ones, " +
                         in_ms(v.longest_gap) + " of any";
      return false;
    }
  }
  return true;
}

// Returns the exit code. What a mutant is noticed by isn't shrunk.
int print_caught(const totals& counts, bool caught) {
  std::printf("{\"caught\": %s, \"steps\": %llu, \"scenarios\": %llu, \"violation\": \"%s\"}\n",
              caught ? "true" : "false", static_cast<unsigned long long>(counts.steps),
              static_cast<unsigned long long>(counts.scenarios), counts.violation.c_str());
  return caught ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  const bool known = argc == 4 && std::strcmp(argv[1], "--known") == 0;
  const bool known_hidden = argc == 4 && std::strcmp(argv[1], "--known-hidden") == 0;
  if (known || known_hidden) {
    auto scenarios = known_scenarios();
    for (const auto& restored : restored_scenarios()) scenarios.push_back(restored.faults);
    const auto number = std::strtoul(argv[2], nullptr, 10) % scenarios.size();
    const scenario s{std::strtoul(argv[3], nullptr, 10), scenarios[number], known};
    print_failure(s, run(s).violation.value_or("none"));
    return 0;
  }
  const bool expect_violation = argc > 1 && std::strcmp(argv[1], "--expect-violation") == 0;
  constexpr std::uint64_t few_seeds = 10;
  constexpr std::uint64_t many_seeds = 60;
  totals counts;
  const auto seeds = expect_violation ? many_seeds : few_seeds;
  bool passed = true;
  for (std::uint64_t seed = 0; passed && seed < seeds; ++seed)
    passed = run_known(counts, seed) && run_restored(counts, seed);
  const auto any_kind = rc::gen::map(rc::gen::inRange(0, fault_kinds),
                                     [](int kind) { return static_cast<fault_kind>(kind); });
  const auto any_fault = gen_fault(any_kind, 1000, 32000, rc::gen::inRange(0U, 32U));
  passed = passed && rc::check("no key has two holders", [&] {
             const scenario s{
                 *rc::gen::arbitrary<std::uint64_t>(),
                 *rc::gen::oneOf(rc::gen::container<std::vector<fault>>(any_fault), gen_restore()),
                 *rc::gen::arbitrary<bool>()};
             if (!run_one(s, counts).violation) return;
             if (expect_violation) std::exit(print_caught(counts, true));
             RC_FAIL(counts.violation);
           });
  if (expect_violation) return print_caught(counts, !passed);
  if (!passed && counts.failed) print_failure(*counts.failed, counts.violation);
  std::printf(
      "{\"scenarios\": %llu, \"steps\": %llu, \"moves\": %llu, \"served\": %.3f, "
      "\"violations\": %d}\n",
      static_cast<unsigned long long>(counts.scenarios),
      static_cast<unsigned long long>(counts.steps), static_cast<unsigned long long>(counts.moves),
      counts.served / static_cast<double>(std::max<std::uint64_t>(1, counts.scenarios)),
      passed ? 0 : 1);
  return passed ? 0 : 1;
}
