#include "base/suspensions.h"

#include <boost/test/unit_test.hpp>

namespace plantainpaddle {

namespace {

monotonic_time at(std::int64_t ms) { return monotonic_time(milliseconds(ms)); }

}  // namespace

BOOST_AUTO_TEST_SUITE(machine_suspensions)

BOOST_AUTO_TEST_CASE(a_suspension_counts_for_what_was_before_it) {
  suspensions suspended;
  suspended.observe(at(1000), milliseconds(5000));
  suspended.observe(at(1100), milliseconds(5101));
  BOOST_TEST((suspended.since(at(0)) == duration::zero()));
  suspended.observe(at(1200), milliseconds(9200));
  BOOST_TEST((suspended.since(at(1150)) == milliseconds(4000)));
  BOOST_TEST((suspended.since(at(1201)) == duration::zero()));
  suspended.observe(at(1300), milliseconds(9800));
  BOOST_TEST((suspended.since(at(1150)) == milliseconds(4500)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
