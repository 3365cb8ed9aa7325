#include "apps/capacity.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

using namespace plantainpaddle;

namespace {

std::string read_file(const std::string& name) {
  std::ifstream in(std::string(PLANTAINPADDLE_SOURCE_DIR) + "/" + name);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(capacity)

BOOST_AUTO_TEST_CASE(the_page_shows_what_the_measurements_give) {
  const auto slopes = parse_slopes(read_file("docs/measurements/control.json"),
                                   read_file("docs/measurements/path.json"),
                                   read_file("docs/measurements/failover.json"));
  BOOST_REQUIRE_MESSAGE(slopes.has_value(), to_string(slopes.error()));
  const std::string page = read_file("docs/CAPACITY.md");
  const auto renewed = replace_tables(page, format_capacity(*slopes));
  BOOST_REQUIRE(renewed.has_value());
  BOOST_TEST((*renewed == page), "run scripts/capacity --write docs/CAPACITY.md");
}

BOOST_AUTO_TEST_CASE(a_changed_slope_changes_the_tables) {
  capacity_slopes slopes;
  slopes.bytes_per_s.upstreams = {1000, 100};
  const std::string before = format_capacity(slopes);
  slopes.bytes_per_s.upstreams.slope = 10000;
  const std::string after = format_capacity(slopes);
  BOOST_TEST(before != after);
  BOOST_TEST(before.find("| most loaded | | holds | holds |") != std::string::npos);
  BOOST_TEST(after.find("| most loaded | | holds | **does not hold** |") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(bad_measurements_say_what_lacks) {
  const auto slopes = parse_slopes("{}", "{}", "{}");
  BOOST_REQUIRE(slopes.has_error());
  BOOST_TEST(slopes.error().detail.find("upstreams") != std::string::npos);
  BOOST_TEST(replace_tables("no markers", "x").has_error());
}

BOOST_AUTO_TEST_SUITE_END()
