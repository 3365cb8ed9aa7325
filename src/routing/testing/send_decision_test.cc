// Guards against a rule being overruled by a laxer one.
#include "routing/send_decision.h"

#include <boost/test/unit_test.hpp>

namespace plantainpaddle {

BOOST_AUTO_TEST_SUITE(send_decisions)

BOOST_AUTO_TEST_CASE(the_strictest_term_decides) {
  const send_decision sent;
  const send_decision waits{send_verdict::wait, send_reason::no_room, milliseconds(80)};
  const send_decision refused{send_verdict::refuse, send_reason::cold, milliseconds(20)};
  BOOST_TEST((strictest(sent, waits) == waits));
  BOOST_TEST((strictest(refused, waits) == refused));
  BOOST_TEST((strictest(waits, refused) == refused));
}

BOOST_AUTO_TEST_CASE(of_equal_terms_the_longer_delay_decides) {
  const send_decision shorter{send_verdict::refuse, send_reason::no_room, milliseconds(20)};
  const send_decision longer{send_verdict::refuse, send_reason::key_share, milliseconds(90)};
  BOOST_TEST((strictest(shorter, longer) == longer));
  BOOST_TEST((strictest(longer, shorter) == longer));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
