// The stored form of the range record, and changes of ownership that only raise fences.
#include "ownership/range_record.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

namespace plantainpaddle {

namespace {

const upstream_id a{"a"};
const upstream_id b{"b"};
const upstream_id c{"c"};

range_record two_owners() {
  auto record = make_range_record();
  move_range(record, 0, 32767, a);
  move_range(record, 32768, last_numbered_key, b);
  for (auto& entry : record.ranges) entry.former.clear();
  return record;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(range_records)

BOOST_AUTO_TEST_CASE(a_written_record_reads_back_equal) {
  auto record = two_owners();
  record.term = {7};
  record.assigner = {"e1@5"};
  record.address = "10.0.0.1:7200";
  record.mark = 12;
  move_range(record, 100, 200, b);
  record.lapsed = true;
  record.claims_from = {7};
  record.lives = {{a, 1777412201827}, {b, 3}};
  const auto read = parse_range_record(format_range_record(record));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((*read == record));
}

BOOST_AUTO_TEST_CASE(malformed_records_are_refused) {
  const std::string head =
      R"({"term":1,"assigner":"e","address":"","last_fence":5,"mark":0,"upstreams":["a"],"ranges":)";
  for (const auto* ranges :
       {"[]", "[[1,0,1]]", "[[0,0,1],[0,0,1]]", "[[0,0,6]]", "[[0,1,1]]", "[[0,0]]", "[[0,0,1,3]]",
        "[[0,-2,1]]", "[[0,0,-1]]", "[[0,0,1],[65536,0,1]]", "[[0,\"a\",1]]", "7"}) {
    BOOST_TEST(!parse_range_record(head + ranges + "}").has_value(), ranges);
  }
  BOOST_TEST(parse_range_record(head + "[[0,0,5],[9,-1,0]]}").has_value());
  for (const auto* lives : {"7", "[]", "{\"a\":\"x\"}", "{\"a\":-1}"}) {
    const auto text = head + "[[0,0,5]],\"lives\":" + lives + "}";
    BOOST_TEST(!parse_range_record(text).has_value(), lives);
  }
}

BOOST_AUTO_TEST_CASE(a_move_raises_the_fence_and_remembers_the_former_owner) {
  auto record = two_owners();
  const auto before = record.last_fence;
  move_range(record, 1000, 1999, b);
  const auto& moved = entry_of(record, 1500);
  BOOST_TEST(moved.first == 1000U);
  BOOST_TEST(moved.last == 1999U);
  BOOST_TEST((moved.owner == b));
  BOOST_TEST(moved.fence.value == (before.value / fence_block + 1) * fence_block);
  BOOST_TEST((moved.former == std::vector<upstream_id>{a}));
  BOOST_TEST((entry_of(record, 999).owner == a));
  BOOST_TEST((entry_of(record, 2000).owner == a));
  BOOST_TEST((entry_of(record, 2000).fence < moved.fence));
  move_range(record, 1000, 1999, c);
  BOOST_TEST((entry_of(record, 1500).former == std::vector<upstream_id>{a, b}));
  move_range(record, 1000, 1999, a);  // moved back: `a` is no longer a former owner
  BOOST_TEST((entry_of(record, 1500).former == std::vector<upstream_id>{b, c}));
}

BOOST_AUTO_TEST_CASE(a_takeover_gives_every_owner_new_fences) {
  auto record = two_owners();
  record.assigner = {"e1@1"};
  const auto taken = take_over(record, {"e2@9"}, "10.0.0.2:7200", 0);
  BOOST_TEST(taken.term.value == record.term.value + 1);
  BOOST_TEST((taken.assigner == instance_id{"e2@9"}));
  for (std::size_t i = 0; i < taken.ranges.size(); ++i) {
    BOOST_TEST((taken.ranges[i].owner == record.ranges[i].owner));
    BOOST_TEST((taken.ranges[i].fence > record.last_fence));
  }
}

// Compares move_range() and merge_ranges() with a map that has one entry per key.
BOOST_AUTO_TEST_CASE(moves_agree_with_a_map_of_single_keys) {
  std::mt19937 random(20261204);
  for (int round = 0; round < 200; ++round) {
    auto record = make_range_record();
    std::map<std::uint32_t, std::string> expected;
    for (std::uint32_t key = 0; key <= last_numbered_key; key += 97) expected[key] = "";
    for (int i = 0; i < 30; ++i) {
      std::uint32_t first = random() % (last_numbered_key + 1);
      std::uint32_t last = random() % (last_numbered_key + 1);
      if (first > last) std::swap(first, last);
      const std::string to(1, static_cast<char>('a' + random() % 5));
      move_range(record, first, last, {to});
      for (auto& [key, owner] : expected) {
        if (key >= first && key <= last) owner = to;
      }
      if (i % 3 == 0) merge_ranges(record);
    }
    for (const auto& [key, owner] : expected) {
      const auto& entry = entry_of(record, key);
      BOOST_TEST_REQUIRE(entry.first <= key);
      BOOST_TEST_REQUIRE(key <= entry.last);
      BOOST_TEST_REQUIRE(entry.owner.value_or(upstream_id{}).value == owner);
    }
    BOOST_TEST_REQUIRE(parse_range_record(format_range_record(record)).has_value());
  }
}

// Guards against records that are sent whole to all instances although a few ranges have changed.
BOOST_AUTO_TEST_CASE(a_delta_states_the_changes_and_nothing_else) {
  std::mt19937_64 random(5);
  const auto below = [&](std::uint32_t n) {
    return std::uniform_int_distribution<std::uint32_t>(0, n - 1)(random);
  };
  auto record = two_owners();
  for (int i = 0; i < 300; ++i) {
    const auto before = record;
    const std::uint32_t changes = below(4);
    for (std::uint32_t j = 0; j < changes; ++j) {
      const auto first = below(last_numbered_key);
      move_range(record, first, first + below(last_numbered_key + 1 - first),
                 std::vector<upstream_id>{a, b, c}[below(3)]);
    }
    if (below(2) == 0) {
      for (auto& entry : record.ranges) entry.former.clear();
      merge_ranges(record);
    }
    record.mark += 1;
    const std::vector<upstream_id> names{a, b, c};
    if (below(4) == 0) record.lives[names[below(3)]] = 1 + below(9);
    if (below(4) == 0) record.lives.erase(names[below(3)]);
    const auto delta = make_delta(before, record);
    const auto applied = apply_delta(before, delta);
    BOOST_TEST_REQUIRE(applied.has_value());
    BOOST_TEST((*applied == record));
    BOOST_TEST(delta.changes.lives.size() <= 2U);
    if (changes == 0 && before.ranges == record.ranges)
      BOOST_TEST(delta.changes.ranges.size() == 1U);
    // Other bounds than those of the record that it was made from are noticed.
    if (!delta.unchanged.empty() && before.ranges.size() > 1) {
      BOOST_TEST((!apply_delta(make_range_record(), delta) || delta.unchanged.size() == 1));
    }
  }
}

// Guards against two holders after a restore: an owner that has released its keys refuses the fence
// by which it is asked whether it has kept them, and one that was replaced without a release takes
// a fence above its successor's.
BOOST_AUTO_TEST_CASE(a_claim_is_above_fences_of_its_block_and_below_releases) {
  auto record = two_owners();
  const auto owned = record.ranges.front();
  const auto claim = claim_fence(record, owned);
  auto successor = owned.fence;
  int successors = 0;
  while (const auto next = next_in_block(successor)) {
    successor = *next;
    ++successors;
    BOOST_TEST(same_block(successor, owned.fence));
    BOOST_TEST((release_fence(successor) > claim));
  }
  BOOST_TEST(successors > 3);
  BOOST_TEST((claim > successor));
  move_range(record, 0, 99, b);
  BOOST_TEST((release_fence(record.ranges.front().fence) > claim));
  move_range(record, 200, 299, b, [](const auto&) { return true; });
  BOOST_TEST(same_block(entry_of(record, 200).fence, owned.fence));
  for (std::uint64_t era = 1; era < 4; ++era) {
    record.era = era;
    const auto before = claim_fence(record, owned);
    ++record.era;
    BOOST_TEST((claim_fence(record, owned) > before));
  }
}

BOOST_AUTO_TEST_CASE(a_takeover_keeps_fences_that_owners_may_be_asked_by) {
  auto record = two_owners();
  record.era = 1;
  const auto settled = take_over(record, {"e@1"}, "", 1);
  BOOST_TEST((settled.ranges.front().fence > record.last_fence));
  const auto restored = take_over(settled, {"e@2"}, "", 2);
  BOOST_TEST(restored.unsettled);
  BOOST_TEST((restored.ranges.front().fence == settled.ranges.front().fence));
  BOOST_TEST(is_inherited(restored, restored.ranges.front().fence));
  auto partly = restored;
  move_range(partly, 0, 99, b);
  const auto again = take_over(partly, {"e@3"}, "", 2);
  BOOST_TEST((entry_of(again, 50).fence > entry_of(partly, 50).fence));
  BOOST_TEST((entry_of(again, 5000).fence == entry_of(partly, 5000).fence));
  BOOST_TEST((again.claims_from == fence_number{}));
  const auto twice = take_over(again, {"e@3"}, "", 3);
  BOOST_TEST((twice.claims_from > entry_of(twice, 5000).fence));
  auto lapsed = settled;
  lapsed.lapsed = true;
  const auto after = take_over(lapsed, {"e@2"}, "", 1);
  BOOST_TEST((after.ranges.front().fence > settled.ranges.front().fence));
  BOOST_TEST(same_block(after.ranges.front().fence, settled.ranges.front().fence));
  BOOST_TEST((twice.claims_from <= entry_of(twice, 50).fence));
}

BOOST_AUTO_TEST_CASE(a_delta_of_another_record_is_refused) {
  auto before = two_owners();
  auto after = before;
  move_range(after, 1000, 1999, b);
  auto delta = make_delta(before, after);
  BOOST_TEST(!apply_delta(make_range_record(), delta).has_value());
  delta.unchanged.push_back(77);
  BOOST_TEST(!apply_delta(before, delta).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
