#include "routing/idle_trust.h"

#include <boost/test/unit_test.hpp>

namespace plantainpaddle {

namespace {

constexpr monotonic_time start{seconds(1000)};

}  // namespace

BOOST_AUTO_TEST_SUITE(idle_trusts)

// Guards against a second request that is lost on a connection as old as the one just found dead.
BOOST_AUTO_TEST_CASE(connections_idle_for_as_long_as_a_dead_one_are_passed_over_for_a_while) {
  idle_trust trust;
  BOOST_TEST(trust.allows("shelf", seconds(14), start));
  trust.on_dead("shelf", seconds(4), start);
  BOOST_TEST(trust.allows("shelf", seconds(3), start));
  BOOST_TEST(!trust.allows("shelf", seconds(4), start));
  BOOST_TEST(trust.allows("desk", seconds(4), start));
  trust.on_dead("shelf", seconds(8), start + seconds(1));
  BOOST_TEST(!trust.allows("shelf", seconds(4), start + seconds(1)));
  BOOST_TEST(trust.allows("shelf", seconds(9), start + seconds(1) + idle_trust::doubt_time));
  trust.on_dead("shelf", seconds(8), start + seconds(20));
  BOOST_TEST(trust.allows("shelf", seconds(4), start + seconds(20)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
