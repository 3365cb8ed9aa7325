// Requests that were given to an upstream before it leaves, and have not been sent yet.
#include <boost/test/unit_test.hpp>

#include "entry/testing/counted_upstream.h"

namespace plantainpaddle::testing {

namespace {

registered_upstream entry_of(const std::string& id, const std::string& address,
                             bool leaving = false) {
  return {.id = {id},
          .service = {"desk"},
          .address = address,
          .domain = {"d1"},
          .slots = 6,
          .leaving = leaving,
          .sequence = leaving ? 2U : 1U};
}

// One upstream, whose only connection carries a request that it holds, and another one that isn't
// listed yet.
struct busy_upstream {
  counted_upstream busy{"busy", true};
  counted_upstream other{"other"};
  shared_fixture shared;
  raw_caller first;

  explicit busy_upstream(bool keyed = false)
      : shared({busy.upstream.address()}, keyed), first(shared.caller()) {
    shared.desired.services[0].connections = 1;
    shared.set_idempotent(false);
    if (keyed) shared.set_owner("u0");
    first.send(request("POST", "first", "x"));
    while (busy.arrivals == 0) std::this_thread::sleep_for(milliseconds(2));
  }
  ~busy_upstream() { busy.free = true; }
  busy_upstream(const busy_upstream&) = delete;
  busy_upstream& operator=(const busy_upstream&) = delete;

  // Sends a request, which waits for the connection.
  static void wait_for_connection(raw_caller& caller, const std::string& id) {
    caller.send(request("POST", id, "x"));
    std::this_thread::sleep_for(milliseconds(100));
  }
  void leave() {
    shared.upstreams_seen.on_entry(entry_of("u0", busy.upstream.address(), true), monotonic_now());
    if (shared.desired.services[0].keyed) shared.leaving[{"u0"}] = monotonic_now();
  }
  void list_other() {
    shared.upstreams_seen.on_entry(entry_of("u1", other.upstream.address()), monotonic_now());
  }
  void stop_holding() {
    busy.free = true;
    BOOST_TEST(first.read_answer().body == "busy");
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(leaving_upstreams)

// Guards against requests that reach an upstream later than it serves after its notice
// (review/11). They go elsewhere at once, in the order in which they came, and without counting as
// attempts, so that one that may run only once is served too.
BOOST_AUTO_TEST_CASE(requests_that_wait_for_a_connection_go_elsewhere_when_the_upstream_leaves) {
  busy_upstream world;
  auto second = world.shared.caller();
  world.wait_for_connection(second, "second");
  auto third = world.shared.caller();
  world.wait_for_connection(third, "third");
  world.list_other();
  world.leave();
  world.shared.publish();
  BOOST_TEST(second.read_answer().body == "other");
  BOOST_TEST(third.read_answer().body == "other");
  BOOST_TEST(world.busy.arrivals == 1);
  world.stop_holding();  // a running request ends as usual
  BOOST_TEST(world.busy.arrivals == 1);
}

// The same for an upstream that says nothing and is removed.
BOOST_AUTO_TEST_CASE(requests_that_wait_for_a_connection_go_elsewhere_when_the_upstream_is_gone) {
  busy_upstream world;
  auto second = world.shared.caller();
  world.wait_for_connection(second, "second");
  world.list_other();
  world.shared.upstreams_seen.on_removed({"u0"}, monotonic_now());
  world.shared.publish();
  BOOST_TEST(second.read_answer().body == "other");
  BOOST_TEST(world.busy.arrivals == 1);
}

// Guards against callers who are held until their deadline though nobody can serve them.
BOOST_AUTO_TEST_CASE(a_request_that_no_other_upstream_can_take_is_refused_when_its_one_leaves) {
  busy_upstream world;
  auto second = world.shared.caller();
  world.wait_for_connection(second, "second");
  world.leave();
  const auto left = monotonic_now();
  world.shared.publish();
  const auto answer = second.read_answer();
  BOOST_TEST(answer.status() == 503);
  BOOST_TEST(answer.has("Retry-After"));
  BOOST_TEST((monotonic_now() - left < seconds(1)));  // of its 2 s
  world.stop_holding();
  BOOST_TEST(world.busy.arrivals == 1);
}

// Guards against a request that is sent to whoever has the address of an upstream that has gone.
BOOST_AUTO_TEST_CASE(a_request_does_not_follow_an_upstream_to_another_address) {
  busy_upstream world;
  auto second = world.shared.caller();
  world.wait_for_connection(second, "second");
  auto moved = entry_of("u0", world.other.upstream.address());
  moved.life = 7;
  world.shared.upstreams_seen.on_entry(moved, monotonic_now());
  world.shared.publish();
  BOOST_TEST(second.read_answer().body == "other");
  BOOST_TEST(world.busy.arrivals == 1);
}

// A notice that is taken back before the upstream has left.
BOOST_AUTO_TEST_CASE(an_upstream_that_is_ready_again_gets_requests) {
  busy_upstream world;
  world.leave();
  world.shared.publish();
  auto back = entry_of("u0", world.busy.upstream.address());
  back.sequence = 3;
  world.shared.upstreams_seen.on_entry(back, monotonic_now());
  world.shared.publish();
  auto second = world.shared.caller();
  world.wait_for_connection(second, "second");
  world.stop_holding();
  BOOST_TEST(second.read_answer().body == "busy");
}

// Guards against the same for keys, of which only the owner can be asked: the request waits for the
// move.
BOOST_AUTO_TEST_CASE(requests_for_a_leaving_owner_go_to_the_next_one) {
  busy_upstream world(true);
  auto second = world.shared.caller();
  world.wait_for_connection(second, "second");
  world.list_other();
  world.leave();
  world.shared.set_owner("u1");
  BOOST_TEST(second.read_answer().body == "other");
  BOOST_TEST(world.busy.arrivals == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle::testing
