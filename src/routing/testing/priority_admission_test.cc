// Admission by priority: who is refused when room is short, for how long, and what a burst does to
// the most urgent requests.
#include "routing/priority_admission.h"

#include <boost/test/unit_test.hpp>

#include "routing/testing/contended_simulation.h"

namespace plantainpaddle {

namespace {

// A request of 200 ms of work with a target of 800 ms and a budget of 3 s, at a full service with
// two priorities.
priority_question question(std::int64_t wait_ms, std::size_t rank) {
  return {.expected = milliseconds(200 + wait_ms),
          .wait = milliseconds(wait_ms),
          .target = milliseconds(800),
          .left = seconds(3),
          .allowed = seconds(3),
          .rank = rank,
          .ranks = 2,
          .urgent_wait = milliseconds(400),
          .usage = 1.1,
          .report_age = milliseconds(200)};
}

bool is_sent(const priority_question& asked) {
  return decide_by_priority(asked, 1).term.verdict == send_verdict::send;
}

// The load of a burst: 0.46 of all slots, and 2.5 times that for 6 s.
double burst(std::int64_t ms) { return ms >= 3000 && ms < 9000 ? 1.15 : 0.46; }

}  // namespace

BOOST_AUTO_TEST_SUITE(priority_admissions)

BOOST_AUTO_TEST_CASE(less_urgent_requests_leave_places_only_while_room_is_short) {
  BOOST_TEST(is_sent(question(390, 0)));
  BOOST_TEST(!is_sent(question(410, 0)));
  BOOST_TEST(is_sent(question(190, 1)));
  BOOST_TEST(!is_sent(question(210, 1)));
  const auto refused = decide_by_priority(question(210, 1), 1);
  BOOST_TEST((refused.term.reason == send_reason::yields_priority));
  BOOST_TEST((decide_by_priority(question(410, 0), 1).term.reason == send_reason::no_room));
  auto roomy = question(500, 1);
  roomy.usage = 0.7;
  BOOST_TEST(is_sent(roomy));
}

// Guards against places that are used although the answer would be late, also with room elsewhere.
BOOST_AUTO_TEST_CASE(the_target_latency_bounds_the_queue) {
  auto asked = question(600, 0);
  asked.usage = 0.3;
  BOOST_TEST(!is_sent(asked));
  asked.wait = milliseconds(0);
  asked.expected = milliseconds(2000);  // slowed: late, but within the deadline
  BOOST_TEST(is_sent(asked));
  asked.usage = 1.1;
  asked.wait = milliseconds(30);
  BOOST_TEST(!is_sent(asked));  // as the least urgent: free slots only
}

// Guards against refusals by figures that no longer say anything.
BOOST_AUTO_TEST_CASE(old_figures_refuse_nothing) {
  auto asked = question(700, 1);
  asked.report_age = milliseconds(1100);
  BOOST_TEST(is_sent(asked));
  asked.report_age.reset();
  BOOST_TEST(is_sent(asked));
}

BOOST_AUTO_TEST_CASE(callers_that_return_go_first) {
  auto asked = question(230, 1);
  BOOST_TEST(!is_sent(asked));
  asked.left -= milliseconds(200);
  BOOST_TEST(is_sent(asked));
  asked.left = asked.allowed - milliseconds(20);  // it hasn't waited
  BOOST_TEST(!is_sent(asked));
}

// Guards against callers that come back together, after their time, or are told to for nothing.
BOOST_AUTO_TEST_CASE(retry_times_are_spread_within_a_third_of_the_time_left) {
  std::mt19937_64 random(7);
  std::vector<duration> times(1000);
  auto asked = question(700, 1);
  for (auto& time : times) time = decide_by_priority(asked, random()).term.again_in;
  const auto [first, last] = std::minmax_element(times.begin(), times.end());
  BOOST_TEST((*first >= milliseconds(50) && *last <= seconds(1)));
  BOOST_TEST((*last - *first > milliseconds(200)));
  asked.left = milliseconds(20);
  BOOST_TEST((decide_by_priority(asked, 1).term.again_in == duration::zero()));
}

// Guards against a burst in which the most urgent requests wait in full queues: 1.15 of all slots,
// one kind, target 500 ms.
BOOST_AUTO_TEST_CASE(a_burst_of_one_kind_is_answered_in_time_as_far_as_slots_allow) {
  contended::scenario load{.load = burst, .slowed = true};
  const auto without = contended::simulate(load).at(0);
  load.admits = true;
  const auto with = contended::simulate(load).at(0);
  BOOST_TEST_MESSAGE("in time: " << without.in_time() << " without, " << with.in_time()
                                 << " with; refused for good: " << with.refused / with.requests);
  BOOST_TEST(with.in_time() > without.in_time() + 0.1);
}

// Guards against a less urgent kind that fills the queues before a more urgent one: targets of 4 s
// and 1.2 s.
BOOST_AUTO_TEST_CASE(a_less_urgent_kind_does_not_fill_the_queues_of_an_urgent_one) {
  contended::scenario load{
      .kinds = {{.share = 0.5, .work_ms = 470, .target_ms = 1200, .budget_ms = 3000, .rank = 0},
                {.share = 0.5, .work_ms = 750, .target_ms = 4000, .budget_ms = 5000, .rank = 1}},
      .load = burst};
  const auto without = contended::simulate(load);
  load.admits = true;
  const auto with = contended::simulate(load);
  BOOST_TEST_MESSAGE("urgent in time: " << without[0].in_time() << " without, " << with[0].in_time()
                                        << " with; the other: " << without[1].in_time() << ", "
                                        << with[1].in_time());
  BOOST_TEST(with[0].in_time() > 0.95);
  BOOST_TEST(with[0].in_time() > with[1].in_time());
  BOOST_TEST(with[1].in_time() > 0.5);
}

BOOST_AUTO_TEST_CASE(a_profile_lists_the_priorities_of_routes_that_lead_to_the_service) {
  routing_snapshot snapshot;
  const auto add = [&](const char* name, std::uint32_t priority, std::uint32_t service,
                       double weight) {
    split_route route{.policy = {.priority = priority, .target_latency = milliseconds(500)}};
    route.row.name = name;
    route.targets = {{service, weight}};
    snapshot.split_routes.push_back(route);
  };
  add("a", 2, 0, 1);
  add("b", 1, 0, 1);
  add("c", 0, 0, 0);
  add("d", 0, 1, 1);
  const auto profile = make_admission_profile(snapshot, 0);
  BOOST_TEST((profile.priorities == std::vector<std::uint32_t>{1, 2}));
  BOOST_TEST((profile.most_urgent ==
              std::vector<admission_profile::urgent_route>{{"b", milliseconds(500)}}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
