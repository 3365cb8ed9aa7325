// Examples of the decisions; the properties are checked in the *_property_test.cc files.
#include <boost/test/unit_test.hpp>

#include "routing/admission.h"
#include "routing/balance.h"
#include "routing/health.h"
#include "routing/limiter.h"
#include "routing/retry.h"

using namespace plantainpaddle;

namespace {

constexpr monotonic_time start{seconds(100)};

admission_request request(admission_id id, request_class klass, const char* tenant = "a") {
  return {id, klass, tenant_id{tenant}, start + seconds(60)};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(routing_decisions)

BOOST_AUTO_TEST_CASE(uploads_leave_slots_for_the_counter) {
  for (const std::uint32_t slots : {3U, 6U}) {
    admission gate({.slots = slots});
    admission_id id = 0;
    for (std::uint32_t i = 0; i < 2 * slots; ++i) {
      gate.offer(request(++id, request_class::upload), start);
      gate.offer(request(++id, request_class::bulk), start);
    }
    BOOST_TEST(gate.running() < slots);
    const auto offered = gate.offer(request(++id, request_class::counter), start);
    BOOST_TEST((offered.verdict == admission_verdict::admitted));
  }
}

BOOST_AUTO_TEST_CASE(tenants_of_a_class_are_served_in_turn) {
  admission gate({.slots = 1, .queued_per_slot = {8, 8, 8, 8}});
  gate.offer(request(1, request_class::counter, "a"), start);
  for (admission_id id = 2; id <= 4; ++id) {
    gate.offer(request(id, request_class::counter, "a"), start);
  }
  gate.offer(request(5, request_class::counter, "b"), start);
  BOOST_TEST((gate.finish(1, start).admitted == std::vector<admission_id>{2}));
  BOOST_TEST((gate.finish(2, start).admitted == std::vector<admission_id>{5}));
  BOOST_TEST((gate.finish(5, start).admitted == std::vector<admission_id>{3}));
}

BOOST_AUTO_TEST_CASE(a_full_queue_takes_a_request_of_a_tenant_that_waits_less) {
  admission gate({.slots = 1, .queued_per_slot = {2, 2, 2, 2}});
  for (admission_id id = 1; id <= 3; ++id)
    gate.offer(request(id, request_class::order, "a"), start);
  const auto more = gate.offer(request(4, request_class::order, "a"), start);
  BOOST_TEST((more.reason == refusal::queue_full));
  const auto other = gate.offer(request(5, request_class::order, "b"), start);
  BOOST_TEST((other.verdict == admission_verdict::queued));
  BOOST_TEST((other.displaced == std::vector<admission_id>{3}));
}

BOOST_AUTO_TEST_CASE(what_cannot_be_served_in_time_is_refused_at_once) {
  admission gate({.slots = 1, .first_service = {milliseconds(10), {}, {}, {}}});
  gate.offer(request(1, request_class::counter), start);
  auto late = request(2, request_class::counter);
  late.deadline = start + milliseconds(10);
  BOOST_TEST((gate.offer(late, start).reason == refusal::too_late));
  late.deadline = start + milliseconds(25);
  BOOST_TEST((gate.offer(late, start).verdict == admission_verdict::queued));
  BOOST_TEST((gate.next_wakeup() == start + milliseconds(15)));
  BOOST_TEST(gate.expire(start + milliseconds(14)).expired.empty());
  BOOST_TEST((gate.expire(start + milliseconds(15)).expired == std::vector<admission_id>{2}));
}

BOOST_AUTO_TEST_CASE(only_what_may_be_repeated_is_retried) {
  retry_budget budget({});
  retry_context question{.known = run_state::unknown, .deadline = start + seconds(1), .now = start};
  BOOST_TEST((decide_retry(budget, question, 7).reason == retry_refusal::may_have_run));
  question.known = run_state::not_run;
  BOOST_TEST(decide_retry(budget, question, 7).retry);
  question.outer_retries = true;
  BOOST_TEST((decide_retry(budget, question, 7).reason == retry_refusal::outer_layer));
  question.outer_retries = false;
  question.expected = seconds(1);
  BOOST_TEST((decide_retry(budget, question, 7).reason == retry_refusal::deadline));
  question.expected = {};
  for (int i = 0; i < 9; ++i) BOOST_TEST(decide_retry(budget, question, 7).retry);
  BOOST_TEST((decide_retry(budget, question, 7).reason == retry_refusal::budget));
}

BOOST_AUTO_TEST_CASE(a_row_of_the_tenant_goes_before_the_one_for_all) {
  limiter limits({});
  const service_id service{"s"};
  limits.set_limits(service,
                    {{"all", tenant_id{"*"}, "*", 10, 1}, {"big", tenant_id{"b"}, "*", 10, 3}});
  const auto passed = [&](const char* tenant) {
    int count = 0;
    while (limits.check(service, tenant_id{tenant}, request_class::counter, start).allowed) ++count;
    return count;
  };
  BOOST_TEST(passed("a") == 1);
  BOOST_TEST(passed("b") == 3);
  BOOST_TEST(limits.check(service, tenant_id{"a"}, request_class::order, start).limit == "s/all");
}

BOOST_AUTO_TEST_CASE(the_less_loaded_of_two_is_chosen) {
  const std::vector<balance_candidate> two{{.outstanding = 5}, {.outstanding = 2}};
  for (std::uint64_t random = 1; random < 50; ++random) {
    BOOST_TEST((choose_upstream(two, random * 0x9e3779b97f4a7c15U) == 1U));
  }
  BOOST_TEST((choose_upstream(two, 1, 1) == 0U));
  BOOST_TEST((choose_upstream({{.usable = false}}, 1) == std::nullopt));
}

BOOST_AUTO_TEST_CASE(a_new_upstream_gets_load_in_steps) {
  BOOST_TEST(cold_start_share(seconds(0), seconds(8)) == 0.25);
  BOOST_TEST(cold_start_share(seconds(3), seconds(8)) == 0.5);
  BOOST_TEST(cold_start_share(seconds(7), seconds(8)) == 1.0);
  BOOST_TEST(cold_start_share(seconds(0), seconds(0)) == 1.0);
}

BOOST_AUTO_TEST_CASE(silence_is_probed_before_the_upstream_is_judged) {
  health_tracker health({}, 4);
  health.on_failure(2, failure_kind::silent, start);
  BOOST_TEST(health.usable(2, start));
  BOOST_TEST((health.probes_due(start) == std::vector<std::size_t>{2}));
  BOOST_TEST(health.probes_due(start).empty());
  health.on_probe(2, true, start);
  BOOST_TEST(health.usable(2, start));
  health.on_failure(2, failure_kind::silent, start);
  health.probes_due(start);
  health.probes_due(start + milliseconds(200));
  BOOST_TEST(!health.usable(2, start + milliseconds(200)));
}

BOOST_AUTO_TEST_CASE(a_report_alone_sets_no_upstream_aside) {
  health_tracker health({}, 3);
  load_report worst{.draining = true, .shedding = true, .cold = 1};
  health.on_report(0, worst, start);
  BOOST_TEST(health.usable(0, start));
  BOOST_TEST(health.share(0, start) == 0.5);
  BOOST_TEST(health.share(0, start + seconds(1)) == 0.75);
  BOOST_TEST(health.share(0, start + seconds(2)) == 1.0);
}

BOOST_AUTO_TEST_CASE(a_slow_upstream_that_answers_is_set_aside) {
  health_tracker health({}, 4);
  for (int i = 0; i < 30; ++i) {
    for (std::size_t u = 0; u < 4; ++u) {
      health.on_success(u, u == 1 ? milliseconds(80) : milliseconds(10), start);
    }
  }
  BOOST_TEST(!health.usable(1, start));
  BOOST_TEST(health.set_aside(start) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
