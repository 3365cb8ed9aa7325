#include "standin/relay.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "http/client.h"
#include "http/server.h"

using namespace plantainpaddle;

namespace {

constexpr duration short_wait = milliseconds(150);

struct fixture {
  boost::asio::io_context io{1};
  int served = 0;
  http_server target{io.get_executor()};
  fault_relay relay{io.get_executor()};
  http_client http{io.get_executor()};
  std::string address;

  fixture() {
    const auto to = target.listen(
        "127.0.0.1:0", [this](const http_request&) -> boost::asio::awaitable<http_response> {
          ++served;
          co_return json_response(200, "{}");
        });
    address = *relay.add("r", "127.0.0.1:0", *to);
  }

  result<http_response> call(duration timeout, bool fresh = false) {
    std::optional<result<http_response>> kept;
    http.send(
        address, {"GET", "/", {}, ""}, timeout,
        [&](result<http_response> answer) { kept = std::move(answer); }, fresh);
    while (!kept) io.run_one();
    return *kept;
  }

  unsigned order(const std::string& text) {
    return relay.handle({"POST", "/control/fault", {}, text}).status;
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(relay)

BOOST_FIXTURE_TEST_CASE(cut_breaks_and_pass_mends, fixture) {
  BOOST_TEST(call(seconds(2)).has_value());
  BOOST_TEST(order(R"({"mode":"cut"})") == 200U);
  BOOST_TEST(call(seconds(2)).has_error());
  BOOST_TEST(call(seconds(2), true).has_error());
  BOOST_TEST(order(R"({"route":"r","mode":"pass"})") == 200U);
  BOOST_TEST(call(seconds(2), true).has_value());
  BOOST_TEST(order(R"({"route":"none","mode":"pass"})") == 404U);
  BOOST_TEST(order(R"({"mode":"bend"})") == 400U);
}

BOOST_FIXTURE_TEST_CASE(held_bytes_arrive_later, fixture) {
  order(R"({"mode":"hold"})");
  std::optional<result<http_response>> kept;
  http.send(address, {"GET", "/", {}, ""}, seconds(5),
            [&](result<http_response> answer) { kept = std::move(answer); });
  io.run_for(short_wait);
  BOOST_TEST(served == 0);
  order(R"({"mode":"pass"})");
  while (!kept) io.run_one();
  BOOST_TEST(kept->has_value());
  BOOST_TEST(served == 1);
}

BOOST_FIXTURE_TEST_CASE(one_way_loses_the_answer_only, fixture) {
  order(R"({"mode":"hold","direction":"down"})");
  BOOST_TEST(call(short_wait).has_error());
  BOOST_TEST(served == 1);
}

BOOST_FIXTURE_TEST_CASE(forgotten_connections_stay_silent_and_new_ones_work, fixture) {
  BOOST_TEST(call(seconds(2)).has_value());
  order(R"({"mode":"forget","connections":"existing"})");
  const auto silent = call(short_wait);
  BOOST_REQUIRE(silent.has_error());
  BOOST_TEST(silent.error().code == make_error_code(errc::timed_out));
  BOOST_TEST(call(seconds(2), true).has_value());
  order(R"({"mode":"pass"})");
  BOOST_TEST(served == 2);
}

BOOST_AUTO_TEST_SUITE_END()
