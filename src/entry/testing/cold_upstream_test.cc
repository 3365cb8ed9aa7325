// Requests to cold upstreams, which take a limited number per second.
#include <boost/test/unit_test.hpp>
#include <set>

#include "entry/testing/shared_fixture.h"

namespace plantainpaddle::testing {

namespace {

constexpr double stated_rate = 4;

// A service of one upstream, which states a rate for cold upstreams.
struct cold_fixture {
  explicit cold_fixture(bool keyed)
      : upstream([this](scripted_connection& side) {
          for (auto head = side.read_request(); !head.empty(); head = side.read_request()) {
            ++arrivals;
            while (!free) std::this_thread::sleep_for(milliseconds(2));
            side.answer("served", echo_id(head));
          }
        }),
        shared({upstream.address()}, keyed) {
    shared.desired.services[0].cold_rate = stated_rate;
    shared.desired.services[0].connections = 1;
    shared.config.cold = cold_bound{1.5, 100};
    if (keyed) shared.set_owner("u0");
    shared.publish();
  }

  void turn_cold(std::uint64_t life) {
    shared.upstreams_seen.on_entry({.id = {"u0"},
                                    .service = {"desk"},
                                    .address = upstream.address(),
                                    .domain = {"d1"},
                                    .slots = 6,
                                    .warm_up_left = seconds(60),
                                    .life = life},
                                   monotonic_now());
    shared.publish();
  }

  std::atomic<int> arrivals{0};
  std::atomic<bool> free{true};
  scripted_upstream upstream;
  shared_fixture shared;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(cold_upstreams)

// Guards against requests for the keys of a cold owner that are sent without a permit, and against
// callers who are told to come back at the same moment.
BOOST_AUTO_TEST_CASE(requests_to_a_cold_owner_need_permits_and_refusals_are_spread) {
  cold_fixture world(true);
  std::atomic<int> asked{0};
  std::atomic<bool> grants{true};
  world.shared.traffic->set_permit_source([&](const permit_request& request, const auto& done) {
    ++asked;
    BOOST_TEST(request.rate == stated_rate);
    done({grants, grants ? milliseconds(10) : milliseconds(200)});
  });
  auto caller = world.shared.caller();
  BOOST_TEST(caller.ask(request("GET", "warm")).body == "served");
  BOOST_TEST(asked == 0);
  world.turn_cold(1);
  BOOST_TEST(caller.ask(request("GET", "cold")).body == "served");
  BOOST_TEST(asked == 1);
  grants = false;
  std::set<std::string> times;
  for (int i = 0; i < 5; ++i) {
    const auto refused = caller.ask(request("GET", "refused" + std::to_string(i)));
    BOOST_TEST(refused.status() == 503);
    BOOST_REQUIRE(refused.has("Retry-After"));
    const auto place = refused.head.find("Retry-After");
    times.insert(refused.head.substr(place, refused.head.find("\r\n", place) - place));
  }
  BOOST_TEST(times.size() > 1U);
  BOOST_TEST(world.arrivals == 2);
}

// Guards against a request that was chosen a warm upstream, waits for a connection, and is sent
// without a permit when the upstream has become cold.
BOOST_AUTO_TEST_CASE(a_request_that_waited_while_its_upstream_became_cold_needs_a_permit) {
  cold_fixture world(true);
  std::atomic<int> asked{0};
  world.shared.traffic->set_permit_source([&](const permit_request&, const auto& done) {
    ++asked;
    done({false, milliseconds(200)});
  });
  world.free = false;
  auto first = world.shared.caller();
  first.send(request("GET", "r1"));
  while (world.arrivals == 0) std::this_thread::sleep_for(milliseconds(2));
  auto second = world.shared.caller();
  second.send(request("GET", "r2"));
  std::this_thread::sleep_for(milliseconds(150));  // it waits for the only connection
  world.turn_cold(1);
  std::this_thread::sleep_for(milliseconds(100));
  BOOST_TEST(asked == 0);
  world.free = true;
  BOOST_TEST(first.read_answer().body == "served");
  BOOST_TEST(second.read_answer().status() == 503);
  BOOST_TEST(asked == 1);
  BOOST_TEST(world.arrivals == 1);
}

// Guards against permits that are saved up by requests that wait for a connection: they would reach
// the upstream together with those that are due then.
BOOST_AUTO_TEST_CASE(a_permit_that_is_used_too_late_is_void) {
  cold_fixture world(true);
  std::atomic<int> asked{0};
  world.shared.traffic->set_permit_source([&](const permit_request&, const auto& done) {
    const bool grants = ++asked <= 2;
    done({grants, grants ? duration::zero() : milliseconds(200)});
  });
  world.turn_cold(1);
  world.free = false;
  auto first = world.shared.caller();
  first.send(request("GET", "r1"));
  while (world.arrivals == 0) std::this_thread::sleep_for(milliseconds(2));
  auto second = world.shared.caller();
  second.send(request("GET", "r2"));
  while (asked < 2) std::this_thread::sleep_for(milliseconds(2));
  std::this_thread::sleep_for(milliseconds(400));  // longer than a permit is good
  world.free = true;
  BOOST_TEST(first.read_answer().body == "served");
  BOOST_TEST(second.read_answer().status() == 503);
  BOOST_TEST(asked == 3);
  BOOST_TEST(world.arrivals == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle::testing
