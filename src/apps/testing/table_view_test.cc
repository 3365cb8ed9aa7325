#include "apps/table_view.h"

#include <boost/test/unit_test.hpp>

#include "apps/sheet.h"

using namespace plantainpaddle;

namespace {

service_table one_desk() {
  service_table declared;
  declared.service.name.value = "counter-desk";
  declared.upstreams.push_back({.name = {"desk-1"}, .address = "127.0.0.1:1", .domain = {"n"}});
  return *accept_edits({}, diff_rows({}, declared), {.author = "ana", .at = seconds(0)});
}

instance_view answers(const std::string& name, std::uint64_t revision) {
  instance_status status;
  status.tables[{"counter-desk"}] = {revision};
  instance_view view;
  view.info.name = name;
  view.status = status;
  return view;
}

const row_id desk_1{row_kind::upstream, "desk-1"};

}  // namespace

BOOST_AUTO_TEST_SUITE(apps_table_view)

BOOST_AUTO_TEST_CASE(columns_are_aligned) {
  sheet lines({"A", "B"});
  lines.add({"longer", "1"});
  lines.add({"x"});
  BOOST_TEST(lines.text(" ") == " A       B\n longer  1\n x\n");
}

BOOST_AUTO_TEST_CASE(in_force_is_counted_by_row) {
  const auto first = one_desk();
  const auto changed = *accept_edits(
      first, {{desk_1, *with_column(*find_row(first, desk_1), "weight", "2")}}, {.author = "ben"});
  fleet_view fleet;
  fleet.instances = {answers("n1", 2), answers("s1", 1)};
  instance_view silent;
  silent.info.name = "w1";
  fleet.instances.push_back(silent);
  const auto text = show_tables({{changed.service.name, changed}}, fleet);
  BOOST_TEST(text.find("counter-desk: revision 2, in force on 1 of 3 instances; revision 1 on s1; "
                       "no answer from w1") != std::string::npos);
  BOOST_TEST(text.find("active  1/2") != std::string::npos);              // the upstream's row
  BOOST_TEST(text.find("in force            2/2") != std::string::npos);  // the service's
}

BOOST_AUTO_TEST_CASE(a_conflict_shows_both_values_and_who_wrote) {
  const auto base = one_desk();
  const auto row = *find_row(base, desk_1);
  const auto theirs = *accept_edits(base, {{desk_1, *with_column(row, "weight", "2")}},
                                    {.author = "ben", .at = seconds(60)});
  const auto merged = merge_edits(base, theirs, {{desk_1, *with_column(row, "weight", "3")}});
  BOOST_TEST(show_conflicts({"counter-desk"}, merged.conflicts) ==
             "conflict: counter-desk/upstream/desk-1\n"
             "  yours:  weight=3\n"
             "  theirs: weight=2 (by ben at revision 2, 1970-01-01T00:01:00Z)\n"
             "  before: weight=1\n");
}

BOOST_AUTO_TEST_CASE(edits_are_shown_by_column) {
  const auto base = one_desk();
  const auto row = *find_row(base, desk_1);
  BOOST_TEST(show_edits({"counter-desk"}, base, {{desk_1, *with_column(row, "weight", "0.5")}}) ==
             "~ counter-desk/upstream/desk-1  weight: 1 -> 0.5\n");
}

BOOST_AUTO_TEST_CASE(status_passes_over_what_it_does_not_know) {
  const auto status = parse_instance_status(
      R"({"instance":"n1@7","domain":"north","tables":{"a":3},"new":{"x":1},
          "cells":[{"cell":"a/north/0","term":2,"shards":{"desk-1":4,"nobody":1},"moves":2},7]})");
  BOOST_REQUIRE(status.has_value());
  BOOST_TEST(status->tables.at({"a"}).value == 3U);
  BOOST_REQUIRE(status->cells.size() == 1U);
  BOOST_TEST(status->cells[0].shards.at("nobody") == 1);
  BOOST_TEST(status->cells[0].moves == 2);
  BOOST_TEST(!status->cells[0].has_right.has_value());
  BOOST_TEST(parse_instance_status("{}").has_error());
  BOOST_TEST(parse_instance_status("[]").has_error());
}

BOOST_AUTO_TEST_SUITE_END()
