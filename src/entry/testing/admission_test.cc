// Requests that the chosen upstream has no room for, where upstreams are contended.
#include <atomic>
#include <boost/test/unit_test.hpp>

#include "entry/testing/shared_fixture.h"

namespace plantainpaddle::testing {

namespace {

// Takes 100 ms for a request and then states that its queue is full.
struct full_upstream {
  std::atomic<int> requests{0};
  scripted_upstream upstream{[this](scripted_connection& side) {
    for (auto head = side.read_request(); !head.empty(); head = side.read_request()) {
      const bool full = ++requests > 1;
      std::this_thread::sleep_for(milliseconds(100));
      side.answer("ok", echo_id(head) + std::string(platform_header_names.load) +
                            (full ? ": 6,20,6\r\n" : ": 1,0,6\r\n"));
    }
  }};
};

// Requests of one key would be limited to its share of the owner first.
std::string request_for_key(const std::string& id, const std::string& key) {
  std::string text = request("GET", id);
  const std::string usual = std::string(platform_key_header) + ": 7\r\n";
  return text.replace(text.find(usual), usual.size(),
                      std::string(platform_key_header) + ": " + key + "\r\n");
}

}  // namespace

BOOST_AUTO_TEST_SUITE(admission_by_priority)

// Guards against requests that wait in a queue for longer than their route's target of 300 ms, and
// against refusals whose reason can't be found from the request's id.
BOOST_AUTO_TEST_CASE(a_request_that_would_wait_too_long_is_refused_at_once) {
  full_upstream full;
  shared_fixture shared({full.upstream.address()}, true);
  shared.desired.ranked = true;
  shared.set_owner("u0");
  BOOST_TEST(shared.caller().ask(request_for_key("one", "11")).status() == 200);
  BOOST_TEST(shared.caller().ask(request_for_key("two", "12")).status() == 200);
  const auto refused = shared.caller().ask(request_for_key("three", "13"));
  BOOST_TEST(refused.status() == 503);
  BOOST_TEST(refused.has("Retry-After: 0."));
  BOOST_TEST(refused.body.find("no_room: the wait is ") != std::string::npos, refused.body);
  BOOST_TEST(full.requests == 2);
  const auto counted = shared.counters.prometheus_text();
  BOOST_TEST(counted.find("sends_refused_total{") != std::string::npos);
  // After a second the report doesn't tell any more.
  std::this_thread::sleep_for(milliseconds(1100));
  BOOST_TEST(shared.caller().ask(request_for_key("four", "14")).status() == 200);
}

// Guards against refusals where nothing asked for admission by priority.
BOOST_AUTO_TEST_CASE(without_contention_the_same_request_is_sent) {
  full_upstream full;
  shared_fixture shared({full.upstream.address()}, true);
  shared.set_owner("u0");
  for (const auto* id : {"one", "two", "three"}) {
    BOOST_TEST(shared.caller().ask(request("GET", id)).status() == 200);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle::testing
