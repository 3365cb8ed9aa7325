// Requests to upstreams whose failure domain is evacuated while they wait.
#include <boost/test/unit_test.hpp>

#include "entry/testing/counted_upstream.h"
#include "entry/testing/shared_fixture.h"

namespace plantainpaddle::testing {

namespace {

const domain_id d1{"d1"};

registered_upstream elsewhere(const std::string& id, const std::string& address) {
  return {.id = {id}, .service = {"desk"}, .address = address, .domain = {"d2"}, .slots = 6};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(evacuations)

// Guards against a request that was chosen an upstream before the order came, waits for a
// connection, and is sent after it. It goes to another domain without counting as an attempt, so
// one that may run only once is served too.
BOOST_AUTO_TEST_CASE(a_request_that_waits_for_a_connection_is_not_sent_to_an_evacuated_domain) {
  counted_upstream evacuated("evacuated", true);
  counted_upstream other("other");
  shared_fixture shared({evacuated.upstream.address()});
  shared.config.evacuates = true;
  shared.desired.services[0].connections = 1;
  shared.set_idempotent(false);
  auto first = shared.caller();
  first.send(request("POST", "r1", "x"));
  while (evacuated.arrivals == 0) std::this_thread::sleep_for(milliseconds(2));
  auto second = shared.caller();
  second.send(request("POST", "r2", "x"));
  std::this_thread::sleep_for(milliseconds(150));  // it waits for the only connection
  shared.upstreams_seen.on_entry(elsewhere("u1", other.upstream.address()), monotonic_now());
  shared.config.evacuated[d1] = monotonic_now() + seconds(3);
  shared.publish();
  std::this_thread::sleep_for(milliseconds(100));
  evacuated.free = true;
  BOOST_TEST(first.read_answer().body == "evacuated");  // running requests end as usual
  BOOST_TEST(second.read_answer().body == "other");
  BOOST_TEST(evacuated.arrivals == 1);
  BOOST_TEST(other.arrivals == 1);
}

// Guards against callers who are refused while their keys are still moving, and against requests
// that reach the former owner after its time, although no newer snapshot closes it.
BOOST_AUTO_TEST_CASE(owners_of_keys_serve_until_they_are_closed_by_the_clock) {
  counted_upstream evacuated("evacuated");
  counted_upstream other("other");
  shared_fixture shared({evacuated.upstream.address()}, true);
  shared.config.evacuates = true;
  shared.upstreams_seen.on_entry(elsewhere("u1", other.upstream.address()), monotonic_now());
  const auto closes = monotonic_now() + milliseconds(700);
  shared.config.evacuated[d1] = closes;
  shared.set_owner("u0");
  auto caller = shared.caller();
  const auto early = caller.ask(request("GET", "early"));
  if (monotonic_now() < closes) BOOST_TEST(early.body == "evacuated");
  std::this_thread::sleep_for(closes - monotonic_now());
  const auto arrived = evacuated.arrivals.load();
  const auto late = caller.ask(request("GET", "late"));
  BOOST_TEST(late.status() == 503);
  BOOST_TEST(late.has("Retry-After"));
  BOOST_TEST(evacuated.arrivals == arrived);
  shared.set_owner("u1");
  BOOST_TEST(caller.ask(request("GET", "moved")).body == "other");
}

// Guards against a move that takes long and sends callers back to an evacuated former owner.
BOOST_AUTO_TEST_CASE(a_former_owner_that_is_evacuated_is_not_asked_after_its_time) {
  counted_upstream former("former");
  counted_upstream owner("owner");
  shared_fixture shared({former.upstream.address()}, true);
  shared.config.evacuates = true;
  shared.upstreams_seen.on_entry(elsewhere("u1", owner.upstream.address()), monotonic_now());
  shared.config.evacuated[d1] = monotonic_now() + milliseconds(100);
  shared.set_owner("u1", {"u0"});
  std::this_thread::sleep_for(milliseconds(350));  // beyond owner_wait, and closed
  BOOST_TEST(shared.caller().ask(request("GET", "r1")).status() == 503);
  BOOST_TEST(former.arrivals == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle::testing
