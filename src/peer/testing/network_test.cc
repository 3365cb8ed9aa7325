#include "peer/network.h"

#include <boost/test/unit_test.hpp>
#include <future>

using namespace plantainpaddle;

namespace {

peer_settings settings_of(const std::string& cluster) {
  return {"127.0.0.1:0", {cluster, 1, "west", {"a@1"}, {"north"}}, 1 << 20};
}

result<peer_answer> call(peer_network& from, const std::string& address, peer_request request) {
  std::promise<result<peer_answer>> promise;
  auto future = promise.get_future();
  from.call(address, std::move(request), seconds(2),
            [&](result<peer_answer> answer) { promise.set_value(std::move(answer)); });
  return future.get();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(peer)

BOOST_AUTO_TEST_CASE(a_request_is_answered) {
  peer_network server(settings_of("shop"), [](const auto&, peer_request request, auto reply) {
    reply(term_answer{std::get<term_question>(request).term});
  });
  const auto address = server.start();
  BOOST_REQUIRE(address.has_value());
  peer_network client(settings_of("shop"), [](const auto&, auto, auto) {});
  BOOST_REQUIRE(client.start().has_value());
  for (std::uint64_t term = 1; term < 4; ++term) {
    const auto answer = call(client, *address, term_question{{"s/d/0"}, {term}, {"a@1"}});
    BOOST_REQUIRE_MESSAGE(answer.has_value(), to_string(answer.error()));
    BOOST_TEST((std::get<term_answer>(answer->reply).highest_term == term_number{term}));
    BOOST_TEST(answer->from.instance.value == "a@1");
  }
}

BOOST_AUTO_TEST_CASE(another_cluster_is_refused) {
  peer_network server(settings_of("shop"), [](const auto&, auto, auto) {});
  const auto address = server.start();
  peer_network client(settings_of("other"), [](const auto&, auto, auto) {});
  BOOST_REQUIRE(client.start().has_value());
  const auto answer = call(client, *address, state_push{});
  BOOST_REQUIRE(answer.has_error());
  BOOST_TEST((answer.error().code == errc::refused));
  BOOST_TEST(answer.error().detail.find("cluster") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(nobody_listens) {
  peer_network client(settings_of("shop"), [](const auto&, auto, auto) {});
  BOOST_REQUIRE(client.start().has_value());
  BOOST_TEST((call(client, "127.0.0.1:1", state_push{}).error().code == errc::unavailable));
}

BOOST_AUTO_TEST_SUITE_END()
