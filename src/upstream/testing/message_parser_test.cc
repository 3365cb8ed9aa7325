// Bodies that come in any pieces are decoded as if they had come at once.
#include "upstream/message_parser.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

namespace plantainpaddle {
namespace {

struct decoded {
  std::string body;
  bool whole = false;
  bool bad = false;
  bool operator==(const decoded&) const = default;
};

// Feeds head and body through one buffer, the body in the pieces that end at the cuts.
decoded decode(const std::string& head, const std::string& body, std::vector<std::size_t> cuts) {
  auto buffer = std::make_unique<wire_buffer>();
  std::copy(head.begin(), head.end(), buffer->bytes.begin());
  buffer->end = head.size();
  message_parser<true> parser;
  boost::beast::error_code code;
  parser.parse_head(*buffer, head.size(), code);
  decoded made;
  cuts.push_back(body.size());
  std::size_t from = 0;
  for (const auto to : cuts) {
    buffer->move_unread(head.size());
    std::copy(body.begin() + static_cast<std::ptrdiff_t>(from),
              body.begin() + static_cast<std::ptrdiff_t>(to),
              buffer->bytes.begin() + static_cast<std::ptrdiff_t>(buffer->end));
    buffer->end += to - from;
    from = to;
    parser.parse_body(*buffer, code);
    made.bad = made.bad || code;
    if (made.bad) return made;
    made.body += parser.body();
    parser.clear_body();
  }
  made.whole = parser.is_done();
  return made;
}

constexpr auto chunked_head = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

}  // namespace

BOOST_AUTO_TEST_SUITE(message_parser_bodies)

BOOST_AUTO_TEST_CASE(any_two_cuts_change_nothing) {
  const std::vector<std::string> bodies{
      "0\r\n\r\n", "0\r\nX: 1\r\nY: 2\r\n\r\n", "5\r\nhello\r\n0\r\n\r\n",
      "1;a=b\r\nh\r\n00a\r\n0123456789\r\n0;c=\"d\"\r\nX: 1\r\n\r\n"};
  for (const auto& body : bodies) {
    const auto at_once = decode(chunked_head, body, {});
    BOOST_TEST(at_once.whole);
    for (std::size_t i = 0; i <= body.size(); ++i) {
      for (std::size_t j = i; j <= body.size(); ++j) {
        BOOST_TEST((decode(chunked_head, body, {i, j}) == at_once));
      }
    }
    std::vector<std::size_t> every(body.size());
    for (std::size_t i = 0; i < every.size(); ++i) every[i] = i;
    BOOST_TEST((decode(chunked_head, body, every) == at_once));
  }
}

BOOST_AUTO_TEST_CASE(bad_frames_are_refused) {
  for (const auto* body :
       {"g\r\n", "-1\r\nx\r\n", "5\r\nhelloX\r\n", "5 \r\nhello\r\n", "\r\n\r\n",
        "5\nhello\r\n0\r\n\r\n", "fffffffffffffffff\r\nx\r\n", "0x5\r\nhello\r\n"}) {
    BOOST_TEST(!decode(chunked_head, body, {}).whole, body);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
