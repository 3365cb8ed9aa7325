#include "table/parse.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpaddle;

BOOST_AUTO_TEST_SUITE(table_parse)

BOOST_AUTO_TEST_CASE(formatted_table_reads_back_equal) {
  service_table declared;
  declared.revision.value = 7;
  declared.service.name.value = "counter-desk";
  declared.upstreams.push_back(
      {.name = {"desk-1"}, .address = "127.0.0.1:9001", .domain = {"north"}});
  declared.routes.push_back({.name = "stock", .host = "", .path_prefix = "/stock"});
  declared.limits.push_back({.name = "all", .tenant = {"*"}});
  declared.history.push_back({{7}, "ana", seconds(5), "added"});
  const auto read = parse_service_table(format_service_table(declared));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((*read == declared));
}

BOOST_AUTO_TEST_CASE(every_wrong_column_is_named) {
  const auto read = parse_service_table(
      R"({"service":{"name":"a b","shards":3},"upstreams":[{"name":"u","address":"x","domain":"d"}]})");
  BOOST_REQUIRE(read.has_error());
  const std::string& detail = read.error().detail;
  BOOST_TEST(detail.find("$.service.name") != std::string::npos);
  BOOST_TEST(detail.find("$.service.shards: found 3, expected a power of two") !=
             std::string::npos);
  BOOST_TEST(detail.find("$.upstreams[0].address") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
