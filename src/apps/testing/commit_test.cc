#include "apps/commit.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <deque>

#include "table/parse.h"

using namespace plantainpaddle;

namespace {

// What goes wrong with one call.
enum class fault { none, lost_before, lost_after, late, read_fails, other_writes };

service_table one_desk() {
  service_table declared;
  declared.revision.value = 1;
  declared.service.name.value = "counter-desk";
  declared.upstreams.push_back({.name = {"desk-1"}, .address = "127.0.0.1:1", .domain = {"n"}});
  declared.upstreams.push_back({.name = {"desk-2"}, .address = "127.0.0.1:1", .domain = {"n"}});
  return declared;
}

const row_id desk_1{row_kind::upstream, "desk-1"};
const row_id desk_2{row_kind::upstream, "desk-2"};

row_edit weight(const service_table& seen, const row_id& row, const std::string& text) {
  return {row, *with_column(*find_row(seen, row), "weight", text)};
}

// A store of one value whose calls go wrong as listed.
struct faulty_store {
  service_table value = one_desk();
  std::uint64_t version = 10;
  std::deque<fault> faults;
  std::optional<std::pair<std::uint64_t, service_table>> late_write;
  row_id other_row = desk_2;
  int writes = 0;

  fault next() {
    if (faults.empty()) return fault::none;
    const fault f = faults.front();
    faults.pop_front();
    return f;
  }

  void put(std::uint64_t expected, service_table written) {
    if (expected != version) return;
    value = std::move(written);
    ++version;
    ++writes;
  }

  void write_as_other() {
    const auto text = std::to_string(value.revision.value + 10);
    value = *accept_edits(value, {weight(value, other_row, text)}, {.author = "other", .mark = 7});
    ++version;
  }

  table_access access() {
    const error lost{errc::timed_out, step::store, "", "lost"};
    table_access made;
    made.read = [this, lost](const service_id&) -> result<std::optional<stored_value>> {
      if (!faults.empty() && faults.front() == fault::read_fails) {
        faults.pop_front();
        return lost;
      }
      return std::optional<stored_value>({"", format_service_table(value), version});
    };
    made.swap = [this, lost](const service_id&, std::uint64_t expected,
                             const std::string& text) -> result<swap_answer> {
      const fault f = next();
      const auto written = *parse_service_table(text);
      if (f == fault::other_writes) write_as_other();
      if (f == fault::late) late_write = {{expected, written}};
      if (f == fault::late || f == fault::lost_before) return lost;
      const bool fits = expected == version;
      put(expected, written);
      if (f == fault::lost_after) return lost;
      return swap_answer{fits, version, {}};
    };
    made.pause = [this] {
      if (late_write) put(late_write->first, late_write->second);
      late_write.reset();
    };
    return made;
  }
};

proposal wanted_change() {
  const auto base = one_desk();
  return {{"counter-desk"}, base, {weight(base, desk_1, "5")}, {.author = "ana", .mark = 42}};
}

std::size_t notes_of_ana(const service_table& declared) {
  return static_cast<std::size_t>(
      std::count_if(declared.history.begin(), declared.history.end(),
                    [](const change_note& note) { return note.author == "ana"; }));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(apps_commit)

BOOST_AUTO_TEST_CASE(a_lost_answer_is_recognised_by_the_mark) {
  faulty_store store;
  store.faults = {fault::lost_after};
  const auto outcome = commit_edits(store.access(), wanted_change());
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST(outcome->changed);
  BOOST_TEST(store.writes == 1);
  BOOST_TEST(outcome->table.revision.value == 2U);
}

BOOST_AUTO_TEST_CASE(a_late_write_takes_effect_once) {
  faulty_store store;
  store.faults = {fault::late};
  const auto outcome = commit_edits(store.access(), wanted_change());
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST(outcome->changed);
  BOOST_TEST(notes_of_ana(store.value) == 1U);
}

BOOST_AUTO_TEST_CASE(another_row_written_in_between_is_kept) {
  faulty_store store;
  store.faults = {fault::other_writes};
  const auto outcome = commit_edits(store.access(), wanted_change());
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST(outcome->conflicts.empty());
  BOOST_TEST(store.value.revision.value == 3U);
  BOOST_TEST(store.value.upstreams[0].weight == 5);
  BOOST_TEST(store.value.upstreams[1].weight == 11);
}

BOOST_AUTO_TEST_CASE(the_same_row_written_in_between_is_a_conflict) {
  faulty_store store;
  store.faults = {fault::other_writes};
  store.other_row = desk_1;
  const auto outcome = commit_edits(store.access(), wanted_change());
  BOOST_REQUIRE(outcome.has_value());
  BOOST_TEST(!outcome->changed);
  BOOST_REQUIRE(outcome->conflicts.size() == 1U);
  BOOST_TEST(outcome->conflicts[0].author == "other");
  BOOST_TEST(store.value.upstreams[0].weight == 11);
}

BOOST_AUTO_TEST_CASE(a_store_that_stays_silent_leaves_the_outcome_open) {
  faulty_store store;
  store.faults.assign(100, fault::lost_before);
  const auto outcome = commit_edits(store.access(), wanted_change());
  BOOST_REQUIRE(outcome.has_error());
  BOOST_TEST((outcome.error().code == errc::timed_out));
  BOOST_TEST(outcome.error().detail.find("unknown") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(any_faults_write_once_or_say_so) {
  const bool passed = rc::check("written once, in conflict, or unknown", [] {
    faulty_store store;
    for (const int f : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6))) {
      store.faults.push_back(static_cast<fault>(f));
    }
    if (*rc::gen::arbitrary<bool>()) store.other_row = desk_1;
    const auto access = store.access();
    const auto outcome = commit_edits(access, wanted_change());
    access.pause();  // what is still under way arrives
    const std::size_t notes = notes_of_ana(store.value);
    RC_ASSERT(notes <= 1U);
    if (!outcome) {
      RC_ASSERT(store.faults.size() < 100U);
    } else if (outcome->conflicts.empty()) {
      RC_ASSERT(outcome->changed);
      RC_ASSERT(notes == 1U);
    } else {
      RC_ASSERT(notes == 0U);
    }
    std::uint64_t last = 1;
    for (const auto& note : store.value.history) {
      RC_ASSERT(note.revision.value == last + 1);
      last = note.revision.value;
    }
  });
  BOOST_TEST(passed);
}

BOOST_AUTO_TEST_SUITE_END()
