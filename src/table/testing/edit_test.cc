#include "table/edit.h"

#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "table/parse.h"

using namespace plantainpaddle;

namespace {

service_table two_desks() {
  service_table declared;
  declared.revision.value = 1;
  declared.service.name.value = "counter-desk";
  for (const char* name : {"desk-1", "desk-2"}) {
    declared.upstreams.push_back({.name = {name}, .address = "127.0.0.1:1", .domain = {"north"}});
  }
  return declared;
}

row_id desk(int number) { return {row_kind::upstream, "desk-" + std::to_string(number)}; }

row_edit weight_edit(const service_table& seen, const row_id& row, const std::string& weight) {
  return {row, *with_column(*find_row(seen, row), "weight", weight)};
}

service_table accepted(const service_table& current, const std::vector<row_edit>& edits,
                       const std::string& author) {
  return *accept_edits(current, edits, {.author = author, .at = seconds(1)});
}

// One operator's wish on one of four rows: a weight, or 0 to remove the row.
struct wish {
  int row = 0;
  int weight = 0;
};

std::vector<row_edit> edits_of(const service_table& seen, const std::vector<wish>& wishes) {
  service_table wanted = seen;
  for (const auto& w : wishes) {
    const std::string name = desk(w.row).name;
    std::erase_if(wanted.upstreams, [&](const auto& row) { return row.name.value == name; });
    if (w.weight == 0) continue;
    wanted.upstreams.push_back({.name = {name},
                                .address = "127.0.0.1:1",
                                .domain = {"north"},
                                .weight = static_cast<double>(w.weight)});
  }
  return diff_rows(seen, wanted);
}

std::vector<wish> any_wishes() {
  const auto made = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(1, 5), rc::gen::inRange(0, 4)));
  std::vector<wish> wishes;
  wishes.reserve(made.size());
  for (const auto& [row, weight] : made) wishes.push_back({row, weight});
  return wishes;
}

