// Tests which connection a request gets, without any traffic on the connections.
#include "upstream/pool.h"

#include <sys/socket.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <list>

namespace plantainpaddle::testing {

namespace {

constexpr monotonic_time now{seconds(1000)};
const std::string address = "192.0.2.1:80";

// A pool whose connections are ends of socket pairs.
class pool_fixture {
 public:
  std::unique_ptr<upstream_connection> open(std::size_t limit) {
    auto made = pool.reserve(address, limit);
    if (!made) return made;
    std::array<int, 2> ends{};
    BOOST_REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0);
    made->socket.assign(boost::asio::ip::tcp::v4(), ends[0]);
    others.emplace_back(io).assign(boost::asio::ip::tcp::v4(), ends[1]);
    return made;
  }
  std::unique_ptr<upstream_connection> take(std::string_view id) {
    return pool.take_idle(address, {.request = identify_request(id)}, now);
  }
  // Returns the connection as one that has carried the request.
  void finish(std::unique_ptr<upstream_connection> used, std::string_view id) {
    used->carried.add(identify_request(id));
    pool.keep(std::move(used), now);
  }

  boost::asio::io_context io;
  connection_pool pool{io.get_executor()};
  std::list<tcp_socket> others;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(connection_pools)

// Guards against a request that goes on a connection that has carried it before.
BOOST_FIXTURE_TEST_CASE(a_request_gets_a_connection_that_hasnt_carried_it, pool_fixture) {
  auto first = open(2);
  auto second = open(2);
  const auto second_number = second->number;
  finish(std::move(second), "a");
  finish(std::move(first), "b");
  auto taken = take("b");
  BOOST_REQUIRE(taken);
  BOOST_TEST(taken->number == second_number);
  finish(std::move(taken), "b");
  BOOST_TEST(!take("b"));
  BOOST_TEST(take("c"));
}

// Guards against a request that must not be sent twice and goes on a connection that is as old as
// one that was just found dead.
BOOST_FIXTURE_TEST_CASE(an_old_idle_connection_is_passed_over_after_another_was_found_dead,
                        pool_fixture) {
  finish(open(2), "a");
  pool.on_dead("shelf", seconds(4), now + seconds(4));
  const auto later = now + seconds(4);
  BOOST_TEST(!pool.take_idle(address, {.trusted_in = "shelf"}, later));
  BOOST_TEST(pool.idle() == 1U);
  BOOST_TEST(pool.take_idle(address, {}, later));
}

// Guards against a request that waits while connections are idle that it may not use.
BOOST_FIXTURE_TEST_CASE(an_idle_connection_is_replaced_if_the_request_may_not_use_it,
                        pool_fixture) {
  finish(open(1), "a");
  BOOST_TEST(!take("a"));
  auto made = open(1);
  BOOST_REQUIRE(made);
  BOOST_TEST(pool.open(address) == 1U);
  BOOST_TEST(!pool.reserve(address, 1));  // in use
  pool.drop(std::move(made));
  BOOST_TEST(pool.open(address) == 0U);
}

// Guards against a connection that is closed for a refusal, although others may use it.
BOOST_FIXTURE_TEST_CASE(a_connection_carries_other_requests_after_a_refused_one, pool_fixture) {
  auto used = open(1);
  const auto number = used->number;
  finish(std::move(used), "a");
  for (const auto* id : {"b", "c", "d"}) {
    auto taken = take(id);
    BOOST_REQUIRE(taken);
    BOOST_TEST(taken->number == number);
    finish(std::move(taken), id);
  }
}

// Guards against memory that grows with the requests on a connection, and against forgetting some.
BOOST_FIXTURE_TEST_CASE(a_connection_is_closed_after_as_many_requests_as_it_remembers,
                        pool_fixture) {
  auto used = open(1);
  for (std::size_t i = 0; i < carried_requests::max_requests; ++i) {
    BOOST_REQUIRE(used);
    finish(std::move(used), "r" + std::to_string(i));
    used = take("r" + std::to_string(i + 1));
  }
  BOOST_TEST(!used);
  BOOST_TEST(pool.open(address) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle::testing
