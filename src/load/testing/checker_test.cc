#include "load/checker.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpaddle;

namespace {

run_record ran(std::string id, std::string upstream, std::uint64_t fence, int start, int end) {
  return {.upstream = std::move(upstream),
          .id = std::move(id),
          .service = "desk",
          .shard = 1,
          .fence = fence,
          .fenced = true,
          .start = duration(start),
          .end = duration(end)};
}

load_record told(std::string id, load_outcome outcome, int scheduled, int end) {
  load_record record;
  record.id = std::move(id);
  record.klass = "counter";
  record.once = true;
  record.outcome = outcome;
  record.scheduled = duration(scheduled);
  record.end = duration(end);
  return record;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(checker)

BOOST_AUTO_TEST_CASE(a_clean_hand_over_has_no_finding) {
  const auto report = check_promises(
      {ran("a", "u1", 1, 0, 10), ran("b", "u1", 1, 5, 12), ran("c", "u2", 2, 12, 20)},
      {told("a", load_outcome::complete, 0, 10), told("b", load_outcome::unknown, 0, 9),
       told("c", load_outcome::complete, 0, 20), told("d", load_outcome::not_run, 0, 20)});
  BOOST_TEST(report.clean());
}

BOOST_AUTO_TEST_CASE(overlap_and_late_fences_are_two_owners) {
  BOOST_TEST(check_promises({ran("a", "u1", 1, 0, 10), ran("b", "u2", 2, 9, 12)}, {}).two_owners ==
             1U);
  BOOST_TEST(check_promises({ran("a", "u2", 2, 0, 10), ran("b", "u1", 1, 11, 12)}, {}).two_owners ==
             1U);
  BOOST_TEST(check_promises({ran("a", "u2", 2, 0, 10), ran("b", "u1", 2, 11, 12)}, {}).two_owners ==
             1U);
  BOOST_TEST(check_promises({ran("a", "u1", 1, 0, 10), ran("b", "u1", 1, 3, 12)}, {}).two_owners ==
             0U);
}

BOOST_AUTO_TEST_CASE(broken_promises_to_callers_are_counted) {
  const auto report = check_promises(
      {ran("a", "u1", 1, 0, 1), ran("a", "u1", 1, 2, 3), ran("b", "u1", 1, 4, 5)},
      {told("a", load_outcome::complete, 0, 3), told("b", load_outcome::refused, 0, 3),
       told("c", load_outcome::complete, 0, 3), told("d", load_outcome::wrong, 0, 3)});
  BOOST_TEST(report.run_twice == 1U);
  BOOST_TEST(report.not_run_but_ran == 1U);
  BOOST_TEST(report.complete_but_not_ran == 1U);
  BOOST_TEST(report.wrong_answers == 1U);
}

BOOST_AUTO_TEST_CASE(gap_runs_from_the_first_waiting_request) {
  // Answers at 10, 200 and 215; one request waits from 50, another failed from 20 to 30.
  const std::vector<load_record> records{
      told("a", load_outcome::complete, 0, 10), told("b", load_outcome::complete, 50, 200),
      told("c", load_outcome::unknown, 20, 30), told("d", load_outcome::complete, 210, 215)};
  BOOST_TEST(longest_gap(records, "counter", true).length.count() == 180);
  BOOST_TEST(longest_gap(records, "order", true).length.count() == 0);
  // Nothing is asked between the answers.
  BOOST_TEST(longest_gap({told("a", load_outcome::complete, 0, 10),
                          told("b", load_outcome::complete, 500, 510)},
                         "", false)
                 .length.count() == 10);
  // Failures up to the end of the data count.
  BOOST_TEST(longest_gap({told("a", load_outcome::complete, 0, 10),
                          told("b", load_outcome::not_run, 20, 900)},
                         "", false)
                 .length.count() == 880);
}

BOOST_AUTO_TEST_SUITE_END()
