// Guards against an assigner whose event loop is late for long, so that keys of hot or failed
// upstreams stay where they are; and against one that hands over after a short pause.
#include "ownership/lateness.h"

#include <boost/test/unit_test.hpp>

#include "ownership/candidacy.h"

namespace plantainpaddle {

namespace {

monotonic_time at(std::int64_t ms) { return monotonic_time(milliseconds(1'000'000 + ms)); }

// Ticks that are each late by `lag_ms`, from one time to another. Returns when they first count as
// late, or nothing.
std::optional<std::int64_t> run(lateness& own, std::int64_t lag_ms, std::int64_t from,
                                std::int64_t to) {
  constexpr std::int64_t period_ms = 50;
  for (auto ms = from; ms < to; ms += period_ms + lag_ms) {
    own.add(milliseconds(lag_ms), at(ms));
    if (own.is_late()) return ms;
  }
  return std::nullopt;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(lateness_of_instances)

BOOST_AUTO_TEST_CASE(a_loop_that_stays_late_is_late) {
  lateness own({});
  BOOST_TEST(!run(own, 0, 0, 10'000).has_value());
  const auto since = run(own, 250, 10'000, 30'000);
  BOOST_TEST_REQUIRE(since.has_value());
  BOOST_TEST(*since > 11'000);  // not for a single late tick
  BOOST_TEST(*since < 15'000);
}

// A share of a core of 0.1 is given in slices, between which the process stands still.
BOOST_AUTO_TEST_CASE(slices_of_processor_time_are_not_late) {
  lateness own({});
  BOOST_TEST(!run(own, 90, 0, 60'000).has_value());
}

BOOST_AUTO_TEST_CASE(one_long_pause_is_not_late) {
  lateness own({});
  run(own, 0, 0, 5'000);
  own.add(seconds(8), at(13'000));
  BOOST_TEST(!own.is_late());
  BOOST_TEST(!run(own, 20, 13'050, 30'000).has_value());
}

BOOST_AUTO_TEST_CASE(a_loop_that_recovers_is_in_time_again) {
  lateness own({});
  BOOST_TEST_REQUIRE(run(own, 400, 0, 20'000).has_value());
  std::int64_t ms = 20'000;
  for (; own.is_late() && ms < 60'000; ms += 50) own.add(duration::zero(), at(ms));
  BOOST_TEST(ms > 21'000);  // hysteresis
  BOOST_TEST(ms < 30'000);
}

// Guards against two late instances that hand a duty back and forth, and against a service without
// an assigner if all instances are late.
BOOST_AUTO_TEST_CASE(a_late_instance_lets_others_campaign_first) {
  candidacy late({}, milliseconds(10));
  candidacy other({}, milliseconds(140));
  late.set_handicap(milliseconds(600));
  for (auto* one : {&late, &other}) one->on_seen(key_holder::nobody, at(0));
  BOOST_TEST((other.tick(at(200)) == candidacy_step::create_lease));
  BOOST_TEST((late.tick(at(200)) == candidacy_step::none));
  BOOST_TEST((late.tick(at(700)) == candidacy_step::create_lease));
  candidacy resigned({}, milliseconds(10));
  resigned.resign(at(0), seconds(30));
  resigned.on_seen(key_holder::nobody, at(0));
  BOOST_TEST((resigned.tick(at(29'000)) == candidacy_step::none));
  BOOST_TEST((resigned.tick(at(31'000)) == candidacy_step::create_lease));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
