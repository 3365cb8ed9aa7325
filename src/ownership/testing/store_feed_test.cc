#include "ownership/store_feed.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <random>
#include <string>

#include "ownership/testing/feed_simulation.h"

namespace plantainpaddle {

namespace {

constexpr milliseconds bound(2500);
constexpr seconds day(36);

double ms(duration d) { return std::chrono::duration<double, std::milli>(d).count(); }

feed_fault fault(feed_fault_kind kind, int from_ms, int until_ms, std::size_t first = 0,
                 std::size_t instances = 0) {
  return {kind, milliseconds(from_ms), milliseconds(until_ms), first, instances};
}

std::string to_text(const std::vector<feed_fault>& faults) {
  static constexpr std::array<const char*, feed_fault_kinds> names{
      "refused", "cut", "frozen", "silent", "lost", "late", "compacted"};
  std::string text;
  for (const auto& f : faults) {
    text += std::string(" ") + names[static_cast<std::size_t>(f.kind)] + " " +
            std::to_string(f.from.count() / 1000) + "-" + std::to_string(f.until.count() / 1000) +
            " ms, " + std::to_string(f.instances) + " from " + std::to_string(f.first_instance) +
            ";";
  }
  return text;
}

// Plays a day with the faults; all changes must be in effect in time on the instances in touch.
void play(std::vector<feed_fault> faults, std::uint64_t seed = 1) {
  const auto text = to_text(faults);
  feed_simulation simulation({}, std::move(faults), seed);
  simulation.run(day);
  BOOST_TEST_CONTEXT("seed " << seed << text << " worst: " << simulation.worst()
                             << ", largest answer " << simulation.largest_answer() << " bytes, "
                             << simulation.calls_per_s() << " calls a second") {
    BOOST_TEST(ms(simulation.worst_desired_age()) <= ms(bound));
    BOOST_TEST(ms(simulation.worst_leaving_age()) <= ms(bound));
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(store_feeds)

// Guards against changes of the desired state that arrive late because the same answer carries all
// versions of a large record.
BOOST_AUTO_TEST_CASE(a_change_does_not_wait_behind_the_versions_of_a_large_record) { play({}); }

// Guards against a read that can never end in time again, as each repetition has more to carry.
BOOST_AUTO_TEST_CASE(an_instance_that_was_turned_away_catches_up) {
  play({fault(feed_fault_kind::refused, 2500, 11'500, 0, 25)});
}

// Guards against the same after a cut and after a pause of the process.
BOOST_AUTO_TEST_CASE(an_instance_that_was_cut_off_or_frozen_catches_up) {
  play({fault(feed_fault_kind::cut, 4000, 9500, 0, 20),
        fault(feed_fault_kind::frozen, 12'000, 17'000, 10, 20),
        fault(feed_fault_kind::cut, 20'000, 26'000, 40, 20)});
}

// Guards against beliefs that are kept beyond their bound while a read hangs.
BOOST_AUTO_TEST_CASE(connections_that_go_silent_are_noticed) {
  play({fault(feed_fault_kind::silent, 5000, 5000, 0, 80),
        fault(feed_fault_kind::silent, 11'700, 11'700, 0, 40),
        fault(feed_fault_kind::silent, 21'200, 21'200, 20, 60)});
}

// Guards against news that are lost with the store's answers, its history or its promptness.
BOOST_AUTO_TEST_CASE(lost_and_late_answers_and_a_compacted_history_are_made_up_for) {
  play({fault(feed_fault_kind::lost, 3000, 7500), fault(feed_fault_kind::compacted, 9000, 14'000),
        fault(feed_fault_kind::late, 17'000, 21'000)});
}

// Guards against the same under combinations that nobody thought of.
BOOST_AUTO_TEST_CASE(news_are_in_time_under_random_faults) {
  constexpr std::uint64_t seeds = 40;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    std::mt19937_64 random(seed);
    const auto below = [&](int n) { return std::uniform_int_distribution<>(0, n - 1)(random); };
    std::vector<feed_fault> faults;
    const int count = 2 + below(4);
    for (int i = 0; i < count; ++i) {
      const auto kind = static_cast<feed_fault_kind>(below(feed_fault_kinds));
      const bool whole_store = kind >= feed_fault_kind::lost;
      const int from = 1000 + below(28'000);
      const int until = kind == feed_fault_kind::silent ? from : from + 500 + below(8000);
      const auto instances = static_cast<std::size_t>(whole_store ? 0 : 1 + below(80));
      faults.push_back(fault(kind, from, until, static_cast<std::size_t>(below(40)), instances));
    }
    play(std::move(faults), seed);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
