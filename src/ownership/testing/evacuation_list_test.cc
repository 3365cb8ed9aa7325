#include "ownership/evacuation_list.h"

#include <boost/test/unit_test.hpp>

namespace plantainpaddle {

namespace {

monotonic_time at(std::int64_t ms) { return monotonic_time(milliseconds(1'000'000 + ms)); }

const domain_id north{"north"};
const domain_id south{"south"};

}  // namespace

BOOST_AUTO_TEST_SUITE(evacuation_lists)

// Guards against an evacuation whose time starts anew each time that its order is read again.
BOOST_AUTO_TEST_CASE(a_repeated_order_keeps_its_earliest_time) {
  evacuation_list orders;
  BOOST_TEST(orders.on_order(north, at(100)));
  BOOST_TEST(!orders.on_order(north, at(4000)));
  BOOST_TEST((orders.all().at(north).since == at(100)));
}

// Guards against a second evacuation that takes over the time of the first, and against one that
// ends with another domain's.
BOOST_AUTO_TEST_CASE(each_order_ends_with_its_own_removal) {
  evacuation_list orders;
  orders.on_order(north, at(100));
  orders.on_order(south, at(200));
  BOOST_TEST(orders.on_removed(north, at(4500)));
  BOOST_TEST(!orders.on_removed(north, at(4500)));
  BOOST_TEST(!orders.contains(north));
  BOOST_TEST((orders.ended().at(north) == at(4500)));
  BOOST_TEST(orders.contains(south));
  BOOST_TEST(orders.on_order(north, at(5000)));
  BOOST_TEST((orders.all().at(north).since == at(5000)));
  BOOST_TEST(orders.ended().empty());
}

// Guards against a domain that gets requests again because the store was restored from a copy that
// is older than the order, and against one that stays closed for good for the same reason.
BOOST_AUTO_TEST_CASE(an_order_that_a_restored_store_lacks_lasts_for_a_while) {
  evacuation_list orders({.unconfirmed_life = seconds(60)});
  orders.on_order(north, at(100));
  orders.on_store_restored(at(1000));
  orders.on_store_restored(at(31'000));  // doesn't begin the time anew
  BOOST_TEST(!orders.expire(at(60'999)));
  BOOST_TEST(orders.contains(north));
  BOOST_TEST(orders.expire(at(61'000)));
  BOOST_TEST(orders.all().empty());
}

BOOST_AUTO_TEST_CASE(an_order_that_is_seen_again_after_a_restore_follows_the_store) {
  evacuation_list orders({.unconfirmed_life = seconds(60)});
  orders.on_order(north, at(100));
  orders.on_order(south, at(100));
  orders.on_store_restored(at(1000));
  BOOST_TEST(!orders.on_order(north, at(900)));
  BOOST_TEST((orders.all().at(north).since == at(100)));
  BOOST_TEST(orders.on_removed(south, at(4500)));
  BOOST_TEST(!orders.expire(at(90'000)));
  BOOST_TEST(orders.contains(north));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
