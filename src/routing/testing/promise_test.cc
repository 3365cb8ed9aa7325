// Tests the statuses of the router's own responses exhaustively, and plays scenarios of responses
// that are sent twice.
#include <boost/test/unit_test.hpp>
#include <set>

#include "routing/response_status.h"
#include "routing/testing/carry_simulation.h"

namespace plantainpaddle::testing {

BOOST_AUTO_TEST_SUITE(promises)

// Guards against a status that says of a request that it hasn't run, or a time to come back, though
// the request may have run.
BOOST_AUTO_TEST_CASE(only_a_request_that_hasnt_run_gets_a_status_that_says_so) {
  constexpr unsigned first_failure = 400;
  constexpr unsigned end_of_statuses = 600;
  const std::set<unsigned> promising{408, 421, 429, 503};
  for (unsigned wanted = first_failure; wanted < end_of_statuses; ++wanted) {
    BOOST_TEST(promises_not_run(wanted) == promising.contains(wanted));
    BOOST_TEST((choose_terms(wanted, run_state::not_run) == response_terms{wanted, true}));
    for (const auto known : {run_state::unknown, run_state::complete}) {
      const auto terms = choose_terms(wanted, known);
      BOOST_TEST(!promising.contains(terms.status));
      BOOST_TEST(!terms.may_retry);
      BOOST_TEST((terms.status == wanted) == !promising.contains(wanted));
      BOOST_TEST(terms.status >= first_failure);
    }
  }
}

// Guards against a copy of a refusal that counts as the response to another attempt.
BOOST_AUTO_TEST_CASE(no_request_that_ran_is_refused_or_runs_twice) {
  constexpr std::uint64_t scenarios = 500;
  std::size_t skipped = 0;
  for (std::uint64_t seed = 1; seed <= scenarios; ++seed) {
    const auto seen = play_carrying(random_carry_scenario(seed));
    BOOST_TEST(seen.violation == "", "seed " << seed << ": " << seen.violation);
    skipped += seen.skipped;
  }
  BOOST_TEST(skipped > scenarios);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle::testing
