// Guards against a hot key that takes its neighbours' room, through the whole path of a request;
// and against a limit where upstreams aren't contended.
#include <boost/test/unit_test.hpp>

#include "entry/testing/shared_fixture.h"

namespace plantainpaddle {

using namespace testing;

namespace {

// A request like request()'s, for another key.
std::string request_of_key(const std::string& key, const std::string& id) {
  std::string text = request("GET", id);
  const auto field = std::string(platform_key_header) + ": ";
  return text.replace(text.find(field) + field.size(), 1, key);
}

// Answers each request, and reports that all of its 6 slots are taken and many requests wait.
void answer_as_loaded(scripted_connection& side) {
  for (auto head = side.read_request(); !head.empty(); head = side.read_request()) {
    side.answer("served",
                echo_id(head) + std::string(platform_header_names.load) + ": 90,30,6\r\n");
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(key_limits)

BOOST_AUTO_TEST_CASE(a_hot_key_of_a_loaded_owner_is_refused_and_its_neighbours_are_served) {
  for (const bool contended : {true, false}) {
    scripted_upstream loaded(answer_as_loaded);
    shared_fixture shared({loaded.address()}, true);
    shared.desired.ranked = contended;
    shared.set_owner("u0");
    auto caller = shared.caller();
    BOOST_TEST(caller.ask(request_of_key("7", "first")).status() == 200);
    const auto second = caller.ask(request_of_key("7", "second"));
    BOOST_TEST(second.status() == (contended ? 503 : 200));
    BOOST_TEST(second.has("Retry-After") == contended);
    BOOST_TEST((second.body.find("key_share") != std::string::npos) == contended);
    BOOST_TEST(caller.ask(request_of_key("8", "neighbour")).status() == 200);
    const auto counted = shared.counters.prometheus_text().find("sends_refused_total");
    BOOST_TEST((counted != std::string::npos) == contended);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
