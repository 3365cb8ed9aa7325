// A cell under faults. The scenarios are the smallest ones of what the fuzzer found in earlier
// versions; the random ones are of a fixed seed.

#include "ownership/assigner.h"

#include <boost/test/unit_test.hpp>

#include "ownership/testing/scenario_generator.h"

using namespace plantainpaddle;
using namespace plantainpaddle::model;

namespace {

constexpr std::uint32_t u0 = instance_count;
constexpr int seeds_per_scenario = 300;

fault_step after(int wait_ms, fault kind, std::uint32_t who, std::uint32_t whom, int length_ms) {
  return {kind, who, whom, milliseconds(wait_ms), milliseconds(length_ms)};
}

// The same faults with many drifts, delays and requests.
void check(const std::vector<fault_step>& steps) {
  for (std::uint64_t seed = 0; seed < seeds_per_scenario; ++seed) {
    const verdict v = run({seed, steps});
    BOOST_REQUIRE_MESSAGE(!v.violation, *v.violation << " with " << to_string({seed, steps}));
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(assigner_under_faults)

// The lapse foreseen when the shard was revoked passed while the upstream, renewed for its other
// shards, still ran a request of it.
BOOST_AUTO_TEST_CASE(a_drained_upstream_finishes_before_its_shards_go_on) {
  check({after(66, fault::drain, 0, 0, 20)});
}

// The instance that the term is handed to crashes first, and so do the standbys.
BOOST_AUTO_TEST_CASE(a_hand_over_into_the_void_is_made_good) {
  check({after(0, fault::crash, 1, 0, 1), after(0, fault::leave, 0, 1, 0)});
}

// The term is handed over while a write that moves a shard is unsure: the receiver must not renew
// that shard at its old owner.
BOOST_AUTO_TEST_CASE(an_unsure_write_is_handed_over_with_the_term) {
  check({after(1, fault::cut, 0, u0, 745), after(895, fault::isolate, 0, 0, 290),
         after(313, fault::store_late, 0, 0, 2), after(117, fault::leave, 0, 1, 0)});
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
