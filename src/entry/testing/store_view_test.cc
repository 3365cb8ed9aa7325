// Evacuation orders as a store_view learns them: from the platform's stand-in, by a full read and
// by changes, and from another instance.
#include "entry/store_view.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>

#include "http/client.h"
#include "standin/platform.h"

namespace plantainpaddle::testing {

namespace {

namespace json = boost::json;

const domain_id north{"north"};
constexpr const char* order_key = "op/evacuate/north";
constexpr duration patience = seconds(10);  // only a fault takes so long

// A view of the stand-in's store, on one thread.
struct viewed_store {
  boost::asio::io_context io;
  platform_standin platform{io.get_executor()};
  std::string address = *platform.listen("127.0.0.1:0");
  http_client control{io.get_executor()};
  store_client store{io.get_executor(), {.addresses = {address}, .protocol = item_protocol{}}};
  int changes = 0;  // in the evacuations
  store_view view;

  explicit viewed_store(bool evacuations = true)
      : view(store, [this](const store_change& changed) { changes += changed.evacuations ? 1 : 0; },
             {.evacuations = evacuations}) {
    store.set_era_handler([this] { view.on_store_restored(); });
  }

  template <class Condition>
  bool wait_until(const Condition& condition) {
    const auto end = monotonic_now() + patience;
    while (!condition() && monotonic_now() < end) {
      view.tick();
      io.restart();
      io.run_for(milliseconds(5));
    }
    return condition();
  }
  void post(const std::string& target, const json::object& body) {
    bool done = false;
    control.send(
        address, {"POST", target, {}, json::serialize(body)}, patience,
        [&](const result<http_response>& answer) { done = answer && answer->status == 200; });
    BOOST_REQUIRE(wait_until([&] { return done; }));
  }
  void order() { post("/control/items", {{"key", order_key}, {"value", "{}"}}); }
  void remove_order() { post("/control/items", {{"key", order_key}, {"removed", true}}); }
  bool is_read() const { return view.feeds().is_read(); }
  bool is_ordered() const { return view.evacuations().contains(north); }
};

news_item order_news(std::uint64_t version, bool removed = false) {
  return {order_key, version, removed, removed ? std::nullopt : std::optional<std::string>("{}")};
}

// What a reader says that knows the feeds as of `age` ago.
news_answer news(std::uint64_t sequence, std::vector<news_item> items, duration age) {
  news_answer answer{.token = 7, .sequence = sequence, .era = 1};
  answer.feeds.assign(4, {.complete = true, .revision = 10 * sequence, .age = age});
  answer.items = std::move(items);
  return answer;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(evacuation_orders)

// Guards against an instance that starts during an evacuation and gives it the whole time again:
// nothing tells how old the order is.
BOOST_AUTO_TEST_CASE(an_order_found_at_the_start_counts_as_old) {
  viewed_store world;
  world.order();
  BOOST_REQUIRE(world.wait_until([&] { return world.is_ordered(); }));
  BOOST_TEST((world.view.evacuations().all().at(north).since == monotonic_time{}));
}

// Guards against an order whose time begins when it is seen: it began no later than the store
// acknowledged it.
BOOST_AUTO_TEST_CASE(an_order_that_comes_as_a_change_began_before_it_was_acknowledged) {
  viewed_store world;
  BOOST_REQUIRE(world.wait_until([&] { return world.is_read(); }));
  const auto read_at = monotonic_now();
  world.order();
  const auto acknowledged = monotonic_now();
  BOOST_REQUIRE(world.wait_until([&] { return world.is_ordered(); }));
  const auto since = world.view.evacuations().all().at(north).since;
  BOOST_TEST((since <= acknowledged));
  BOOST_TEST((since > read_at - seconds(5)));
  world.order();  // the same again
  world.remove_order();
  BOOST_TEST(world.wait_until([&] { return !world.is_ordered(); }));
  BOOST_TEST(world.changes == 2);
  world.order();
  BOOST_REQUIRE(world.wait_until([&] { return world.is_ordered(); }));
  BOOST_TEST((world.view.evacuations().all().at(north).since > since));
}

// Guards against an order that is lost when the store comes back without it, and one that can't be
// removed afterwards.
BOOST_AUTO_TEST_CASE(an_order_outlasts_a_store_that_has_lost_it) {
  viewed_store world;
  BOOST_REQUIRE(world.wait_until([&] { return world.is_read(); }));
  world.post("/control/faults", {{"copy", true}});
  world.order();
  BOOST_REQUIRE(world.wait_until([&] { return world.is_ordered(); }));
  const auto era = world.store.era();
  world.post("/control/faults", {{"restore", true}});
  BOOST_REQUIRE(world.wait_until([&] { return world.store.era() > era && world.is_read(); }));
  BOOST_TEST(world.is_ordered());
  BOOST_TEST((world.view.evacuations().all().at(north).unconfirmed_until.has_value()));
  world.order();
  BOOST_TEST(world.wait_until(
      [&] { return !world.view.evacuations().all().at(north).unconfirmed_until.has_value(); }));
  world.remove_order();
  BOOST_TEST(world.wait_until([&] { return !world.is_ordered(); }));
}

// Guards against further reads of the store where the platform gives no such orders.
BOOST_AUTO_TEST_CASE(orders_are_not_read_without_the_setting) {
  viewed_store world(false);
  world.order();
  BOOST_REQUIRE(world.wait_until([&] { return world.is_read(); }));
  BOOST_TEST(!world.is_ordered());
  BOOST_TEST(world.view.known_at().contains("op/config"));
  BOOST_TEST(!world.view.known_at().contains("op/"));
}

// Guards against orders that a follower takes to be as young as the news that bring them.
BOOST_AUTO_TEST_CASE(an_order_in_another_instances_news_is_as_old_as_its_news_may_be) {
  viewed_store world;
  const auto first_asked = monotonic_now();
  BOOST_TEST(world.view.take_news(news(1, {}, milliseconds(300)), first_asked));
  BOOST_TEST(world.view.take_news(news(2, {order_news(15)}, milliseconds(100)),
                                  first_asked + milliseconds(900)));
  BOOST_REQUIRE(world.is_ordered());
  BOOST_TEST((world.view.evacuations().all().at(north).since == first_asked - milliseconds(300)));
  BOOST_TEST(world.changes == 1);
  // News that come twice, or late, change nothing.
  world.view.take_news(news(2, {order_news(15)}, milliseconds(100)), first_asked);
  BOOST_TEST(world.changes == 1);
  world.view.take_news(news(3, {order_news(25, true)}, milliseconds(100)), first_asked);
  BOOST_TEST(!world.is_ordered());
  world.view.take_news(news(3, {order_news(15)}, milliseconds(100)), first_asked);
  BOOST_TEST(!world.is_ordered());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle::testing
