#include "standin/late_copy.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>

#include "http/address.h"
#include "http/client.h"
#include "platform/platform_headers.h"
#include "standin/answer_body.h"
#include "standin/journal.h"
#include "standin/upstream.h"

using namespace plantainpaddle;

namespace {

// An upstream of the platform, whose registry doesn't answer. Requests share one connection, calls
// of the control paths another.
struct fixture {
  boost::asio::io_context io{1};
  upstream_standin upstream{
      io.get_executor(),
      {.name = "u1", .service = "desk", .check_fence = false, .registry = "127.0.0.1:1"}};
  std::string address = *upstream.listen("127.0.0.1:0");
  http_client requests{io.get_executor()};
  http_client control{io.get_executor()};

  http_response call(http_client& client, http_request request) {
    std::optional<result<http_response>> got;
    client.send(address, std::move(request), seconds(5),
                [&got](result<http_response> answer) { got = std::move(answer); });
    while (!got) io.run_one();
    BOOST_REQUIRE(got->has_value());
    return **got;
  }
  http_response work(const std::string& id, const std::string& body = "") {
    return call(
        requests,
        {"POST", "/stock/1", {{std::string(platform_header_names.request_id), id}}, body, ""});
  }
  void set(const std::string& settings) {
    BOOST_TEST(call(control, {"POST", "/control/settings", {}, settings, ""}).status == 200U);
  }
  std::vector<run_record> runs() {
    const auto read = parse_journal(call(control, {"GET", "/control/journal", {}, "", ""}).body);
    BOOST_REQUIRE(read.has_value());
    return *read;
  }
  static std::string id_of(const http_response& answer) {
    return std::string(find_header(answer.headers, platform_header_names.request_id));
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(late_copies)

BOOST_FIXTURE_TEST_CASE(a_copy_of_an_answer_comes_in_place_of_the_next, fixture) {
  set(R"({"copy_answers":1})");
  BOOST_TEST(id_of(work("a")) == "a");
  const auto second = work("b");
  BOOST_TEST(second.status == 200U);
  BOOST_TEST(id_of(second) == "a");
  BOOST_TEST(parse_answer_head(second.body.substr(0, second.body.find('\n')))->id == "a");
}

BOOST_FIXTURE_TEST_CASE(a_copy_of_a_refusal_comes_while_the_same_request_runs, fixture) {
  set(R"({"copy_refusals":1,"shed":true})");
  BOOST_TEST(work("a", "with a body").status == 503U);
  BOOST_TEST(runs().empty());
  set(R"({"shed":false})");
  const auto second = work("a", "with a body");
  BOOST_TEST(second.status == 503U);
  BOOST_TEST(id_of(second) == "a");
  BOOST_TEST(find_header(second.headers, platform_header_names.refusal) == "1");
  const auto ran = runs();
  BOOST_REQUIRE(ran.size() == 1U);
  BOOST_TEST(ran[0].id == "a");
}

BOOST_FIXTURE_TEST_CASE(a_request_for_another_upstream_has_its_refusal_copied, fixture) {
  set(R"({"copy_refusals":1})");
  http_request misdirected{"GET",
                           "/stock/1",
                           {{std::string(platform_header_names.request_id), "a"},
                            {std::string(platform_header_names.expected_upstream), "u2"}},
                           "",
                           ""};
  BOOST_TEST(call(requests, misdirected).status == 421U);
  const auto second = work("a");
  BOOST_TEST(second.status == 421U);
  BOOST_TEST(id_of(second) == "a");
  BOOST_TEST(runs().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(an_uploads_run_begins_at_its_head, fixture) {
  boost::asio::ip::tcp::socket socket(io);
  socket.connect(*parse_address(address));
  const std::string head = "PUT /stock/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n" +
                           std::string(platform_header_names.request_id) + ": a\r\n\r\n";
  boost::asio::write(socket, boost::asio::buffer(head));
  std::vector<run_record> ran;
  while (ran.empty()) ran = runs();
  BOOST_TEST(ran[0].id == "a");
  BOOST_TEST(!ran[0].end.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
