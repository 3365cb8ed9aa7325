// What operators see of the platform's store: one table, and what is wrong first.
#include "apps/registry_view.h"

#include <boost/test/unit_test.hpp>

#include "entry/news_messages.h"
#include "ownership/store_keys.h"
#include "platform/testing/server_codec.h"

using namespace plantainpaddle;

namespace {

struct store_items {
  range_answer items;

  void add(std::string key, std::string value) {
    items.values.push_back({std::move(key), std::move(value), 1});
  }
  void add_upstream(const std::string& id, bool leaving = false) {
    add(std::string(upstream_key_prefix) + id, format_registered_upstream({.id = {id},
                                                                           .service = {"desk"},
                                                                           .address = "10.0.0.1:80",
                                                                           .domain = {"north"},
                                                                           .slots = 6,
                                                                           .leaving = leaving,
                                                                           .life = 7},
                                                                          1));
  }
  // Two upstreams, of which u1 has the upper half of the keys.
  store_items() {
    desired_state desired;
    desired.version = 5;
    desired.services = {{{"desk"}, 130, true, ""}, {{"room"}, 90, false, ""}};
    declared_route route{.row = {.name = "r", .host = "h.example", .path_prefix = "/x/"},
                         .policy = {1, milliseconds(300), 2},
                         .targets = {{service_id{"desk"}, 3}, {service_id{"room"}, 1}}};
    route.row.idempotent = true;
    desired.routes = {route};
    add(std::string(desired_state_key), format_desired_state(desired));
    add_upstream("u0");
    add_upstream("u1");
    range_record record = make_range_record();
    move_range(record, 0, last_numbered_key, {"u0"});
    move_range(record, 32768, last_numbered_key, {"u1"});
    record.ranges[1].former.clear();
    add(record_key({"desk"}), format_range_record(record));
    add(assigner_key({"desk"}), "e0@1");
    add(instance_key("e0"), format_registration({"e0", "10.0.0.5:7200", {"d1"}, 0.2}));
  }
  registry_state state() const {
    auto read = read_registry(items);
    BOOST_REQUIRE_MESSAGE(read.has_value(), (read ? "" : to_string(read.error())));
    for (auto& instance : read->instances) instance.version = 5;
    return *read;
  }
};

bool has(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

bool finds(const registry_state& state, fault what) {
  const auto found = find_registry_faults(state);
  return std::any_of(found.begin(), found.end(), [&](const auto& f) { return f.what == what; });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(registry_views)

BOOST_AUTO_TEST_CASE(limits_and_keys_of_an_upstream_stand_in_one_row) {
  const auto text = show_registry(store_items().state(), "");
  BOOST_REQUIRE(text.has_value());
  BOOST_TEST(has(*text, "version 5, in force on 1 of 1 instances"));
  BOOST_TEST(has(*text, "desk, divided by key"));
  const auto row = text->substr(text->find("  u1 "), 90);
  for (const auto* cell : {"north", "10.0.0.1:80", " 6 ", " 130 ", "ready", "32768", "50 %"}) {
    BOOST_TEST(has(row, cell), row);
  }
  BOOST_TEST(has(*text, "32768-65535"));
  BOOST_TEST(has(*text, "75 %"));  // of the route's requests
  BOOST_TEST(has(*show_registry(store_items().state(), "room"), "25 %"));
  const auto none = show_registry(store_items().state(), "nope");
  BOOST_REQUIRE(!none.has_value());
  BOOST_TEST(has(none.error().detail, "desk room"));
}

BOOST_AUTO_TEST_CASE(a_service_without_upstreams_is_the_only_fault) {
  const auto found = find_registry_faults(store_items().state());
  BOOST_REQUIRE(found.size() == 1U);
  BOOST_TEST((found[0].what == fault::no_active_upstream));
  BOOST_TEST(found[0].subject == "room");
}

BOOST_AUTO_TEST_CASE(what_is_wrong_is_found) {
  store_items moving;
  range_record record = make_range_record();
  move_range(record, 0, last_numbered_key, {"u0"});
  move_range(record, 0, 99, {"u1"});
  move_range(record, 100, 199, {"gone"});
  moving.add(record_key({"desk"}), format_range_record(record));
  BOOST_TEST(finds(moving.state(), fault::moves_under_way));
  BOOST_TEST(finds(moving.state(), fault::shards_without_owner));

  store_items leaving;
  leaving.add_upstream("u2", true);
  leaving.add("servers/u3", "{");
  leaving.items.unreadable.push_back("servers/u4");
  BOOST_TEST(finds(leaving.state(), fault::drain_under_way));
  BOOST_TEST(leaving.state().unreadable.size() == 2U);
  BOOST_TEST(finds(leaving.state(), fault::store_unreadable));

  auto behind = store_items().state();
  behind.instances[0].version = 4;
  BOOST_TEST(finds(behind, fault::table_behind));
  behind.instances[0].version.reset();
  BOOST_TEST(finds(behind, fault::instance_silent));
  behind.assigned.clear();
  BOOST_TEST(finds(behind, fault::cell_without_assigner));
  BOOST_TEST(has(show_registry_status(behind), "silent"));
}

// Guards against an operator who can't see that a domain gets no requests, and why.
BOOST_AUTO_TEST_CASE(evacuated_domains_are_shown) {
  store_items items;
  items.add("op/evacuate/north", "{}");
  items.add("op/evacuate/elsewhere", "{}");
  const auto state = items.state();
  const auto text = show_registry_status(state);
  BOOST_TEST(has(text, "failure domain north is evacuated, with 2 upstreams"));
  BOOST_TEST(has(text, "failure domain elsewhere is evacuated, with 0 upstreams"));
  const auto table = show_registry(state, "desk");
  BOOST_REQUIRE(table.has_value());
  BOOST_TEST(has(table->substr(table->find("  u1 "), 90), "evacuated"));
  const auto found = find_registry_faults(state);
  BOOST_TEST((found[0].what == fault::no_active_upstream));  // of desk, whose upstreams are there
}

BOOST_AUTO_TEST_CASE(without_a_desired_state_nothing_is_shown) {
  BOOST_TEST(!read_registry({}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
