// Assigners of a simulated cell under faults: freezes, crashes, lost and late messages, and a store
// that fails. The known scenarios are minimal reproductions of faults that the fuzzer found in
// earlier versions. The random ones come from the seed in RC_PARAMS.

#include "ownership/assigner.h"

#include <boost/test/unit_test.hpp>

#include "ownership/testing/scenario_generator.h"

using namespace plantainpaddle;
using namespace plantainpaddle::model;

namespace {

constexpr std::uint64_t seeds_per_scenario = 500;

}  // namespace

BOOST_AUTO_TEST_SUITE(assigner_under_faults)

// Each scenario runs with many seeds, which vary clock drifts, message delays and requests.
BOOST_AUTO_TEST_CASE(scenarios_that_broke_earlier_versions) {
  for (const auto& known : known_scenarios()) {
    for (std::uint64_t seed = 0; seed < seeds_per_scenario; ++seed) {
      const scenario s{seed, known.steps};
      const verdict v = run(s);
      BOOST_REQUIRE_MESSAGE(!v.violation, known.name << ": " << *v.violation << "\n"
                                                     << to_string(s));
    }
  }
}

// Faults after which every shard must stay with its owner: a short or long pause of the assigner,
// its crash, its planned leave, a store outage, and an owner that is suspected but answers again
// before its grant lapses.
BOOST_AUTO_TEST_CASE(harmless_faults_move_nothing) {
  const auto fault_of = [](fault kind, std::uint32_t who, int length_ms) {
    return fault_step{kind, who, role_first_standby, milliseconds(300), milliseconds(length_ms)};
  };
  const std::vector<fault_step> harmless = {
      fault_of(fault::freeze, role_assigner, 400), fault_of(fault::freeze, role_assigner, 3000),
      fault_of(fault::crash, role_assigner, 3000), fault_of(fault::leave, 0, 1000),
      fault_of(fault::store_down, 0, 5000),        fault_of(fault::isolate, role_owner, 650)};
  for (const auto& step : harmless) {
    for (std::uint64_t seed = 0; seed < seeds_per_scenario; ++seed) {
      const verdict v = run({seed, {step}});
      BOOST_REQUIRE_MESSAGE(!v.violation, *v.violation << "\n" << to_string({seed, {step}}));
      BOOST_REQUIRE_MESSAGE(v.moves == 0, v.moves << " moves\n" << to_string({seed, {step}}));
    }
  }
}

BOOST_AUTO_TEST_CASE(random_scenarios) {
  std::uint64_t events = 0;
  const bool passed = rc::check("ownership stays exclusive and recovers after random faults", [&] {
    const scenario s = *gen_scenario();
    const verdict v = run(s);
    events += v.events;
    if (v.violation) RC_FAIL(*v.violation + "\n" + to_string(s));
  });
  BOOST_TEST(passed);
  BOOST_TEST_MESSAGE(events << " steps");
  BOOST_TEST(events >= 100'000U);
}

BOOST_AUTO_TEST_SUITE_END()
