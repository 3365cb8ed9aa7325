// Guards against capacities that rest on the few answers which the assigner itself gets, where all
// instances report what they observe.
#include "routing/upstream_capacity.h"

#include <boost/test/unit_test.hpp>

namespace plantainpaddle {

BOOST_AUTO_TEST_SUITE(upstream_capacities)

BOOST_AUTO_TEST_CASE(reported_speeds_replace_own_ones) {
  const monotonic_time now(seconds(1000));
  registered_upstream entry;
  entry.id = {"a"};
  entry.slots = 4;
  placement own({});
  own.set_upstreams({{{"a"}, {}, 4}, {{"b"}, {}, 4}}, now);
  for (int i = 0; i < 40; ++i) {
    own.on_sent({"a"});
    own.on_end({"a"}, {.work = "w", .latency = milliseconds(i < 20 ? 100 : 400)}, now);
  }
  BOOST_TEST(estimate_capacity(entry, &own, now).capacity < 3);
  observed_speeds all;
  BOOST_TEST(estimate_capacity(entry, &own, all, now).capacity == 4);
  for (int i = 0; i < 50; ++i) all.add({{{"a"}, {4, 0.5}}}, now);
  const auto facts = estimate_capacity(entry, &own, all, now);
  BOOST_TEST(facts.capacity > 7);
  BOOST_TEST(facts.most_requests_per_s.has_value());
  BOOST_TEST(!estimate_capacity(entry, nullptr, all, now).most_requests_per_s.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
