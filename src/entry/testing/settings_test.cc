#include "entry/settings.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpaddle;

namespace {

// Settings of the etcd form without errors, which the tests change one at a time.
const std::string valid_settings = R"({"name":"n1","cluster":"c","region":"r","domain":"north",
  "listen":{"callers":"127.0.0.1:1","forward":"127.0.0.1:2","operators":"127.0.0.1:3",
            "peers":"[::1]:4"},
  "platform":{"store":["127.0.0.1:5","127.0.0.1:6"],"instances":"127.0.0.1:7"},
  "threads":4,"log_level":"warning"})";

// Returns valid_settings with the first `from` replaced; fails the test if there is none.
std::string replace_in_valid(const std::string& from, const std::string& to) {
  std::string text = valid_settings;
  const auto offset = text.find(from);
  BOOST_REQUIRE(offset != std::string::npos);
  return text.replace(offset, from.size(), to);
}

// Checks that `text` is refused with an error that contains the file's name followed by `expected`.
void check_refused(const std::string& text, const std::string& expected) {
  const auto read = parse_entry_settings(text, "n1.json");
  BOOST_REQUIRE_MESSAGE(read.has_error(), expected);
  const std::string& detail = read.error().detail;
  BOOST_TEST(detail.find("n1.json: " + expected) != std::string::npos, detail);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(entry_settings_file)

BOOST_AUTO_TEST_CASE(reads_a_file_with_all_settings) {
  const auto read = parse_entry_settings(valid_settings, "n1.json");
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->name == "n1");
  BOOST_TEST(read->domain.value == "north");
  BOOST_TEST(read->listen_peers == "[::1]:4");
  BOOST_TEST(read->store.size() == 2U);
  BOOST_TEST(read->threads == 4U);
  BOOST_TEST((read->level == log_level::warning));
}

BOOST_AUTO_TEST_CASE(threads_and_log_level_have_defaults) {
  const auto read = parse_entry_settings(replace_in_valid(R"(,
  "threads":4,"log_level":"warning")",
                                                          ""),
                                         "n1.json");
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->threads == 2U);
  BOOST_TEST((read->level == log_level::info));
}

BOOST_AUTO_TEST_CASE(errors_name_the_file_the_place_and_the_value) {
  check_refused("{", "line 1");
  check_refused("[]", "$: found []");
  check_refused(replace_in_valid("\"threads\":4", "\"threads\":65"),
                "$.threads: found 65, expected a whole number in [1, 64]");
  check_refused(replace_in_valid("\"threads\":4", "\"threads\":\"4\""), "$.threads: found \"4\"");
  check_refused(replace_in_valid("\"threads\":4", "\"thread\":4"), "$.thread: unknown name");
  check_refused(replace_in_valid("\"warning\"", "\"loud\""), "$.log_level: found \"loud\"");
  check_refused(replace_in_valid("\"name\":\"n1\",", ""), "$.name: missing");
  check_refused(replace_in_valid("\"n1\"", "\"n@1\""), "$.name: found \"n@1\"");
  check_refused(replace_in_valid("127.0.0.1:1", "localhost:1"),
                "$.listen.callers: found \"localhost:1\"");
  check_refused(replace_in_valid("127.0.0.1:5", "127.0.0.1"),
                "$.platform.store: found \"127.0.0.1\"");
  check_refused(replace_in_valid("[\"127.0.0.1:5\",\"127.0.0.1:6\"]", "[]"),
                "$.platform.store: at least one");
}

BOOST_AUTO_TEST_CASE(all_errors_are_reported_together) {
  std::string text = replace_in_valid("\"threads\":4", "\"threads\":0");
  text.replace(text.find("\"region\""), 8, "\"regoin\"");
  const auto read = parse_entry_settings(text, "n1.json");
  BOOST_REQUIRE(read.has_error());
  for (const char* part : {"$.threads", "$.region: missing", "$.regoin: unknown name"}) {
    BOOST_TEST(read.error().detail.find(part) != std::string::npos, part);
  }
}

BOOST_AUTO_TEST_CASE(a_missing_file_gives_not_found) {
  const auto read = read_entry_settings("/nonexistent/n1.json");
  BOOST_REQUIRE(read.has_error());
  BOOST_TEST((read.error().code == errc::not_found));
}

BOOST_AUTO_TEST_CASE(the_items_form_has_bounds_and_one_thread) {
  const std::string text = R"({"name":"a","cluster":"c","region":"r","domain":"d",
    "listen":{"callers":"1.1.1.1:1","operators":"1.1.1.1:3","peers":"1.1.1.1:4"},
    "platform":{"form":"items","store":["1.1.1.1:5"],
                "bounds":{"drain":"1.5s","apply":"2.5s","hold_max":"8000ms","retry_share":0.1,"cores":0.2,
                          "heartbeat":"870ms"}}})";
  const auto read = parse_entry_settings(text, "here");
  BOOST_REQUIRE_MESSAGE(read.has_value(), (read ? "" : to_string(read.error())));
  BOOST_TEST((read->form == platform_form::items));
  BOOST_TEST((read->bounds.drain == milliseconds(1500)));
  BOOST_TEST((read->bounds.apply == milliseconds(2500)));
  BOOST_TEST(read->bounds.cores == 0.2);
  BOOST_TEST((read->bounds.hold_max == seconds(8)));
  BOOST_TEST((read->bounds.heartbeat == milliseconds(870)));
  BOOST_TEST(read->bounds.retry_share == 0.1);
  BOOST_TEST(read->threads == 1U);
  BOOST_TEST(!read->contended);
  BOOST_TEST(!read->bounds.cold_overrun.has_value());
  BOOST_TEST(!read->bounds.evacuation.has_value());
  const auto check_replaced = [&](const std::string& from, const std::string& to,
                                  const std::string& where) {
    std::string changed = text;
    changed.replace(changed.find(from), from.size(), to);
    const auto refused = parse_entry_settings(changed, "here");
    BOOST_TEST_REQUIRE(!refused.has_value(), to);
    BOOST_TEST(refused.error().detail.find(where) != std::string::npos, refused.error().detail);
  };
  check_replaced("\"1.5s\"", "\"soon\"", "$.platform.bounds.drain: found \"soon\"");
  check_replaced("\"items\"", "\"files\"", "$.platform.form");
  check_replaced("0.1", "\"x\"", "$.platform.bounds.retry_share");
  check_replaced("\"8000ms\"", "\"1ms\"", "$.platform.bounds.hold_max");
}

// Guards against a feature that takes effect where the platform doesn't ask for it, or the reverse.
BOOST_AUTO_TEST_CASE(features_are_on_where_the_settings_ask_for_them) {
  const auto read = parse_entry_settings(R"({"name":"a","cluster":"c","region":"r","domain":"d",
    "listen":{"callers":"1.1.1.1:1","operators":"1.1.1.1:3","peers":"1.1.1.1:4"},
    "platform":{"form":"items","store":["1.1.1.1:5"],"contracts":["base","places"],
                "bounds":{"warmup_overrun":1.5,"warmup_slack":8,"evacuate":"5000ms"}}})",
                                         "here");
  BOOST_REQUIRE_MESSAGE(read.has_value(), (read ? "" : to_string(read.error())));
  BOOST_TEST(read->contended);
  BOOST_TEST(read->bounds.cold_overrun.value_or(0) == 1.5);
  BOOST_TEST(read->bounds.cold_slack == 8);
  BOOST_TEST((read->bounds.evacuation == seconds(5)));
}

BOOST_AUTO_TEST_SUITE_END()
