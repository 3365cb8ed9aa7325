// Holds the operators' pages to the code: columns, defaults, settings, findings, exit codes.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

#include "apps/findings.h"
#include "apps/table_view.h"
#include "entry/settings.h"
#include "table/row_json.h"

using namespace plantainpaddle;

namespace {

std::vector<std::string> page_lines(const std::string& name) {
  std::ifstream in(std::string(PLANTAINPADDLE_SOURCE_DIR) + "/docs/" + name);
  std::vector<std::string> lines;
  for (std::string line; std::getline(in, line);) lines.push_back(line);
  BOOST_REQUIRE(!lines.empty());
  return lines;
}

// "| `a` | b |" as {"`a`", "b"}.
std::vector<std::string> cells_of(const std::string& line) {
  std::vector<std::string> cells;
  std::istringstream in(line.substr(1));
  for (std::string cell; std::getline(in, cell, '|');) {
    const auto first = cell.find_first_not_of(' ');
    const auto last = cell.find_last_not_of(' ');
    cells.push_back(first == std::string::npos ? "" : cell.substr(first, last - first + 1));
  }
  return cells;
}

// The rows of the tables under a heading whose first cell is in back quotes, by that cell.
std::map<std::string, std::vector<std::string>> rows_under(const std::string& page,
                                                           const std::string& heading) {
  std::map<std::string, std::vector<std::string>> rows;
  bool inside = false;
  for (const auto& line : page_lines(page)) {
    if (line.starts_with("#")) inside = line.ends_with("# " + heading);
    if (!inside || !line.starts_with("| `")) continue;
    auto cells = cells_of(line);
    const std::string name = cells[0].substr(1, cells[0].size() - 2);
    rows[name] = std::move(cells);
  }
  return rows;
}

std::string without_quotes(std::string text) {
  std::erase(text, '`');
  return text == "empty" || text == "none" ? "" : text;
}

template <class Row>
void check_columns(const Row& defaults) {
  const std::string kind(kind_name(kind_of<Row>));
  const auto described = rows_under("TABLE.md", kind);
  const auto columns = row_to_json(defaults);
  BOOST_TEST(described.size() == columns.size(), kind);
  for (const auto& column : columns) {
    const std::string name(column.key());
    const auto row = described.find(name);
    BOOST_TEST_REQUIRE(described.contains(name), kind << "." << name << " isn't in TABLE.md");
    if (name == "name") continue;
    const std::string shown = name == "key_from" ? "none" : cell_text(column.value());
    const std::string written =
        name == "key_from" ? std::string("none") : without_quotes(row->second[2]);
    BOOST_TEST(written == shown, kind << "." << name);
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(docs)

BOOST_AUTO_TEST_CASE(table_page_has_every_column_with_its_default) {
  check_columns(service_row{});
  check_columns(upstream_row{});
  check_columns(route_row{});
  check_columns(limit_row{.tenant = {"*"}});
}

BOOST_AUTO_TEST_CASE(operations_page_has_every_setting) {
  const auto described = rows_under("OPERATIONS.md", "Settings of an entry instance");
  const std::string text = R"({"name":"a","cluster":"c","region":"r","domain":"d",
    "listen":{"callers":"1.1.1.1:1","forward":"1.1.1.1:2","operators":"1.1.1.1:3",
              "peers":"1.1.1.1:4"},
    "platform":{"store":["1.1.1.1:5"],"instances":"1.1.1.1:5"},"threads":2,"log_level":"info"})";
  const auto read = parse_entry_settings(text, "here");
  BOOST_REQUIRE_MESSAGE(read.has_value(), (read ? "" : to_string(read.error())));
  std::size_t names = 0;
  const auto check = [&](const std::string& name) {
    ++names;
    BOOST_TEST(described.contains(name), name);
  };
  const auto settings = parse_json(text, step::settings, 10000);
  for (const auto& member : settings->as_object()) {
    const std::string name(member.key());
    if (!member.value().is_object()) {
      check(name);
      continue;
    }
    for (const auto& inner : member.value().as_object()) {
      check(name + "." + std::string(inner.key()));
    }
  }
  BOOST_TEST(described.size() == names);
}

BOOST_AUTO_TEST_CASE(operations_page_has_the_bounds_of_a_platform_with_their_defaults) {
  const auto described = rows_under("OPERATIONS.md", "Settings of a platform of items");
  const platform_bounds defaults;
  const std::map<std::string, std::string> written{
      {"platform.form", "etcd"},
      {"platform.bounds.drain", format_duration(defaults.drain)},
      {"platform.bounds.apply", format_duration(defaults.apply)},
      {"platform.bounds.shutdown", format_duration(defaults.shutdown)},
      {"platform.bounds.hold_max", format_duration(defaults.hold_max)},
      {"platform.bounds.lease_min", format_duration(defaults.lease_min)},
      {"platform.bounds.reuse_after", format_duration(defaults.reuse_after)},
      {"platform.bounds.heartbeat", format_duration(defaults.heartbeat)},
      {"platform.bounds.retry_share", number_text(defaults.retry_share)},
      {"platform.bounds.retry_burst", number_text(defaults.retry_burst)},
      {"platform.bounds.memory_mb", std::to_string(defaults.memory_mb)},
      {"platform.bounds.descriptors", std::to_string(defaults.descriptors)},
      {"platform.bounds.warmup_overrun",
       defaults.cold_overrun ? number_text(*defaults.cold_overrun) : "unset"},
      {"platform.bounds.warmup_slack", number_text(defaults.cold_slack)},
      {"platform.bounds.evacuate",
       defaults.evacuation ? format_duration(*defaults.evacuation) : "unset"},
      {"platform.contracts", ""},
      {"platform.bounds.cores", number_text(defaults.cores)}};
  BOOST_TEST(described.size() == written.size());
  for (const auto& [name, value] : written) {
    BOOST_TEST_REQUIRE(described.contains(name), name);
    BOOST_TEST(without_quotes(described.at(name)[2]) == value, name);
  }
}

BOOST_AUTO_TEST_CASE(operations_page_has_the_limits_on_callers_with_their_defaults) {
  const auto described = rows_under("OPERATIONS.md", "Settings of the limits on callers");
  const client_limits defaults;
  const std::map<std::string, std::string> written{
      {"memory_share", number_text(defaults.memory_share)},
      {"body_share", number_text(defaults.body_share)},
      {"progress_bytes", std::to_string(defaults.progress_bytes)},
      {"progress_time", format_duration(defaults.progress_time)},
      {"head_fields", std::to_string(defaults.head_fields)},
      {"pipelined", std::to_string(defaults.pipelined)},
      {"connections", std::to_string(defaults.connections)}};
  BOOST_TEST(described.size() == written.size());
  for (const auto& [member, value] : written) {
    const std::string name = "platform.clients." + member;
    BOOST_TEST_REQUIRE(described.contains(name), name);
    BOOST_TEST(without_quotes(described.at(name)[2]) == value, name);
  }
}

BOOST_AUTO_TEST_CASE(operations_page_has_every_finding) {
  const std::map<severity, std::string> headings{
      {severity::outage, "Requests fail now"},
      {severity::degraded, "Served, but the next loss may not be made good"},
      {severity::notice, "Under way"}};
  std::size_t described = 0;
  for (const auto& [level, heading] : headings) {
    described += rows_under("OPERATIONS.md", heading).size();
  }
  const auto count = static_cast<std::size_t>(fault::nothing_declared) + 1;
  BOOST_TEST(described == count);
  for (std::size_t i = 0; i < count; ++i) {
    const auto f = static_cast<fault>(i);
    const auto rows = rows_under("OPERATIONS.md", headings.at(severity_of(f)));
    BOOST_TEST(rows.contains(std::string(fault_name(f))), fault_name(f));
  }
}

BOOST_AUTO_TEST_SUITE_END()
