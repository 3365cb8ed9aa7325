// The example files are read by the same functions as those of a deployment.
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include "entry/settings.h"
#include "platform/instance_list.h"
#include "table/parse.h"

using namespace plantainpaddle;

namespace {

const std::filesystem::path examples =
    std::filesystem::path(PLANTAINPADDLE_SOURCE_DIR) / "examples";

std::string read_file(const std::filesystem::path& file) {
  std::ifstream in(file);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

table read_table(const std::string& deployment) {
  const auto read = parse_table_file(read_file(examples / deployment / "table.json"));
  BOOST_REQUIRE_MESSAGE(read.has_value(),
                        deployment + ": " + (read ? "" : to_string(read.error())));
  return *read;
}

// Upstreams by service, and in how many failure domains they stand.
void check_sizes(const table& declared, const std::map<std::string, std::size_t>& wanted,
                 std::uint32_t slots) {
  BOOST_TEST(declared.size() == wanted.size());
  for (const auto& [name, count] : wanted) {
    const auto& upstreams = declared.at({name}).upstreams;
    BOOST_TEST(upstreams.size() == count, name);
    std::set<domain_id> domains;
    for (const auto& row : upstreams) {
      domains.insert(row.domain);
      BOOST_TEST(row.slots == slots);
    }
    BOOST_TEST(domains.size() == 3U, name);
  }
}

bool runs_once(const table& declared, const std::string& service, const std::string& route) {
  for (const auto& row : declared.at({service}).routes) {
    if (row.name == route) return row.once && row.klass == request_class::order;
  }
  return false;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(examples_are_current)

BOOST_AUTO_TEST_CASE(harrowgate) {
  const auto declared = read_table("harrowgate");
  check_sizes(declared, {{"counter-desk", 16}, {"order-book", 8}, {"plan-room", 13}}, 6);
  BOOST_TEST(runs_once(declared, "order-book", "orders"));
  BOOST_TEST(runs_once(declared, "order-book", "credit-holds"));
  for (const auto& [name, service] : declared) {
    BOOST_TEST(service.service.unavailable_weight > service.service.churn_weight, name);
  }
}

BOOST_AUTO_TEST_CASE(raselinka) {
  const auto declared = read_table("raselinka");
  check_sizes(declared, {{"sklad", 12}, {"expedice", 7}, {"laborator", 12}}, 3);
  BOOST_TEST(runs_once(declared, "expedice", "pressing-orders"));
  BOOST_TEST(runs_once(declared, "expedice", "dispatches"));
  for (const auto& [name, service] : declared) {
    BOOST_TEST(service.service.churn_weight > service.service.unavailable_weight, name);
  }
}

BOOST_AUTO_TEST_CASE(demo) {
  read_table("demo");
  const auto list = parse_instance_list(read_file(examples / "demo" / "instances.json"));
  BOOST_REQUIRE(list.has_value());
  for (const auto& info : *list) {
    const auto file = examples / "demo" / (info.name + ".json");
    const auto settings = read_entry_settings(file.string());
    BOOST_REQUIRE_MESSAGE(settings.has_value(), file);
    BOOST_TEST(settings->name == info.name);
    BOOST_TEST((settings->domain == info.domain));
    BOOST_TEST(settings->listen_operators == info.operators);
    BOOST_TEST(settings->listen_peers == info.peers);
  }
}

// Each settings file reads, and stands in a failure domain that the table's upstreams name.
BOOST_AUTO_TEST_CASE(settings) {
  std::size_t files = 0;
  for (const std::string deployment : {"harrowgate", "raselinka", "demo"}) {
    std::set<domain_id> domains;
    for (const auto& [name, service] : read_table(deployment)) {
      for (const auto& row : service.upstreams) domains.insert(row.domain);
    }
    for (const auto& item : std::filesystem::directory_iterator(examples / deployment)) {
      const auto name = item.path().filename().string();
      if (name == "table.json" || name == "instances.json") continue;
      const auto settings = read_entry_settings(item.path().string());
      BOOST_REQUIRE_MESSAGE(settings.has_value(),
                            name + ": " + (settings ? "" : to_string(settings.error())));
      BOOST_TEST(domains.contains(settings->domain), name);
      ++files;
    }
  }
  BOOST_TEST(files == 12U);
}

BOOST_AUTO_TEST_SUITE_END()
