// Tests the strict check of request heads, alone and as part of the router.
#include "entry/http_guard.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include "entry/heads.h"
#include "entry/testing/proxy_fixture.h"
#include "upstream/message_parser.h"

namespace plantainpaddle::testing {

namespace {

struct bad_head {
  std::string text;
  head_fault fault;
};

const std::vector<bad_head>& bad_heads() {
  static const std::string line = "GET /a HTTP/1.1\r\n";
  static const std::string host = line + "Host: h\r\n";
  static const std::vector<bad_head> heads{
      {"GET /a HTTP/1.1\nHost: h\r\n\r\n", head_fault::line_end},
      {line + "Host: h\nX: y\r\n\r\n", head_fault::line_end},
      {line + "Host: h\rX: y\r\n\r\n", head_fault::line_end},
      {"\r\n" + host + "\r\n", head_fault::line_end},
      {host + std::string("X: a\0b\r\n\r\n", 10), head_fault::control_character},
      {host + "X: a\x01\r\n\r\n", head_fault::control_character},
      {host + "X: a\r\n b\r\n\r\n", head_fault::folded_line},
      {host + " X: a\r\n\r\n", head_fault::folded_line},
      {host + "Content-Length : 5\r\n\r\n", head_fault::field_name},
      {host + "Content-Length\t: 5\r\n\r\n", head_fault::field_name},
      {host + ": 5\r\n\r\n", head_fault::field_name},
      {host + "X\r\n\r\n", head_fault::field_name},
      {host + "X(y): 5\r\n\r\n", head_fault::field_name},
      {host + "Content-Length: 5\r\nContent-Length: 5\r\n\r\n", head_fault::length},
      {host + "Content-Length: 5\r\ncontent-length: 6\r\n\r\n", head_fault::length},
      {host + "Content-Length: 5, 5\r\n\r\n", head_fault::length},
      {host + "Content-Length: +5\r\n\r\n", head_fault::length},
      {host + "Content-Length: 0x5\r\n\r\n", head_fault::length},
      {host + "Content-Length:\r\n\r\n", head_fault::length},
      {host + "Content-Length: 99999999999999999999\r\n\r\n", head_fault::length},
      {host + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
       head_fault::length_and_chunked},
      {host + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n",
       head_fault::length_and_chunked},
      {host + "Transfer-Encoding: gzip, chunked\r\n\r\n", head_fault::transfer_coding},
      {host + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
       head_fault::transfer_coding},
      {host + "Transfer-Encoding: xchunked\r\n\r\n", head_fault::transfer_coding},
      {host + "Transfer-Encoding: \"chunked\"\r\n\r\n", head_fault::transfer_coding},
      {line + "\r\n", head_fault::host},
      {host + "Host: h\r\n\r\n", head_fault::host},
      {line + "Host: a b\r\n\r\n", head_fault::host},
      {line + "Host: a/b\r\n\r\n", head_fault::host},
      {"GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n", head_fault::target},
      {"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", head_fault::target},
      {"GET a HTTP/1.1\r\nHost: h\r\n\r\n", head_fault::target},
      {"GET /a#b HTTP/1.1\r\nHost: h\r\n\r\n", head_fault::target},
      {"GET /a b HTTP/1.1\r\nHost: h\r\n\r\n", head_fault::target},
      {"GET /\xc3\xa4 HTTP/1.1\r\nHost: h\r\n\r\n", head_fault::target},
      {"GET /a HTTP/1.0\r\nHost: h\r\n\r\n", head_fault::version},
      {"GET /a HTTP/2.0\r\nHost: h\r\n\r\n", head_fault::version},
      {"GET /a HTTP/1.1 \r\nHost: h\r\n\r\n", head_fault::request_line},
      {"GET /a\r\nHost: h\r\n\r\n", head_fault::request_line},
      {"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n", head_fault::method},
      {"TRACE /a HTTP/1.1\r\nHost: h\r\n\r\n", head_fault::method},
      {"G(T /a HTTP/1.1\r\nHost: h\r\n\r\n", head_fault::method},
  };
  return heads;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(http_guard)

BOOST_AUTO_TEST_CASE(reports_each_fault) {
  for (const auto& [text, fault] : bad_heads()) {
    BOOST_TEST(fault_name(check_head(text)) == fault_name(fault), text);
  }
  std::string many = "GET /a HTTP/1.1\r\nHost: h\r\n";
  for (int i = 0; i < 101; ++i) many += "X: y\r\n";
  BOOST_TEST((check_head(many + "\r\n") == head_fault::too_many_fields));
  BOOST_TEST((check_head("GET /a?b=%20 HTTP/1.1\r\nHost: h:80\r\nX: \xc3\xa4 b\t\r\n\r\n") ==
              head_fault::none));
}

// A faulty head gets a 4xx or 5xx response with "not-run", the connection is closed, and nothing
// reaches the upstream.
BOOST_AUTO_TEST_CASE(the_router_refuses_and_closes) {
  scripted_upstream upstream(scripted_upstream::echo);
  proxy_fixture proxy({upstream.address()});
  for (const auto& [text, fault] : bad_heads()) {
    auto caller = proxy.caller();
    const auto got = caller.ask(text);
    BOOST_TEST(got.status() >= 400, text);
    BOOST_TEST(got.has("Plantainpaddle-Outcome: not-run\r\n"), text);
    BOOST_TEST(got.has("Connection: close\r\n"), text);
    BOOST_TEST(caller.at_end(), text);
  }
  auto caller = proxy.caller();
  BOOST_TEST(caller.ask("GET /a HTTP/1.1\r\nX: " + std::string(20'000, 'x')).status() == 431);
  BOOST_TEST(upstream.connections() == 0U);
}

BOOST_AUTO_TEST_CASE(slow_heads_and_bodies_get_408) {
  proxy_settings settings;
  settings.limits.head_time = milliseconds(50);
  settings.limits.body_time = milliseconds(50);
  scripted_upstream upstream(scripted_upstream::echo);
  proxy_fixture proxy({upstream.address()}, settings);
  BOOST_TEST(proxy.caller().ask("GET /stock/1 HT").status() == 408);
  const auto slow =
      proxy.caller().ask("POST /stock/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc");
  BOOST_TEST(slow.status() == 408);
  BOOST_TEST(slow.has("Plantainpaddle-Outcome: not-run\r\n"));
}

// If the guard accepts a head, the parser consumes exactly that head or rejects it, and the head
// forwarded upstream passes the guard again.
BOOST_AUTO_TEST_CASE(the_parser_agrees_with_the_guard) {
  const auto held = rc::check([] {
    const auto piece = rc::gen::elementOf(std::vector<std::string>{"GET ",
                                                                   "POST ",
                                                                   "/a",
                                                                   "/",
                                                                   " ",
                                                                   "HTTP/1.1",
                                                                   "\r\n",
                                                                   "\r\n\r\n",
                                                                   "\n",
                                                                   "\r",
                                                                   "Host: h\r\n",
                                                                   "Content-Length: 3\r\n",
                                                                   "Content-Length:",
                                                                   "Transfer-Encoding: chunked\r\n",
                                                                   "X: y\r\n",
                                                                   "Connection: X, close\r\n",
                                                                   "Expect: 100-continue\r\n",
                                                                   ":",
                                                                   "\t",
                                                                   "5",
                                                                   "x"});
    const auto pieces = *rc::gen::container<std::vector<std::string>>(piece);
    std::string text = *rc::gen::element<std::string>("", "GET /a HTTP/1.1\r\nHost: h\r\n");
    for (const auto& one : pieces) text += one;
    const auto size = find_head_end(text, 0);
    if (size == 0 || size > max_head_bytes ||
        check_head(text.substr(0, size)) != head_fault::none) {
      return;
    }
    RC_TAG("good");
    wire_buffer buffer;
    std::copy(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(size), buffer.bytes.begin());
    buffer.end = size;
    message_parser<true> parser;
    boost::beast::error_code code;
    parser.parse_head(buffer, size, code);
    if (code) return;
    RC_ASSERT(parser.is_header_done());
    RC_ASSERT(buffer.begin == size);
    std::string sent;
    write_request_head(sent, parser, {.request_id = "r", .forwarded = "for=1.2.3.4"}, {},
                       own_header_names);
    RC_ASSERT(check_head(sent) == head_fault::none);
  });
  BOOST_TEST(held);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle::testing
