// A cell under faults. The scenarios are the smallest ones of what the fuzzer found in earlier
// versions; the random ones are of a fixed seed.

#include "ownership/assigner.h"

#include <boost/test/unit_test.hpp>

#include "ownership/testing/scenario_generator.h"

using namespace plantainpaddle;
using namespace plantainpaddle::model;

namespace {

constexpr std::uint64_t seeds_per_scenario = 200;

}  // namespace

BOOST_AUTO_TEST_SUITE(assigner_under_faults)

// The same faults with many drifts, delays and requests.
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

BOOST_AUTO_TEST_CASE(random_scenarios) {
  std::uint64_t events = 0;
  const bool passed = rc::check("a cell keeps its promises", [&] {
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
