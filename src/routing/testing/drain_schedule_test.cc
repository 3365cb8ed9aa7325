// The decisions of a drain, compared with a plain list of times over random orders of events:
// signals, requests and answers, and calls that come late.
#include "routing/drain_schedule.h"

#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

namespace plantainpaddle {

namespace {

constexpr monotonic_time begin{seconds(1000)};
constexpr duration removal = milliseconds(2600);

// Enters all phases that are due.
std::vector<drain_phase> advance_all(drain_schedule& drain, monotonic_time now) {
  std::vector<drain_phase> entered;
  while (const auto phase = drain.advance(now)) entered.push_back(*phase);
  return entered;
}

// What the rules of a stop demand of each phase, told naively: its number and when it may begin.
struct oracle {
  drain_times times;
  std::vector<monotonic_time> entered{begin};  // by phase, `serving` first
  int interrupts = 0;

  monotonic_time earliest() const {
    const auto next = entered.size();
    const std::vector<duration> planned{duration(0),       duration(0),     times.no_connections,
                                        times.no_requests, times.releasing, times.ending_waits,
                                        times.closing};
    if (next >= planned.size()) return monotonic_time::max();
    const bool after_an_action = next >= planned.size() - 2;
    const auto spaced = entered.back() + (after_an_action ? times.spacing : duration(0));
    if (interrupts > 1) return spaced;
    return after_an_action ? std::max(begin + planned[next], spaced) : begin + planned[next];
  }
  void advance(monotonic_time now) {
    while (earliest() <= now) entered.push_back(now);
  }
};

duration random_time(duration most) {
  return duration(*rc::gen::inRange<duration::rep>(0, most.count()));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(drain_decisions)

// Guards against a drain that takes requests for longer than half of its time.
BOOST_AUTO_TEST_CASE(the_times_of_a_usual_stop) {
  const auto times = make_drain_times(seconds(6), removal);
  BOOST_TEST((times.no_connections == removal));
  BOOST_TEST((times.no_requests == milliseconds(2900)));
  BOOST_TEST((times.releasing == milliseconds(5100)));
  BOOST_TEST((times.ending_waits == milliseconds(5300)));
  BOOST_TEST((times.closing == milliseconds(5500)));
}

BOOST_AUTO_TEST_CASE(the_times_of_any_stop_are_in_order) {
  BOOST_TEST(rc::check("in order", [] {
    const auto whole = milliseconds(*rc::gen::inRange(500, 30'000));
    const auto times = make_drain_times(whole, random_time(seconds(10)));
    RC_ASSERT(times.no_connections >= duration(0));
    RC_ASSERT(times.no_requests < whole / 2);
    RC_ASSERT(times.no_connections < times.no_requests);
    RC_ASSERT(times.no_requests < times.releasing);
    RC_ASSERT(times.releasing < times.ending_waits);
    RC_ASSERT(times.ending_waits < times.closing);
    RC_ASSERT(times.closing < whole);
    RC_ASSERT(times.spacing > duration(0));
    // The last phases are spaced without delaying the end.
    RC_ASSERT(times.ending_waits + times.spacing <= times.closing);
  }));
}

// Guards against a drain that a further SIGTERM cuts short.
BOOST_AUTO_TEST_CASE(only_a_second_interrupt_ends_a_drain) {
  drain_schedule drain(make_drain_times(seconds(6), removal), begin);
  for (int i = 0; i < 5; ++i) drain.on_signal(stop_signal::terminate);
  BOOST_TEST(advance_all(drain, begin).size() == 1U);
  drain.on_signal(stop_signal::interrupt);
  BOOST_TEST(advance_all(drain, begin + seconds(1)).empty());
  BOOST_TEST((drain.phase() == drain_phase::draining));
  drain.on_signal(stop_signal::interrupt);
  advance_all(drain, begin + seconds(1));
  // What waits is answered before its connection is closed.
  BOOST_TEST((drain.phase() == drain_phase::releasing));
  advance_all(drain, drain.due());
  BOOST_TEST((drain.phase() == drain_phase::ending_waits));
  advance_all(drain, drain.due());
  BOOST_TEST((drain.phase() == drain_phase::closing));
  BOOST_TEST((drain.due() == monotonic_time::max()));
}

// Guards against connections that are closed in the same moment in which their last responses are
// set off, when the event loop is late.
BOOST_AUTO_TEST_CASE(late_phases_keep_their_distance) {
  const auto times = make_drain_times(seconds(6), removal);
  drain_schedule drain(times, begin);
  const auto late = begin + seconds(6);
  advance_all(drain, late);
  BOOST_TEST((drain.phase() == drain_phase::releasing));
  BOOST_TEST((drain.due() == late + times.spacing));
  advance_all(drain, late + times.spacing);
  BOOST_TEST((drain.phase() == drain_phase::ending_waits));
}

BOOST_AUTO_TEST_CASE(any_order_of_events_agrees_with_the_plain_list) {
  BOOST_TEST(rc::check("agrees", [] {
    const auto whole = milliseconds(*rc::gen::inRange(500, 20'000));
    const auto times = make_drain_times(whole, removal);
    drain_schedule drain(times, begin);
    oracle plain{.times = times};
    struct request {
      bool taken = false;
      monotonic_time read;
    };
    std::vector<request> requests;
    auto now = begin;
    for (int step = *rc::gen::inRange(1, 60); step > 0; --step) {
      now += random_time(whole / 8);
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          drain.on_signal(stop_signal::terminate);
          break;
        case 1:
          if (*rc::gen::inRange(0, 6) != 0) break;
          drain.on_signal(stop_signal::interrupt);
          ++plain.interrupts;
          break;
        case 2:
          requests.push_back({now <= drain.last_request(), now});
          break;
        default:
          break;
      }
      advance_all(drain, now);
      plain.advance(now);
      RC_ASSERT(static_cast<std::size_t>(drain.phase()) + 1 == plain.entered.size());
      RC_ASSERT(drain.due() == plain.earliest());
      RC_ASSERT(drain.due() > now);
    }
    for (const auto& one : requests) {
      // Taken exactly in the time for it, and never so late that its upstream has less than an
      // eighth of the whole before its wait is ended.
      RC_ASSERT(one.taken == (one.read <= begin + times.no_requests));
      const bool ended = plain.interrupts < 2 && plain.entered.size() > 4;
      if (one.taken && ended) RC_ASSERT(plain.entered[4] - one.read >= whole / 8);
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
