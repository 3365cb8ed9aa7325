#include "base/json.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpaddle;

BOOST_AUTO_TEST_SUITE(json)

BOOST_AUTO_TEST_CASE(unknown_names_and_ranges_say_where) {
  const auto value = parse_json(R"({"rate": 0, "extra": 1})", step::table, 1000);
  BOOST_REQUIRE(value.has_value());
  error_list errors;
  object_reader reader(*value, "$.limits[2]", step::table, errors);
  reader.integer("rate", 1, 10);
  reader.text("tenant");
  reader.finish();
  BOOST_REQUIRE_EQUAL(errors.size(), 3U);
  BOOST_TEST(errors[0].detail == "$.limits[2].rate: found 0, expected a whole number in [1, 10]");
  BOOST_TEST(errors[1].detail == "$.limits[2].tenant: missing");
  BOOST_TEST(errors[2].detail == "$.limits[2].extra: unknown name");
}

BOOST_AUTO_TEST_CASE(bad_json_says_line_and_column) {
  const auto value = parse_json("{\n  \"a\": x}", step::settings, 1000);
  BOOST_REQUIRE(value.has_error());
  BOOST_TEST(value.error().detail.starts_with("line 2, column 8"));
}

BOOST_AUTO_TEST_CASE(size_is_limited) {
  BOOST_TEST((parse_json("[1,2,3]", step::settings, 3).error().code == errc::limit_exceeded));
}

BOOST_AUTO_TEST_SUITE_END()
