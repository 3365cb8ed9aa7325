#include "platform/etcd_codec.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

using namespace plantainpaddle;

BOOST_AUTO_TEST_SUITE(etcd_codec)

BOOST_AUTO_TEST_CASE(base64_known_values) {
  BOOST_TEST(encode_base64("f") == "Zg==");
  BOOST_TEST(encode_base64("fo") == "Zm8=");
  BOOST_TEST(encode_base64("foo") == "Zm9v");
  BOOST_TEST(decode_base64("Zm9v").value() == "foo");
  BOOST_TEST(decode_base64("Zm9").has_error());
  BOOST_TEST(decode_base64("Z*9v").has_error());
}

BOOST_AUTO_TEST_CASE(base64_round_trip) {
  BOOST_TEST(rc::check([](const std::string& bytes) {
    RC_ASSERT(decode_base64(encode_base64(bytes)).value() == bytes);
  }));
}

BOOST_AUTO_TEST_CASE(failed_swap_shows_the_value_that_stands) {
  const auto answer =
      parse_swap_answer(R"({"header":{"revision":"9"},"responses":[{"response_range":{"kvs":[)"
                        R"({"key":"Zg==","value":"Zm8=","mod_revision":"7"}]}}]})");
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(!answer->written);
  BOOST_TEST(answer->version == 7U);
  BOOST_TEST(answer->value.value() == "fo");
}

BOOST_AUTO_TEST_SUITE_END()
