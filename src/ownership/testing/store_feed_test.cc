#include "ownership/store_feed.h"

#include <boost/test/unit_test.hpp>

#include "ownership/testing/feed_simulation.h"

namespace plantainpaddle {

namespace {

constexpr milliseconds bound(2500);
constexpr seconds day(36);

double ms(duration d) { return std::chrono::duration<double, std::milli>(d).count(); }

// Plays a day with the faults; all changes must be in effect in time on the instances in touch.
void play(const feed_scenario& scenario, std::uint64_t seed = 1) {
  feed_simulation simulation({}, scenario.faults, seed);
  simulation.run(day);
  BOOST_TEST_CONTEXT(scenario.name << "; worst: " << simulation.worst() << ", largest answer "
                                   << simulation.largest_answer() << " bytes, "
                                   << simulation.calls_per_s() << " calls a second") {
    BOOST_TEST(ms(simulation.worst_desired_age()) <= ms(bound));
    BOOST_TEST(ms(simulation.worst_leaving_age()) <= ms(bound));
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(store_feeds)

// Guards against news that arrive late because the same answer carries all versions of a large
// record, or because each repetition of a read has more to carry, or that are lost with a call.
BOOST_AUTO_TEST_CASE(news_are_in_time_while_a_large_record_is_written_often) {
  for (const auto& scenario : known_feed_scenarios()) play(scenario);
}

// Guards against the same under combinations that nobody thought of.
BOOST_AUTO_TEST_CASE(news_are_in_time_under_random_faults) {
  constexpr std::uint64_t seeds = 40;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) play(random_feed_scenario(seed), seed);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