// The naive merge: looks at each of the rows by hand, one after the other.
std::size_t naive_conflicts(const service_table& base, const service_table& current,
                            const std::vector<row_edit>& edits) {
  std::size_t conflicts = 0;
  for (const auto& edit : edits) {
    const auto was = find_row(base, edit.row);
    const auto is = find_row(current, edit.row);
    if (is != was && is != edit.after) ++conflicts;
  }
  return conflicts;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(table_edit)

BOOST_AUTO_TEST_CASE(edits_of_different_rows_merge) {
  const auto base = two_desks();
  const auto theirs = accepted(base, {weight_edit(base, desk(1), "2")}, "ana");
  const auto merged = merge_edits(base, theirs, {weight_edit(base, desk(2), "3")});
  BOOST_TEST(merged.conflicts.empty());
  const auto next = accepted(theirs, merged.edits, "ben");
  BOOST_TEST(next.revision.value == 3U);
  BOOST_TEST(next.upstreams[0].weight == 2);
  BOOST_TEST(next.upstreams[1].weight == 3);
  BOOST_TEST(next.history.back().author == "ben");
  BOOST_TEST(next.history.back().summary == "upstream/desk-2");
}

BOOST_AUTO_TEST_CASE(edits_of_one_row_conflict_with_both_values_and_the_author) {
  const auto base = two_desks();
  const auto theirs = accepted(base, {weight_edit(base, desk(1), "2")}, "ana");
  const auto merged = merge_edits(base, theirs, {weight_edit(base, desk(1), "3")});
  BOOST_TEST(merged.edits.empty());
  BOOST_REQUIRE(merged.conflicts.size() == 1U);
  const auto& conflict = merged.conflicts[0];
  BOOST_TEST(std::get<upstream_row>(*conflict.mine).weight == 3);
  BOOST_TEST(std::get<upstream_row>(*conflict.theirs).weight == 2);
  BOOST_TEST(std::get<upstream_row>(*conflict.base).weight == 1);
  BOOST_TEST(conflict.author == "ana");
  BOOST_TEST(conflict.revision.value == 2U);
}

BOOST_AUTO_TEST_CASE(the_same_edit_twice_is_no_conflict) {
  const auto base = two_desks();
  const auto edit = weight_edit(base, desk(1), "2");
  const auto theirs = accepted(base, {edit}, "ana");
  const auto merged = merge_edits(base, theirs, {edit});
  BOOST_TEST(merged.edits.empty());
  BOOST_TEST(merged.conflicts.empty());
}

BOOST_AUTO_TEST_CASE(a_removed_row_conflicts_with_its_edit) {
  const auto base = two_desks();
  const auto theirs = accepted(base, {{desk(1), std::nullopt}}, "ana");
  const auto merged = merge_edits(base, theirs, {weight_edit(base, desk(1), "3")});
  BOOST_REQUIRE(merged.conflicts.size() == 1U);
  BOOST_TEST(!merged.conflicts[0].theirs.has_value());
}

BOOST_AUTO_TEST_CASE(cells_are_checked_like_the_file) {
  const auto row = *find_row(two_desks(), desk(1));
  const auto unknown = with_column(row, "wieght", "2");
  BOOST_REQUIRE(unknown.has_error());
  BOOST_TEST(unknown.error().detail.find("weight, slots") != std::string::npos);
  for (const auto& [column, text] : {std::pair{"weight", "heavy"},
                                     {"weight", "-1"},
                                     {"slots", "1.5"},
                                     {"state", "gone"},
                                     {"name", "x"}}) {
    BOOST_TEST(with_column(row, column, text).has_error(), column << " " << text);
  }
  BOOST_TEST(
      (std::get<upstream_row>(*with_column(row, "state", "drain")).state == upstream_state::drain));
}

BOOST_AUTO_TEST_CASE(cells_that_hang_together_are_checked_together) {
  const row_value route = route_row{.name = "stock", .path_prefix = "/"};
  BOOST_TEST(with_column(route, "key_from", "header").has_error());
  BOOST_TEST(with_columns(route, {{"key_from", "header"}, {"key_name", "Dealer"}}).has_value());
  BOOST_TEST(with_columns(route, {{"once", "true"}, {"idempotent", "true"}}).has_error());
}

BOOST_AUTO_TEST_CASE(shards_and_the_service_row_are_fixed) {
  const auto base = two_desks();
  const auto service = *find_row(base, {row_kind::service, "counter-desk"});
  const row_edit shards{id_of(service), *with_column(service, "shards", "512")};
  BOOST_TEST(accept_edits(base, {shards}, {.author = "ana"}).has_error());
  BOOST_TEST(accept_edits(base, {{id_of(service), std::nullopt}}, {.author = "ana"}).has_error());
}

BOOST_AUTO_TEST_CASE(history_is_bounded_and_what_it_lost_is_stale) {
  auto current = two_desks();
  for (std::size_t i = 0; i < max_history + 5; ++i) {
    current = accepted(current, {weight_edit(current, desk(1), std::to_string(2 + i % 2))}, "ana");
  }
  BOOST_TEST(current.history.size() == max_history);
  const auto reach = revision_number{current.revision.value - max_history};
  BOOST_TEST(table_at(current, reach).has_value());
  const auto older = table_at(current, revision_number{reach.value - 1});
  BOOST_REQUIRE(older.has_error());
  BOOST_TEST((older.error().code == errc::stale));
  BOOST_TEST(table_at(current, revision_number{current.revision.value + 1}).has_error());
}

BOOST_AUTO_TEST_CASE(a_change_too_large_to_note_loses_only_its_undo) {
  service_table declared = two_desks();
  std::vector<row_edit> edits;
  for (int i = 0; i < 2000; ++i) {
    upstream_row row{.name = {"u" + std::to_string(i)}, .address = "1.1.1.1:1", .domain = {"d"}};
    row.weight = 1;
    edits.push_back({{row_kind::upstream, row.name.value}, row});
  }
  declared = accepted(declared, edits, "ana");
  for (auto& edit : edits) edit.after = std::nullopt;
  declared = accepted(declared, edits, "ben");
  BOOST_TEST(declared.upstreams.size() == 2U);
  BOOST_TEST(declared.history.size() == 1U);
  BOOST_TEST(declared.history[0].author == "ben");
  BOOST_TEST(table_at(declared, {2}).has_error());
}

BOOST_AUTO_TEST_CASE(undoing_finds_every_earlier_revision) {
  const bool passed = rc::check("table_at gives what was accepted", [] {
    std::vector<service_table> all{two_desks()};
    const auto rounds = *rc::gen::inRange(1, 8);
    for (int i = 0; i < rounds; ++i) {
      const auto edits = edits_of(all.back(), any_wishes());
      auto next = accepted(all.back(), edits, "ana");
      RC_ASSERT(next.revision.value == all.back().revision.value + (edits.empty() ? 0 : 1));
      if (!edits.empty()) all.push_back(std::move(next));
    }
    for (const auto& earlier : all) {
      const auto undone = table_at(all.back(), earlier.revision);
      RC_ASSERT(undone.has_value());
      RC_ASSERT(rows_of(*undone) == rows_of(earlier));
      RC_ASSERT(undone->history == earlier.history);
    }
  });
  BOOST_TEST(passed);
}

// Each edit of either operator, however their reads and writes interleave, is in the table after
// its write or reported to its editor.
BOOST_AUTO_TEST_CASE(no_interleaving_loses_an_edit) {
  const bool passed = rc::check("merged or reported", [] {
    service_table store = two_desks();
    std::map<int, service_table> seen{{0, store}, {1, store}};
    const auto steps = *rc::gen::container<std::vector<std::pair<int, bool>>>(
        rc::gen::pair(rc::gen::inRange(0, 2), rc::gen::arbitrary<bool>()));
    for (const auto& [who, writes] : steps) {
      if (!writes) {
        seen[who] = store;
        continue;
      }
      const auto edits = edits_of(seen[who], any_wishes());
      const auto base = table_at(store, seen[who].revision);
      RC_ASSERT(base.has_value());
      RC_ASSERT(rows_of(*base) == rows_of(seen[who]));
      const auto merged = merge_edits(*base, store, edits);
      RC_ASSERT(merged.conflicts.size() == naive_conflicts(seen[who], store, edits));
      const auto before = store;
      store = accepted(store, merged.edits, std::to_string(who));
      RC_ASSERT(store.revision >= before.revision);
      for (const auto& edit : edits) {
        const auto reported = std::any_of(merged.conflicts.begin(), merged.conflicts.end(),
                                          [&](const row_conflict& c) { return c.row == edit.row; });
        const auto expected = reported ? find_row(before, edit.row) : edit.after;
        RC_ASSERT((find_row(store, edit.row) == expected));
      }
      // Rows that nobody edited stay as they are.
      for (const auto& [id, row] : rows_of(before)) {
        const bool edited = std::any_of(edits.begin(), edits.end(),
                                        [&id = id](const row_edit& e) { return e.row == id; });
        RC_ASSERT((edited || find_row(store, id) == row));
      }
      seen[who] = store;
    }
  });
  BOOST_TEST(passed);
}

BOOST_AUTO_TEST_SUITE_END()
