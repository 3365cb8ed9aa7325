// Tests the statuses of the router's own responses exhaustively.
#include <boost/test/unit_test.hpp>
#include <set>

#include "routing/response_status.h"

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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle::testing
