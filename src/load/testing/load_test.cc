#include <boost/test/unit_test.hpp>

#include "load/keys.h"
#include "load/record.h"
#include "load/report.h"

using namespace plantainpaddle;

BOOST_AUTO_TEST_SUITE(load)

BOOST_AUTO_TEST_CASE(keys_follow_zipf_and_the_hot_set_moves) {
  load_class klass;
  klass.name = "counter";
  klass.keys = 100;
  klass.zipf = 1;
  key_sampler zipf(klass, 1);
  std::vector<int> counts(klass.keys);
  for (int i = 0; i < 50'000; ++i) ++counts[zipf.draw_number(duration{0})];
  // Key 0 is asked ten times as often as key 9.
  BOOST_TEST(counts[0] > 8 * counts[9]);
  BOOST_TEST(counts[0] < 12 * counts[9]);
  klass.hot_keys = 1;
  klass.hot_share = 1;
  klass.hot_move = seconds(1);
  key_sampler hot(klass, 1);
  BOOST_TEST(hot.draw_number(duration{0}) == hot.draw_number(milliseconds(999)));
  BOOST_TEST(hot.draw_number(duration{0}) != hot.draw_number(seconds(1)));
}

BOOST_AUTO_TEST_CASE(a_plan_names_every_wrong_column) {
  const auto plan = parse_load_plan(
      R"({"targets":["x"],"classes":[{"name":"a","path":"/","rate":-1,"hot":3}]})", "plan.json");
  BOOST_REQUIRE(plan.has_error());
  const std::string& detail = plan.error().detail;
  BOOST_TEST(detail.find("plan.json: $.targets") != std::string::npos);
  BOOST_TEST(detail.find("$.classes[0].rate") != std::string::npos);
  BOOST_TEST(detail.find("$.classes[0].hot: unknown name") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(records_read_back_and_quantiles_are_exact) {
  std::vector<load_record> records(1000);
  for (std::size_t i = 0; i < records.size(); ++i) {
    records[i].id = "r" + std::to_string(i);
    records[i].klass = "counter";
    records[i].outcome = load_outcome::complete;
    records[i].end = milliseconds(i + 1);
  }
  records[0].outcome = load_outcome::refused;
  const auto read = parse_load_records(format_load_records(records));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((*read == records));
  records[0].outcome = load_outcome::complete;
  const auto report = make_reports(records, seconds(1)).front();
  BOOST_TEST((report.p50 == milliseconds(500)));
  BOOST_TEST((report.p99 == milliseconds(990)));
  BOOST_TEST((report.p999 == milliseconds(999)));
  BOOST_TEST((report.most == milliseconds(1000)));
}

BOOST_AUTO_TEST_SUITE_END()
