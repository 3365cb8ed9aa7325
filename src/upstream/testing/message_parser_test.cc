// Bodies that come in any pieces are decoded as if they had come at once, and fields are views of
// the buffer that holds the head.
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

BOOST_AUTO_TEST_SUITE(message_parser_heads)

struct parsed_head {
  std::unique_ptr<wire_buffer> buffer = std::make_unique<wire_buffer>();
  message_parser<false> parser;
  boost::beast::error_code code;

  // `offset` is where the head begins in the buffer.
  explicit parsed_head(const std::string& head, std::size_t offset = 0) {
    std::copy(head.begin(), head.end(),
              buffer->bytes.begin() + static_cast<std::ptrdiff_t>(offset));
    buffer->begin = offset;
    buffer->end = offset + head.size();
    parser.parse_head(*buffer, head.size(), code);
  }

  bool holds(std::string_view text) const {
    const std::string_view bytes(buffer->bytes.data(), buffer->end);
    return text.data() >= bytes.data() && text.data() + text.size() <= bytes.data() + bytes.size();
  }
};

// Guards against a value that points to bytes outside the buffer once the head has been parsed, so
// that the caller gets whatever stands there later.
BOOST_AUTO_TEST_CASE(folded_values_are_views_of_the_buffer) {
  for (const auto* const value :
       {"a\r\n b", "a\r\n\t \r\n b", "\r\n a b", "a b\r\n ", "a b \r\n\t\r\n \t"}) {
    for (const std::size_t offset : {std::size_t{0}, std::size_t{700}}) {
      const parsed_head made("HTTP/1.1 200 Fine\r\nStamp: " + std::string(value) +
                                 "\r\nContent-Length:\r\n 2\r\nOther: 1\r\n\r\n",
                             offset);
      BOOST_TEST(!made.code, value);
      BOOST_TEST(made.parser.fields().size() == 3U);
      for (const auto& field : made.parser.fields()) {
        BOOST_TEST(made.holds(field.name));
        BOOST_TEST(made.holds(field.value), value);
      }
      std::istringstream words{std::string(made.parser.find("stamp"))};
      std::string first;
      std::string second;
      words >> first >> second;
      BOOST_TEST(first == "a");
      BOOST_TEST(second == "b");
      BOOST_TEST(made.parser.find("other") == "1");
      BOOST_TEST(made.parser.content_length().value_or(0) == 2U);
      BOOST_TEST(made.parser.reason() == "Fine");
    }
  }
}

BOOST_AUTO_TEST_CASE(folded_values_may_be_as_long_as_others) {
  const std::string half(5000, 'a');
  const parsed_head made("HTTP/1.1 200 Fine\r\nStamp: " + half + "\r\n " + half + "\r\n\r\n");
  BOOST_TEST(!made.code);
  BOOST_TEST(made.parser.find("stamp") == half + "   " + half);
}

BOOST_AUTO_TEST_CASE(a_folded_start_line_is_refused) {
  BOOST_TEST(parsed_head("HTTP/1.1 200 Fine\r\n X: 1\r\n\r\n").code.failed());
  BOOST_TEST(parsed_head("HTTP/1.1 200 Fine\r\n X: 1\r\n Y: 1\r\n\r\n").code.failed());
}

BOOST_AUTO_TEST_CASE(a_folded_field_name_is_refused) {
  BOOST_TEST(parsed_head("HTTP/1.1 200 Fine\r\nA: 1\r\nX\r\n : 1\r\n\r\n").code.failed());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
