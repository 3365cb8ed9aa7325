#include "routing/silence_detector.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <random>
#include <set>

namespace plantainpaddle {

namespace {

constexpr monotonic_time start{seconds(1000)};
monotonic_time at(int ms) { return start + milliseconds(ms); }
const upstream_id u{"u"};
constexpr duration left = seconds(3);

reported_load load(std::uint32_t running, std::uint32_t waiting) {
  return {.running = running, .waiting = waiting, .slots = 4};
}

// A detector that has seen work of 100 ms, and a request that was left unanswered.
silence_detector made_active() {
  silence_detector made;
  const auto dropped = made.on_sent(u, "w", at(-60'000));
  for (int i = 0; i < 20; ++i) {
    const auto number = made.on_sent(u, "w", at(-50'000 + 200 * i));
    made.on_answered(u, number, true, at(-49'900 + 200 * i));
  }
  made.on_unanswered(u, dropped, true, at(-40'000));
  BOOST_REQUIRE(made.is_active());
  return made;
}

// One upstream with 4 slots and a queue of 16, which drops what doesn't fit. A tenth of the
// requests take 5 to 7 times the mean.
struct played {
  std::size_t dropped = 0;  // of those by this instance
  std::size_t found = 0;    // of these
  std::size_t wrong = 0;    // taken to hang while they ran or waited
};

played play(silence_detector silence, double busy, std::uint64_t seed) {
  constexpr std::size_t slots = 4;
  constexpr std::size_t places = 16;
  constexpr double mean_ms = 100;
  std::mt19937_64 random(seed);
  const auto uniform = [&] { return std::uniform_real_distribution<>()(random); };
  struct job {
    std::uint64_t number = 0;  // 0: another instance's
    double work = 0;
  };
  played result;
  std::deque<job> queue;
  std::multimap<int, job> running;
  std::map<std::uint64_t, int> own;  // when they were sent
  std::set<std::uint64_t> lost;
  const auto report = [&] {
    return load(static_cast<std::uint32_t>(running.size()),
                static_cast<std::uint32_t>(queue.size()));
  };
  for (int ms = 0; ms < 60'000; ++ms) {
    const auto now = at(ms);
    const bool burst = ms % 6000 < 2000;
    if (uniform() < slots / mean_ms * (burst ? 2.2 : busy)) {
      const bool is_own = uniform() < 0.3;
      const job made{is_own ? silence.on_sent(u, "w", now) : 0,
                     uniform() < 0.1 ? mean_ms * (5 + 2 * uniform()) : mean_ms * uniform()};
      if (is_own) own[made.number] = ms;
      if (queue.size() < places) {
        queue.push_back(made);
      } else if (is_own) {
        ++result.dropped;
        lost.insert(made.number);
      }
    }
    while (!running.empty() && running.begin()->first <= ms) {
      const auto number = running.begin()->second.number;
      running.erase(running.begin());
      if (number == 0 || !own.contains(number)) continue;
      silence.on_answered(u, number, true, now);
      silence.on_load(u, report(), now);
      own.erase(number);
    }
    while (running.size() < slots && !queue.empty()) {
      running.emplace(ms + 1 + static_cast<int>(queue.front().work), queue.front());
      queue.pop_front();
    }
    std::erase_if(own, [&](const auto& sent) {
      const bool late = ms - sent.second >= 3000;
      const auto verdict = silence.judge(u, sent.first, milliseconds(3000 - ms + sent.second), now);
      if (!late && !verdict.hangs) return false;
      if (verdict.hangs) ++(lost.contains(sent.first) ? result.found : result.wrong);
      silence.on_unanswered(u, sent.first, true, now);
      return true;
    });
  }
  return result;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(silence_detectors)

// Guards against verdicts on services whose upstreams always answer.
BOOST_AUTO_TEST_CASE(nothing_is_taken_to_hang_before_an_upstream_was_seen_to_be_silent) {
  silence_detector silence;
  const auto waits = silence.on_sent(u, "w", at(0));
  const auto later = silence.on_sent(u, "w", at(10));
  silence.on_answered(u, later, true, at(110));
  BOOST_TEST(!silence.judge(u, waits, left, at(20'000)).hangs);
  silence.on_unanswered(u, waits, true, at(20'000));
  BOOST_TEST(silence.is_active());
}

// Guards against a service that counts as one that drops requests because a caller has left.
BOOST_AUTO_TEST_CASE(an_attempt_whose_caller_left_shows_nothing) {
  silence_detector silence;
  const auto waits = silence.on_sent(u, "w", at(0));
  silence.on_answered(u, silence.on_sent(u, "w", at(10)), true, at(110));
  silence.on_unanswered(u, waits, false, at(20'000));
  BOOST_TEST(!silence.is_active());
}

BOOST_AUTO_TEST_CASE(a_request_hangs_once_it_would_have_run_longer_than_work_of_its_kind) {
  auto silence = made_active();
  const auto waits = silence.on_sent(u, "w", at(0));
  BOOST_TEST(!silence.judge(u, waits, left, at(5000)).hangs);  // it may be in the queue
  silence.on_answered(u, silence.on_sent(u, "w", at(4900)), true, at(5000));
  BOOST_TEST(!silence.judge(u, waits, left, at(5650)).hangs);
  const auto verdict = silence.judge(u, waits, left, at(5750));
  BOOST_TEST(verdict.hangs);
  BOOST_TEST(verdict.overtaken == 1U);
}

BOOST_AUTO_TEST_CASE(a_request_that_met_a_full_queue_hangs_sooner) {
  auto silence = made_active();
  silence.on_load(u, load(4, 16), at(0));
  const auto waits = silence.on_sent(u, "w", at(5));
  silence.on_answered(u, silence.on_sent(u, "w", at(100)), true, at(500));
  BOOST_TEST(!silence.judge(u, waits, left, at(600)).hangs);
  BOOST_TEST(silence.judge(u, waits, left, at(850)).hangs);
}

BOOST_AUTO_TEST_CASE(a_request_hangs_at_once_if_the_upstream_has_none) {
  auto silence = made_active();
  const auto waits = silence.on_sent(u, "w", at(0));
  silence.on_load(u, load(0, 0), at(10));  // may have been sent before the request came
  BOOST_TEST(!silence.judge(u, waits, left, at(10)).hangs);
  silence.on_load(u, load(0, 0), at(60));
  BOOST_TEST(silence.judge(u, waits, left, at(60)).hangs);
}

// Guards against a caller who gets an error early, while nothing else can be tried.
BOOST_AUTO_TEST_CASE(an_attempt_goes_on_if_no_other_can_be_answered_in_time) {
  auto silence = made_active();
  const auto waits = silence.on_sent(u, "w", at(0));
  silence.on_load(u, load(0, 0), at(60));
  BOOST_TEST(!silence.judge(u, waits, milliseconds(50), at(60)).hangs);
}

BOOST_AUTO_TEST_CASE(a_refusal_says_nothing_of_the_requests_before_it) {
  auto silence = made_active();
  const auto waits = silence.on_sent(u, "w", at(0));
  silence.on_answered(u, silence.on_sent(u, "w", at(10)), false, at(11));
  BOOST_TEST(silence.judge(u, waits, left, at(5000)).overtaken == 0U);
}

// Guards against long work that is taken for silence, and against a detector that finds nothing.
BOOST_AUTO_TEST_CASE(long_work_is_not_taken_for_silence) {
  played all;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const auto one = play(made_active(), 0.45, seed);
    all.dropped += one.dropped;
    all.found += one.found;
    all.wrong += one.wrong;
  }
  BOOST_TEST_MESSAGE(all.dropped << " dropped, " << all.found << " found, " << all.wrong
                                 << " wrong");
  BOOST_TEST(all.dropped > 100U);
  BOOST_TEST(all.found * 2 > all.dropped);
  BOOST_TEST(all.wrong * 50 < all.dropped);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
