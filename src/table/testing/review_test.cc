#include "table/review.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpaddle;

namespace {

service_table desks(int count, std::uint32_t shards) {
  service_table declared;
  declared.service.name.value = "counter-desk";
  declared.service.shards = shards;
  for (int i = 0; i < count; ++i) {
    declared.upstreams.push_back(
        {.name = {"desk-" + std::to_string(i)}, .address = "1.1.1.1:1", .domain = {"north"}});
  }
  return declared;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(table_review)

BOOST_AUTO_TEST_CASE(draining_the_last_upstream_is_a_risk) {
  const auto before = desks(2, 64);
  auto after = before;
  after.upstreams[0].state = upstream_state::drain;
  BOOST_TEST(review_change(before, after).empty());
  auto none = after;
  none.upstreams[1].weight = 0;
  const auto risks = review_change(after, none);
  BOOST_REQUIRE(risks.size() == 1U);
  BOOST_TEST((risks[0].kind == risk_kind::last_upstream));
}

BOOST_AUTO_TEST_CASE(moves_are_counted_by_share_of_weight) {
  const auto before = desks(4, 256);
  auto after = before;
  after.upstreams.pop_back();
  BOOST_TEST(moved_shards(before, after) == 64U);
  BOOST_TEST(moved_shards(after, before) == 64U);
  BOOST_TEST(moved_shards(before, before) == 0U);
  BOOST_TEST(review_change(before, after).size() == 1U);
  after.service.moves_per_minute = 64;
  BOOST_TEST(review_change(before, after).empty());
}

BOOST_AUTO_TEST_CASE(services_without_shards_move_nothing) {
  auto before = desks(4, 256);
  before.service.keyed = false;
  auto after = before;
  after.upstreams.pop_back();
  BOOST_TEST(review_change(before, after).empty());
}

BOOST_AUTO_TEST_SUITE_END()
