// The messages with which instances hand on news of the store.
#include "entry/news_messages.h"

#include <boost/test/unit_test.hpp>

namespace plantainpaddle {

BOOST_AUTO_TEST_SUITE(news_messages)

BOOST_AUTO_TEST_CASE(messages_read_back_as_they_were_written) {
  const news_request request{3, {~0ULL, 12, {4, 9, 9, 3}}};
  BOOST_TEST((*parse_news_request(format_news_request(request)) == request));
  const news_answer answer{.token = 81,
                           .sequence = 15,
                           .era = 3,
                           .held = milliseconds(310),
                           .feeds = {{true, 9, milliseconds(4)}, {false, 0, seconds(3)}},
                           .items = {{"servers/a", 9, false, "{\"a\":1}"},
                                     {"servers/b", 8, true, std::nullopt},
                                     {"servers/c", 7, false, std::string("\xff\x00x", 3)},
                                     {"servers/d", 6, false, ""},
                                     {"large", 5, false, std::nullopt}}};
  const auto read = parse_news_answer(format_news_answer(answer));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((*read == answer));
  const instance_registration instance{"e0", "10.1.0.18:7200", {"north"}, 0.2};
  BOOST_TEST((*parse_registration("e0", format_registration(instance)) == instance));
}

// Guards against an instance that takes in what isn't an answer, as of another version.
BOOST_AUTO_TEST_CASE(malformed_messages_are_refused) {
  for (const char* text : {"", "{}", "[]", R"({"token":-1,"sequence":1,"era":1,"revisions":[]})",
                           R"({"token":1,"sequence":1,"era":1,"revisions":["a"]})",
                           R"({"token":1,"sequence":1,"era":1,"revisions":[1],"more":1})"}) {
    BOOST_TEST(!parse_news_request(text).has_value(), text);
  }
  const std::string start = R"({"token":1,"sequence":1,"era":1,"held_us":0,)";
  for (const char* text :
       {R"("feeds":[{}],"items":[]})", R"("feeds":[1],"items":[]})", R"("feeds":[]})",
        R"("feeds":[{"complete":true,"revision":1,"age_us":-5}],"items":[]})",
        R"("feeds":[],"items":[{"key":"a"}]})",
        R"("feeds":[],"items":[{"key":"a","version":1,"base64":"%"}]})"}) {
    BOOST_TEST(!parse_news_answer(start + text).has_value(), text);
  }
  for (const char* text : {"", "10.1.0.18:7200", R"({"address":"a","domain":"d"})",
                           R"({"address":"a","domain":"d","cores":-1})"}) {
    BOOST_TEST(!parse_registration("e0", text).has_value(), text);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
