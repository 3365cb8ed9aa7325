// Feeds the range assigner single events and checks which orders it issues and which it withholds.
// range_fuzz runs it in a simulated cluster.
#include "ownership/range_assigner.h"

#include <boost/test/unit_test.hpp>

#include "ownership/candidacy.h"
#include "ownership/testing/range_model.h"

namespace plantainpaddle {

namespace {

monotonic_time at(std::int64_t ms) { return monotonic_time(milliseconds(1'000'000 + ms)); }

const upstream_id a{"a"};
const upstream_id b{"b"};

template <class Order>
std::vector<Order> only(const std::vector<range_order>& orders) {
  std::vector<Order> found;
  for (const auto& order : orders) {
    if (const auto* one = std::get_if<Order>(&order)) found.push_back(*one);
  }
  return found;
}

using range_action::grant;
using range_action::release;
using range_action::write;

// An assigner whose service has two linked upstreams, of which `a` owns all keys.
struct one_owner {
  range_assigner assigner{{}};
  key_load load{seconds(2)};

  explicit one_owner(range_predecessor predecessor = {}) {
    auto record = make_range_record();
    move_range(record, 0, last_numbered_key, a);
    record.assigner = {"e@1"};
    assigner.start(record, 10, predecessor, at(0));
    assigner.set_upstreams({{a, 6}, {b, 6}}, at(0));
    assigner.on_link(a, 1, at(0));
    assigner.on_link(b, 2, at(0));
    assigner.confirm(at(1));
  }

  // Lets `a` leave and reports the write that moves all keys to `b` as done.
  void move_to_b(std::int64_t ms) {
    assigner.set_upstreams({{a, 6, false}, {b, 6}}, at(ms));
    const auto writes = only<write>(assigner.tick(load, at(ms)));
    BOOST_TEST_REQUIRE(writes.size() == 1U);
    assigner.on_written(11, at(ms + 1));
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(range_assigners)

BOOST_AUTO_TEST_CASE(grants_and_renews) {
  one_owner world;
  const range_timing timing;
  const auto first = only<grant>(world.assigner.tick(world.load, at(2)));
  BOOST_TEST_REQUIRE(first.size() == 1U);
  BOOST_TEST((first[0].upstream == a));
  BOOST_TEST((first[0].hold == timing.hold));
  BOOST_TEST(only<grant>(world.assigner.tick(world.load, at(10))).empty());  // one at a time
  world.assigner.on_granted(first[0], at(11));
  BOOST_TEST(only<grant>(world.assigner.tick(world.load, at(20))).empty());
  const auto renewal = only<grant>(world.assigner.tick(world.load, at(2) + timing.renew));
  BOOST_TEST_REQUIRE(renewal.size() == 1U);
  BOOST_TEST((renewal[0].fence == first[0].fence));
}

BOOST_AUTO_TEST_CASE(moves_only_after_the_record_and_the_release) {
  one_owner world;
  world.assigner.on_granted(only<grant>(world.assigner.tick(world.load, at(2)))[0], at(3));
  world.assigner.set_upstreams({{a, 6, false}, {b, 6}}, at(10));
  const auto orders = world.assigner.tick(world.load, at(10));
  BOOST_TEST(only<write>(orders).size() == 1U);
  BOOST_TEST(only<release>(orders).empty());
  BOOST_TEST(only<grant>(orders).empty());
  world.assigner.on_written(11, at(12));
  const auto after = world.assigner.tick(world.load, at(12));
  const auto releases = only<release>(after);
  BOOST_TEST_REQUIRE(!releases.empty());
  BOOST_TEST(only<grant>(after).empty());
  const auto& entry = world.assigner.record().ranges.front();
  BOOST_TEST(
      (releases[0].fence == entry.fence));  // the new owner's, so that late renewals are refused
  world.assigner.on_released(releases[0], "token", at(20));
  const auto granted = only<grant>(world.assigner.tick(world.load, at(20)));
  BOOST_TEST_REQUIRE(!granted.empty());
  BOOST_TEST((granted[0].upstream == b));
  BOOST_TEST(granted[0].handover == "token");
}

// Guards against keys that wait for the end of grants to an upstream that has ended.
BOOST_AUTO_TEST_CASE(the_keys_of_an_upstream_that_has_ended_are_granted_to_another_one) {
  one_owner world;
  world.assigner.on_granted(only<grant>(world.assigner.tick(world.load, at(2)))[0], at(3));
  world.assigner.on_link(a, 0, at(200));
  world.assigner.on_displaced(a, true, at(210));
  const auto orders = world.assigner.tick(world.load, at(211));
  BOOST_TEST(only<write>(orders).size() == 1U);
  world.assigner.on_written(11, at(215));
  const auto after = world.assigner.tick(world.load, at(216));
  BOOST_TEST(only<release>(after).empty());
  const auto granted = only<grant>(after);
  BOOST_TEST_REQUIRE(!granted.empty());
  BOOST_TEST((granted[0].upstream == b));
}

// Guards against an end that is reported by a connection from before the present link.
BOOST_AUTO_TEST_CASE(an_upstream_with_a_link_has_not_ended) {
  one_owner world;
  world.assigner.on_granted(only<grant>(world.assigner.tick(world.load, at(2)))[0], at(3));
  world.assigner.on_displaced(a, true, at(9));
  world.move_to_b(10);
  const auto orders = world.assigner.tick(world.load, at(12));
  BOOST_TEST(!only<release>(orders).empty());
  BOOST_TEST(only<grant>(orders).empty());
}

// Guards against moves away from upstreams that accept connections late because they are full.
BOOST_AUTO_TEST_CASE(an_upstream_stays_usable_while_its_address_accepts_connections) {
  one_owner world;
  const range_timing timing;
  world.assigner.on_granted(only<grant>(world.assigner.tick(world.load, at(2)))[0], at(3));
  world.assigner.on_link(a, 0, at(10));
  const auto late = at(10) + timing.suspect_after;
  world.assigner.on_reached(a, late - milliseconds(1));
  world.assigner.confirm(late);
  BOOST_TEST(only<write>(world.assigner.tick(world.load, late + milliseconds(1))).empty());
  const auto silent = late + timing.suspect_after;
  BOOST_TEST(only<write>(world.assigner.tick(world.load, silent)).size() == 1U);
}

// Guards against keys that are moved to an upstream whose address another one has.
BOOST_AUTO_TEST_CASE(an_upstream_that_could_not_be_reached_gets_no_keys_before_it_has_a_link) {
  one_owner world;
  const range_timing timing;
  world.assigner.on_granted(only<grant>(world.assigner.tick(world.load, at(2)))[0], at(3));
  world.assigner.on_link(b, 0, at(10));
  const auto late = at(10) + timing.suspect_after;
  world.assigner.on_reached(b, late);
  world.assigner.set_upstreams({{a, 6, false}, {b, 6}}, late);
  world.assigner.confirm(late);
  BOOST_TEST(only<write>(world.assigner.tick(world.load, late)).empty());
}

// Guards against keys that wait for an upstream whose address another one has, and against their
// grant to another one while it may hold them.
BOOST_AUTO_TEST_CASE(the_keys_of_a_displaced_upstream_are_moved_and_wait_for_its_grant) {
  one_owner world;
  world.assigner.on_granted(only<grant>(world.assigner.tick(world.load, at(2)))[0], at(3));
  world.assigner.on_link(a, 0, at(200));
  world.assigner.on_displaced(a, false, at(210));
  BOOST_TEST(only<write>(world.assigner.tick(world.load, at(211))).size() == 1U);
  world.assigner.on_written(11, at(215));
  const auto after = world.assigner.tick(world.load, at(216));
  BOOST_TEST(!only<release>(after).empty());
  BOOST_TEST(only<grant>(after).empty());
}

// Guards against an assigner that looks through all ranges and keys for changes after each answer
// of an upstream, until it has no time left to read the store.
BOOST_AUTO_TEST_CASE(answers_of_upstreams_do_not_make_it_look_for_changes_to_the_record) {
  one_owner world;
  const range_timing timing;
  world.move_to_b(10);
  const auto staged = at(10);
  world.assigner.on_released(only<release>(world.assigner.tick(world.load, at(11)))[0], "", at(12));
  const auto granted = only<grant>(world.assigner.tick(world.load, at(12)));
  BOOST_TEST_REQUIRE(!granted.empty());
  // The record could now lose its former owner.
  world.assigner.on_granted(granted[0], at(13));
  BOOST_TEST(only<write>(world.assigner.tick(world.load, at(13))).empty());
  const auto due = staged + timing.stage_period;
  BOOST_TEST(only<write>(world.assigner.tick(world.load, due - milliseconds(1))).empty());
  BOOST_TEST(only<write>(world.assigner.tick(world.load, due)).size() == 1U);
}

// Guards against a release that is sent again with each write of the record, whatever it changes.
BOOST_AUTO_TEST_CASE(a_release_under_way_is_not_sent_again_after_another_write) {
  const upstream_id c{"c"};
  auto record = make_range_record();
  move_range(record, 0, last_numbered_key, a);
  move_range(record, 0, 999, c);
  record.ranges.front().former.clear();
  record.assigner = {"e@1"};
  range_assigner assigner{{}};
  key_load load{seconds(2)};
  assigner.start(record, 10, {.exists = true}, at(0));
  assigner.set_upstreams({{a, 6, false}, {b, 6}, {c, 6, false}}, at(0));
  assigner.on_link(b, 2, at(0));
  assigner.confirm(at(1));
  BOOST_TEST_REQUIRE(only<write>(assigner.tick(load, at(2))).size() == 1U);
  assigner.on_written(11, at(3));
  const auto releases = only<release>(assigner.tick(load, at(3)));
  BOOST_TEST_REQUIRE(releases.size() >= 2U);
  assigner.on_released(releases[0], "", at(4));
  const auto granted = only<grant>(assigner.tick(load, at(4)));
  BOOST_TEST_REQUIRE(granted.size() == 1U);
  assigner.on_granted(granted[0], at(5));
  // The range that has moved loses its former owner; the other one waits for its release.
  const auto orders = assigner.tick(load, at(200));
  BOOST_TEST_REQUIRE(only<write>(orders).size() == 1U);
  assigner.on_written(12, at(201));
  BOOST_TEST(only<release>(assigner.tick(load, at(201))).empty());
}

// Two ranges were merged while the grant of the first was unanswered. Its answer was attributed to
// another range, and the merged range was never renewed again. The store failure test found this.
BOOST_AUTO_TEST_CASE(ranges_that_are_joined_while_a_grant_is_under_way_are_renewed) {
  auto record = make_range_record();
  move_range(record, 0, last_numbered_key, a);
  record.assigner = {"e@1"};
  record.ranges.push_back(record.ranges[0]);
  record.ranges[0].last = 99;
  record.ranges[1].first = 100;
  range_assigner assigner{{}};
  key_load load{seconds(2)};
  assigner.start(record, 10, {}, at(0));
  assigner.set_upstreams({{a, 6}}, at(0));
  assigner.on_link(a, 1, at(0));
  assigner.confirm(at(1));
  const auto orders = assigner.tick(load, at(2));
  BOOST_TEST_REQUIRE(only<write>(orders).size() == 1U);  // merges them
  const auto first = only<grant>(orders);
  BOOST_TEST_REQUIRE(first.size() == 1U);
  BOOST_TEST(first[0].last == 99U);
  assigner.on_written(11, at(3));
  assigner.on_granted(first[0], at(4));
  const auto joined = only<grant>(assigner.tick(load, at(5)));
  BOOST_TEST_REQUIRE(joined.size() == 1U);
  BOOST_TEST(joined[0].first == 0U);
  BOOST_TEST(joined[0].last == last_numbered_key);
}

BOOST_AUTO_TEST_CASE(an_unreachable_owners_grant_expires_before_the_next_grant) {
  one_owner world;
  const range_timing timing;
  world.assigner.on_granted(only<grant>(world.assigner.tick(world.load, at(2)))[0], at(3));
  world.assigner.on_link(a, 0, at(100));
  world.move_to_b(200);
  const auto expired = at(2) + longest_hold(timing, timing.hold);
  world.assigner.tick(world.load, at(202));
  world.assigner.confirm(expired - milliseconds(10));
  BOOST_TEST(only<grant>(world.assigner.tick(world.load, expired - milliseconds(1))).empty());
  BOOST_TEST(!only<grant>(world.assigner.tick(world.load, expired)).empty());
}

BOOST_AUTO_TEST_CASE(a_predecessors_grants_expire_before_the_next_grant) {
  const range_timing timing;
  one_owner world({.exists = true, .relinquished = false});
  world.assigner.on_link(a, 0, at(1));  // it never answered this assigner
  world.move_to_b(50);
  const auto expired = at(0) + timing.proof_validity + longest_hold(timing, timing.outage_hold);
  for (auto now = at(100); now < expired; now += milliseconds(100)) {
    world.assigner.confirm(now);
    BOOST_TEST_REQUIRE(only<grant>(world.assigner.tick(world.load, now)).empty());
  }
  world.assigner.confirm(expired);
  BOOST_TEST(!only<grant>(world.assigner.tick(world.load, expired)).empty());
}

// If an assigner relinquishes leadership shortly before an upstream is lost, its successor waits no
// longer for the upstream than it would have waited itself.
// Guards against two owners: a range that goes to another upstream and back before its owner
// released it, and away once more, waits for the grant that the owner had at first.
BOOST_AUTO_TEST_CASE(a_range_that_came_back_to_an_owner_that_holds_it_is_still_waited_for) {
  one_owner world;
  const range_timing timing;
  world.assigner.on_granted(only<grant>(world.assigner.tick(world.load, at(2)))[0], at(3));
  const std::vector<range_upstream> listed[] = {
      {{a, 6, false}, {b, 6}}, {{a, 6}, {b, 6, false}}, {{a, 6, false}, {b, 6}}};
  std::int64_t ms = 10;
  for (const auto& upstreams : listed) {
    world.assigner.set_upstreams(upstreams, at(ms));
    const auto orders = world.assigner.tick(world.load, at(ms));
    BOOST_TEST_REQUIRE(only<write>(orders).size() == 1U);
    for (const auto& order : only<release>(orders)) world.assigner.on_release_failed(order, at(ms));
    world.assigner.on_written(static_cast<std::uint64_t>(ms), at(ms + 1));
    ms += 110;
  }
  const auto held_until = at(2) + longest_hold(timing, timing.hold);
  world.assigner.confirm(held_until - milliseconds(300));
  const auto asked = world.assigner.tick(world.load, held_until - milliseconds(300));
  BOOST_TEST(only<grant>(asked).empty());
  for (const auto& order : only<release>(asked))
    world.assigner.on_release_failed(order, held_until - milliseconds(200));
  // The keys are going to lapse, which the fence says.
  const auto writes = only<write>(world.assigner.tick(world.load, held_until - milliseconds(100)));
  BOOST_TEST_REQUIRE(writes.size() == 1U);
  world.assigner.on_written(500, held_until - milliseconds(90));
  BOOST_TEST(only<grant>(world.assigner.tick(world.load, held_until - milliseconds(10))).empty());
  world.assigner.confirm(held_until);
  const auto after = only<grant>(world.assigner.tick(world.load, held_until + milliseconds(10)));
  BOOST_TEST_REQUIRE(after.size() == 1U);
  BOOST_TEST((after[0].upstream == b));
}

// Guards against two owners after the store has come back from an older copy: the answer to a
// renewal that was sent before doesn't show that no other assigner has moved the keys since.
BOOST_AUTO_TEST_CASE(a_renewal_sent_before_the_store_was_lost_confirms_nothing) {
  one_owner world;
  const range_timing timing;
  world.assigner.on_granted(only<grant>(world.assigner.tick(world.load, at(2)))[0], at(3));
  const auto renewal = only<grant>(world.assigner.tick(world.load, at(2) + timing.renew));
  BOOST_TEST_REQUIRE(renewal.size() == 1U);
  const auto lost_at = at(10) + timing.renew;
  world.assigner.on_store_restored(lost_at);
  world.assigner.on_granted(renewal[0], lost_at + milliseconds(1));
  auto record = carry_over(world.assigner.record(), 2);
  world.assigner.regain(record, 4);
  world.assigner.confirm(lost_at + milliseconds(2));
  BOOST_TEST(record.unsettled);
  const auto no_write = only<write>(world.assigner.tick(world.load, lost_at + milliseconds(200)));
  BOOST_TEST(no_write.empty());  // still unsettled
  // One that is sent and taken after the last release of another assigner does.
  const auto later = lost_at + timing.outage_after + timing.release_timeout + timing.margin;
  world.assigner.confirm(later);
  const auto next = only<grant>(world.assigner.tick(world.load, later));
  BOOST_TEST_REQUIRE(next.size() == 1U);
  BOOST_TEST((next[0].fence == renewal[0].fence));
  world.assigner.on_granted(next[0], later + milliseconds(1));
  const auto settled = only<write>(world.assigner.tick(world.load, later + milliseconds(200)));
  BOOST_TEST_REQUIRE(settled.size() == 1U);
  BOOST_TEST(!settled[0].record.unsettled);
}

namespace {

// An assigner that took over from a record of another era, in which `a` owns all keys.
struct restored {
  static constexpr std::uint64_t life = 5;
  range_timing timing{.entry_lapse = seconds(5)};
  range_assigner assigner{timing};
  key_load load{seconds(2)};
  std::uint64_t sequence = 1;

  explicit restored(range_record before = record_of_a()) {
    const auto record = take_over(std::move(before), {"e@2"}, "", 2);
    BOOST_TEST(record.unsettled);
    assigner.start(record, 4, {.exists = true}, at(0));
    hear(0);
    assigner.on_link(a, 1, at(0));
    assigner.on_link(b, 2, at(0));
    confirm(1);
  }

  static range_record record_of_a() {
    auto record = make_range_record();
    record.era = 1;
    record.lives[a] = life;
    move_range(record, 0, last_numbered_key, a);
    return record;
  }

  // A heartbeat of `a`.
  void hear(std::int64_t ms, std::uint64_t of_life = life) {
    assigner.set_upstreams(
        {{.name = a, .capacity = 6, .life = of_life, .sequence = ++sequence}, {b, 6}}, at(ms));
  }
  void confirm(std::int64_t ms) { assigner.confirm(at(ms)); }
  std::vector<grant> grants(std::int64_t ms) {
    confirm(ms);
    return only<grant>(assigner.tick(load, at(ms)));
  }
  // Lets the entries' changes be known from one time to the other, and returns when owners are
  // asked.
  std::optional<std::int64_t> asked_while_known(std::int64_t from, std::int64_t to) {
    for (auto now = from; now <= to; now += 100) {
      assigner.on_entries_known(at(now));
      if (!grants(now).empty()) return now;
    }
    return std::nullopt;
  }
  // When owners may be asked, and when all grants that aren't known have run out.
  std::int64_t asked_from() const {
    return (timing.outage_after + longest_hold(timing, timing.hold)) / milliseconds(1);
  }
  std::int64_t settled_from() const {
    return (timing.outage_after + timing.release_timeout + timing.margin) / milliseconds(1);
  }
  std::int64_t doubt_ends() const {
    return (timing.proof_validity + longest_hold(timing, timing.outage_hold)) / milliseconds(1);
  }
};

}  // namespace

// Guards against keys without a holder after a restore of the store and the end of all instances:
// an owner that takes a grant that one without the keys would refuse goes on.
BOOST_AUTO_TEST_CASE(an_owner_that_has_kept_its_keys_goes_on_after_a_restore) {
  restored world;
  const auto before = restored::record_of_a().ranges.front().fence;
  world.hear(world.asked_from() - 100);
  BOOST_TEST(world.grants(world.asked_from() - 10).empty());
  const auto asked = world.grants(world.asked_from() + 10);
  BOOST_TEST_REQUIRE(asked.size() == 1U);
  BOOST_TEST((asked[0].upstream == a));
  BOOST_TEST(same_block(asked[0].fence, before));
  BOOST_TEST((asked[0].fence > before));
  world.assigner.on_granted(asked[0], at(world.asked_from() + 11));
  BOOST_TEST(world.assigner.ranges_in_doubt() == 1U);  // a late release may still arrive
  const auto again = world.grants(world.settled_from() + 700);
  BOOST_TEST_REQUIRE(again.size() == 1U);
  world.assigner.on_granted(again[0], at(world.settled_from() + 701));
  BOOST_TEST(world.assigner.ranges_in_doubt() == 0U);
  const auto writes = only<write>(world.assigner.tick(world.load, at(world.settled_from() + 900)));
  BOOST_TEST_REQUIRE(writes.size() == 1U);
  BOOST_TEST(!writes[0].record.unsettled);
  BOOST_TEST((writes[0].record.ranges.front().fence > asked[0].fence));
}

// Guards against two holders after a restore of the store (review/12): keys that an owner has
// released since the copy may be held by an upstream that nobody knows.
BOOST_AUTO_TEST_CASE(keys_that_were_released_since_the_copy_wait_for_an_unknown_holder) {
  restored world;
  constexpr std::uint32_t released_from = 60000;
  world.hear(world.asked_from() - 100);
  std::int64_t now = world.asked_from() + 10;
  std::uint32_t held = 0;
  for (int calls = 0; calls < 200; ++calls) {
    const auto asked = world.grants(++now);
    if (asked.empty()) break;
    BOOST_TEST_REQUIRE(asked.size() == 1U);
    BOOST_TEST((asked[0].upstream == a));
    if (asked[0].last >= released_from) {
      world.assigner.on_refused(asked[0], at(now));
    } else {
      held += asked[0].last - asked[0].first + 1;
      world.assigner.on_granted(asked[0], at(now));
    }
  }
  BOOST_TEST(held == released_from);
  BOOST_TEST(world.assigner.ranges_in_doubt() == 1U);
  const auto ends = world.doubt_ends();
  world.hear(ends - 10);
  for (const auto& order : world.grants(ends - 10)) BOOST_TEST(order.last < released_from);
  const auto writes = only<write>(world.assigner.tick(world.load, at(ends + 200)));
  BOOST_TEST_REQUIRE(writes.size() == 1U);
  BOOST_TEST(!writes[0].record.unsettled);
  BOOST_TEST(!is_inherited(writes[0].record, writes[0].record.ranges.front().fence));
}

// Guards against two holders: an owner that has started again has forgotten what it released.
BOOST_AUTO_TEST_CASE(an_owner_that_started_again_after_the_copy_is_not_asked) {
  restored world;
  world.hear(world.asked_from() - 100, restored::life + 1);
  world.hear(world.asked_from() - 50, restored::life + 1);
  BOOST_TEST(world.grants(world.asked_from() + 10).empty());
}

// Guards against an entry that is older than the link to the upstream.
BOOST_AUTO_TEST_CASE(an_owner_without_a_heartbeat_since_its_link_is_not_asked) {
  restored world;
  world.hear(world.timing.heartbeat_lag / milliseconds(1) - 10);
  BOOST_TEST(world.grants(world.asked_from() + 10).empty());
  world.hear(world.asked_from() + 20);
  BOOST_TEST(world.grants(world.asked_from() + 30).size() == 1U);
}

// Guards against owners that are never asked where entries change only if more than their sequence
// does: one that isn't renewed is removed, so that one that stays has been renewed since the link.
BOOST_AUTO_TEST_CASE(an_owner_whose_entry_outlives_its_lapse_is_asked) {
  restored world;
  const auto lapse = *world.timing.entry_lapse / milliseconds(1);
  BOOST_TEST(world.asked_while_known(0, lapse + 500).value_or(0) == lapse);
}

BOOST_AUTO_TEST_CASE(an_entry_that_lapses_after_a_link_or_a_gap_proves_nothing_before) {
  const auto asked = [](auto change) {
    restored world;
    const std::int64_t changed_at = 3000;
    BOOST_TEST(!world.asked_while_known(0, changed_at).has_value());
    const auto from = change(world, changed_at);
    const auto lapse = *world.timing.entry_lapse / milliseconds(1);
    BOOST_TEST(world.asked_while_known(from, from + 10'000).value_or(0) == from + lapse);
  };
  asked([](restored& world, std::int64_t now) {
    world.assigner.on_link(a, 0, at(now));
    world.assigner.on_link(a, 3, at(now + 100));
    return now + 100;
  });
  asked([](restored& world, std::int64_t now) {
    return now + world.timing.max_entries_gap / milliseconds(1) + 1;
  });
  asked([](restored& world, std::int64_t now) {
    world.assigner.on_store_restored(at(now + 100));
    world.assigner.regain(carry_over(world.assigner.record(), 3), 5);
    return now + 100;
  });
}

BOOST_AUTO_TEST_CASE(an_owner_whose_entry_is_removed_or_of_another_life_is_not_asked) {
  for (const bool removed : {true, false}) {
    restored world;
    BOOST_TEST(!world.asked_while_known(0, 3000).has_value());
    if (removed) {
      world.assigner.set_upstreams({{b, 6}}, at(3000));
    } else {
      world.hear(3000, restored::life + 1);
    }
    BOOST_TEST(!world.asked_while_known(3100, 10'000).has_value());
  }
}

// Guards against two holders: an owner that a move had not reached may never have had the keys.
BOOST_AUTO_TEST_CASE(an_owner_with_a_former_owner_in_the_copy_is_not_asked) {
  auto record = restored::record_of_a();
  record.ranges.front().former = {b};
  restored world(record);
  world.hear(world.asked_from() - 100);
  BOOST_TEST(world.grants(world.asked_from() + 10).empty());
}

// Guards against a second restore that makes an assigner forget how long grants from before the
// first one are held, and which releases may be on their way.
BOOST_AUTO_TEST_CASE(a_second_restore_does_not_ask_owners_earlier) {
  restored world;
  const std::int64_t second = 1500;
  world.hear(second - 100);
  world.assigner.on_store_restored(at(second));
  world.assigner.regain(carry_over(world.assigner.record(), 3), 5);
  world.hear(second + 200);
  std::int64_t now = second + 300;
  std::vector<grant> asked;
  for (; now < 20'000 && asked.empty(); now += 10) {
    if (now % 1000 == 0) world.hear(now);
    asked = world.grants(now);
  }
  BOOST_TEST(now >= world.asked_from());
  BOOST_TEST(now < world.asked_from() + 100);
  BOOST_TEST_REQUIRE(now < world.settled_from());
  world.assigner.on_granted(asked.at(0), at(now));
  BOOST_TEST(world.assigner.ranges_in_doubt() == 1U);
}

// Guards against two holders after a second restore: keys in doubt may have been granted since.
BOOST_AUTO_TEST_CASE(keys_that_were_in_doubt_before_a_second_restore_are_not_asked_for) {
  auto record = make_range_record();
  record.lives[a] = restored::life;
  move_range(record, 0, last_numbered_key, a);
  record = carry_over(record, 1);
  BOOST_TEST(record.unsettled);
  restored world(record);
  world.hear(world.asked_from() - 100);
  BOOST_TEST(world.grants(world.asked_from() + 10).empty());
}

namespace {

// The keys of `a`, which can't be reached, have been granted to `b`.
struct lapsed {
  one_owner world;
  range_timing timing;
  grant first;
  monotonic_time granted_at;

  lapsed() {
    auto& assigner = world.assigner;
    assigner.on_granted(only<grant>(assigner.tick(world.load, at(2)))[0], at(3));
    assigner.on_link(a, 0, at(100));
    granted_at = at(2) + longest_hold(timing, timing.hold) + milliseconds(10);
    assigner.confirm(granted_at - milliseconds(100));
    const auto writes = only<write>(assigner.tick(world.load, granted_at - milliseconds(100)));
    BOOST_TEST_REQUIRE(writes.size() == 1U);
    BOOST_TEST(writes[0].record.lapsed);
    assigner.on_written(11, granted_at - milliseconds(99));
    const auto granted = only<grant>(assigner.tick(world.load, granted_at));
    BOOST_TEST_REQUIRE(granted.size() == 1U);
    first = granted[0];
    assigner.on_granted(first, granted_at + milliseconds(1));
  }
  std::vector<grant> grants(monotonic_time now) {
    return only<grant>(world.assigner.tick(world.load, now));
  }
};

}  // namespace

// Guards against two holders after a restore: a copy from before may name the former owner, which
// doesn't know that it has lost the keys. The new owner's grants run out before that one is asked,
// and under a fence that the former owner's claim is above.
BOOST_AUTO_TEST_CASE(keys_that_lapsed_are_held_for_short_only_while_the_store_confirms) {
  lapsed keys;
  const auto before = make_range_record();
  auto record = before;
  move_range(record, 0, last_numbered_key, a);
  BOOST_TEST((keys.first.upstream == b));
  BOOST_TEST(same_block(keys.first.fence, record.ranges.front().fence));
  BOOST_TEST((keys.first.fence < claim_fence(record, record.ranges.front())));
  const auto stale = keys.granted_at + keys.timing.outage_after;
  BOOST_TEST(keys.grants(stale).empty());
  keys.world.assigner.confirm(stale);
  const auto renewal = keys.grants(stale + milliseconds(1));
  BOOST_TEST_REQUIRE(renewal.size() == 1U);
  keys.world.assigner.on_granted(renewal[0], stale + milliseconds(2));
  // A copy that lacks the move is too old from then on.
  const auto copied = keys.granted_at + keys.timing.copy_age;
  keys.world.assigner.confirm(copied);
  const auto later = keys.grants(copied + keys.timing.outage_after);
  BOOST_TEST_REQUIRE(later.size() == 1U);
  BOOST_TEST((later[0].hold == keys.timing.outage_hold));
}

// Guards against the same where the former owner stops answering after the move was written.
BOOST_AUTO_TEST_CASE(keys_of_an_owner_that_stops_answering_get_a_fence_of_its_block) {
  one_owner world;
  const range_timing timing;
  const auto first = only<grant>(world.assigner.tick(world.load, at(2)));
  world.assigner.on_granted(first[0], at(3));
  world.move_to_b(10);
  for (const auto& order : only<release>(world.assigner.tick(world.load, at(12))))
    world.assigner.on_release_failed(order, at(400));
  const auto expired = at(2) + longest_hold(timing, timing.hold) + milliseconds(10);
  world.assigner.confirm(expired);
  const auto orders = world.assigner.tick(world.load, expired);
  BOOST_TEST(only<grant>(orders).empty());
  const auto writes = only<write>(orders);
  BOOST_TEST_REQUIRE(writes.size() == 1U);
  world.assigner.on_written(12, expired + milliseconds(1));
  const auto granted = only<grant>(world.assigner.tick(world.load, expired + milliseconds(2)));
  BOOST_TEST_REQUIRE(granted.size() == 1U);
  BOOST_TEST((granted[0].upstream == b));
  BOOST_TEST(same_block(granted[0].fence, first[0].fence));
}

// Guards against the same where an earlier assigner began the move: the fence by which a copy names
// the former owner isn't known, so that the move must be older than any copy.
BOOST_AUTO_TEST_CASE(keys_of_an_unknown_fence_wait_until_any_copy_has_the_move) {
  const range_timing timing;
  range_assigner assigner(timing);
  const key_load load{seconds(2)};
  auto record = make_range_record();
  move_range(record, 0, last_numbered_key, a);
  move_range(record, 0, last_numbered_key, b);
  record.assigner = {"e@1"};
  assigner.start(record, 10, {.exists = true, .relinquished = true, .lapses_in = milliseconds(100)},
                 at(0));
  assigner.set_upstreams({{a, 6}, {b, 6}}, at(0));
  assigner.on_link(b, 2, at(0));
  assigner.confirm(at(1));
  const auto writes = only<write>(assigner.tick(load, at(2)));
  BOOST_TEST_REQUIRE(writes.size() == 1U);
  BOOST_TEST(writes[0].record.lapsed);
  assigner.on_written(11, at(3));
  assigner.confirm(at(300));
  BOOST_TEST(only<grant>(assigner.tick(load, at(300))).empty());
  const auto copied = at(10) + timing.copy_age;
  assigner.confirm(copied);
  BOOST_TEST(only<grant>(assigner.tick(load, copied)).size() == 1U);
}

// Guards against a move that goes on while the store may be losing its record.
BOOST_AUTO_TEST_CASE(no_release_is_sent_without_a_recent_proof_of_leadership) {
  one_owner world;
  const range_timing timing;
  world.assigner.on_granted(only<grant>(world.assigner.tick(world.load, at(2)))[0], at(3));
  world.move_to_b(10);
  const auto late = at(1) + timing.outage_after;
  BOOST_TEST(world.assigner.may_release(late - milliseconds(1)));
  BOOST_TEST(!world.assigner.may_release(late));
  BOOST_TEST(only<release>(world.assigner.tick(world.load, late)).empty());
  world.assigner.confirm(late);
  BOOST_TEST(!only<release>(world.assigner.tick(world.load, late)).empty());
}

BOOST_AUTO_TEST_CASE(relinquishing_states_when_all_grants_have_expired) {
  const range_timing timing;
  one_owner earlier;
  earlier.assigner.on_granted(only<grant>(earlier.assigner.tick(earlier.load, at(2)))[0], at(3));
  const auto relinquished = earlier.assigner.relinquish(at(500));
  BOOST_TEST_REQUIRE(relinquished.lapses_in.has_value());
  const auto expired = at(2) + longest_hold(timing, timing.hold);
  BOOST_TEST((*relinquished.lapses_in == expired - at(500)));
  BOOST_TEST((parse_range_record(format_range_record(relinquished)).value() == relinquished));
  BOOST_TEST(!take_over(relinquished, {"other@1"}, "", 0).lapses_in);

  one_owner world({.exists = true, .relinquished = true, .lapses_in = relinquished.lapses_in});
  world.assigner.on_link(a, 0, at(1));
  world.move_to_b(50);
  const auto lapsed = at(0) + *relinquished.lapses_in;
  world.assigner.confirm(lapsed - milliseconds(10));
  BOOST_TEST(only<grant>(world.assigner.tick(world.load, lapsed - milliseconds(1))).empty());
  BOOST_TEST(!only<grant>(world.assigner.tick(world.load, lapsed)).empty());
}

BOOST_AUTO_TEST_CASE(relinquishing_counts_former_owners_that_have_not_released) {
  const range_timing timing;
  one_owner world;
  world.assigner.on_granted(only<grant>(world.assigner.tick(world.load, at(2)))[0], at(3));
  world.assigner.on_link(a, 0, at(100));
  world.move_to_b(200);  // b has no grant yet
  const auto relinquished = world.assigner.relinquish(at(300));
  BOOST_TEST((*relinquished.lapses_in == at(2) + longest_hold(timing, timing.hold) - at(300)));
}

// While the store is unreachable, no instance can take over: the assigner keeps its leadership and
// goes on renewing.
BOOST_AUTO_TEST_CASE(relinquishing_needs_a_recent_proof_of_leadership) {
  const range_timing timing;
  one_owner world;
  world.assigner.confirm(at(1000));
  BOOST_TEST(world.assigner.may_relinquish(at(1000) + timing.max_proof_age - milliseconds(1)));
  BOOST_TEST(!world.assigner.may_relinquish(at(1000) + timing.max_proof_age));
  BOOST_TEST(timing.max_proof_age < timing.outage_after);
}

BOOST_AUTO_TEST_CASE(relinquishing_counts_the_longer_grants_of_an_outage) {
  const range_timing timing;
  one_owner world;
  world.assigner.on_granted(only<grant>(world.assigner.tick(world.load, at(2)))[0], at(3));
  const auto late = at(1) + timing.outage_after + milliseconds(200);
  BOOST_TEST_REQUIRE(only<grant>(world.assigner.tick(world.load, late)).size() == 1U);
  const auto relinquished = world.assigner.relinquish(late);
  BOOST_TEST((*relinquished.lapses_in == longest_hold(timing, timing.outage_hold)));
}

BOOST_AUTO_TEST_CASE(a_new_link_gets_a_new_fence) {
  one_owner world;
  const auto first = only<grant>(world.assigner.tick(world.load, at(2)))[0];
  world.assigner.on_granted(first, at(3));
  world.assigner.on_link(a, 0, at(100));
  world.assigner.on_link(a, 3, at(110));
  world.assigner.confirm(at(111));
  const auto orders = world.assigner.tick(world.load, at(700));
  BOOST_TEST(only<grant>(orders).empty());
  BOOST_TEST_REQUIRE(only<write>(orders).size() == 1U);
  world.assigner.on_written(11, at(701));
  const auto again = only<grant>(world.assigner.tick(world.load, at(701)));
  BOOST_TEST_REQUIRE(again.size() == 1U);
  BOOST_TEST((again[0].fence > first.fence));
}

BOOST_AUTO_TEST_CASE(renewals_end_without_proof_of_leadership) {
  one_owner world;
  const range_timing timing;
  world.assigner.on_granted(only<grant>(world.assigner.tick(world.load, at(2)))[0], at(3));
  BOOST_TEST(
      !only<grant>(world.assigner.tick(world.load, at(1) + timing.proof_validity - milliseconds(1)))
           .empty());
  one_owner late;
  BOOST_TEST(only<grant>(late.assigner.tick(late.load, at(1) + timing.proof_validity)).empty());
}

// While the store doesn't confirm leadership, upstreams should go on serving even if the assigner
// fails.
BOOST_AUTO_TEST_CASE(grants_are_longer_in_an_outage_and_expire_later) {
  one_owner world;
  const range_timing timing;
  world.assigner.on_granted(only<grant>(world.assigner.tick(world.load, at(2)))[0], at(3));
  const auto later = at(1) + timing.outage_after + timing.renew;
  const auto renewed = only<grant>(world.assigner.tick(world.load, later));
  BOOST_TEST_REQUIRE(renewed.size() == 1U);
  BOOST_TEST((renewed[0].hold == timing.outage_hold));
  world.assigner.on_link(a, 0, later + milliseconds(10));
  world.assigner.confirm(later + milliseconds(11));
  world.assigner.set_upstreams({{a, 6, false}, {b, 6}}, later + milliseconds(12));
  BOOST_TEST_REQUIRE(
      only<write>(world.assigner.tick(world.load, later + milliseconds(12))).size() == 1U);
  world.assigner.on_written(11, later + milliseconds(13));
  const auto expired = later + longest_hold(timing, timing.outage_hold);
  world.assigner.confirm(expired - milliseconds(5));
  BOOST_TEST(only<grant>(world.assigner.tick(world.load, expired - milliseconds(1))).empty());
  BOOST_TEST(!only<grant>(world.assigner.tick(world.load, expired)).empty());
}

BOOST_AUTO_TEST_CASE(a_write_whose_answer_was_lost_is_read_back) {
  one_owner world;
  world.assigner.set_upstreams({{a, 6, false}, {b, 6}}, at(10));
  const auto written = only<write>(world.assigner.tick(world.load, at(10)));
  BOOST_TEST_REQUIRE(written.size() == 1U);
  world.assigner.on_write_unknown();
  BOOST_TEST(world.assigner.needs_read());
  BOOST_TEST(only<write>(world.assigner.tick(world.load, at(20))).empty());
  auto stands = written[0].record;
  BOOST_TEST(world.assigner.on_read({"e@1"}, stands, 12, at(30)));
  BOOST_TEST((*world.assigner.record().ranges.front().owner == b));
  stands.assigner = {"other@2"};
  BOOST_TEST(!world.assigner.on_read({"e@1"}, stands, 13, at(40)));
  BOOST_TEST(world.assigner.tick(world.load, at(5000)).empty());
}

// Guards against a look at the record that is being written when none is.
BOOST_AUTO_TEST_CASE(an_outcome_that_gets_unknown_after_a_later_write_is_read_back) {
  one_owner world;
  world.assigner.on_granted(only<grant>(world.assigner.tick(world.load, at(2)))[0], at(3));
  world.move_to_b(10);
  world.assigner.on_write_unknown();  // of a write from before a restore of the store
  const auto orders = world.assigner.tick(world.load, at(12));
  const auto releases = only<release>(orders);
  BOOST_TEST_REQUIRE(!releases.empty());
  BOOST_TEST(only<grant>(orders).empty());
  BOOST_TEST(world.assigner.needs_read());
  BOOST_TEST(world.assigner.on_read({"e@1"}, world.assigner.record(), 11, at(13)));
  for (const auto& order : releases) world.assigner.on_released(order, "", at(14));
  const auto granted = only<grant>(world.assigner.tick(world.load, at(15)));
  BOOST_TEST_REQUIRE(!granted.empty());
  BOOST_TEST((granted[0].upstream == b));
}

BOOST_AUTO_TEST_CASE(an_isolated_assigner_moves_nothing) {
  one_owner world;
  world.assigner.on_link(a, 0, at(10));
  world.assigner.on_link(b, 0, at(10));
  BOOST_TEST(world.assigner.is_isolated(at(5000)));
  BOOST_TEST(only<write>(world.assigner.tick(world.load, at(5000))).empty());
}

BOOST_AUTO_TEST_CASE(the_known_scenarios_keep_single_owners) {
  for (std::uint64_t seed = 0; seed < 5; ++seed) {
    for (const auto& faults : range_model::known_scenarios()) {
      const auto verdict = range_model::run({seed, faults});
      BOOST_TEST(verdict.violation.value_or("") == "");
      BOOST_TEST(verdict.served > 0.5);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(candidacies)

BOOST_AUTO_TEST_CASE(campaigns_once_the_key_is_gone_and_renews_the_lease) {
  const candidacy_timing timing;
  candidacy mine(timing, milliseconds(10));
  BOOST_TEST((mine.tick(at(0)) == candidacy_step::none));  // nothing was read yet
  mine.on_seen(key_holder::other, at(1));
  BOOST_TEST((mine.tick(at(1000)) == candidacy_step::none));
  mine.on_seen(key_holder::nobody, at(1000));
  BOOST_TEST((mine.tick(at(1000)) == candidacy_step::none));
  const auto due = at(1000) + timing.vacancy + milliseconds(10);
  BOOST_TEST((mine.tick(due) == candidacy_step::create_lease));
  BOOST_TEST((mine.tick(due) == candidacy_step::none));  // one call at a time
  mine.on_lease_created(7, due);
  BOOST_TEST((mine.tick(due) == candidacy_step::campaign));
  mine.on_won(due);
  BOOST_TEST(mine.holds());
  BOOST_TEST((mine.tick(due + timing.renew) == candidacy_step::renew_lease));
  mine.on_lease_gone(due + timing.lease);
  BOOST_TEST(!mine.holds());
  BOOST_TEST((mine.tick(due + seconds(9)) == candidacy_step::create_lease));
}

// A key of its own without leadership comes from a campaign whose answer was lost.
BOOST_AUTO_TEST_CASE(an_own_key_keeps_nobody_from_campaigning_unless_it_leads) {
  const candidacy_timing timing;
  candidacy mine(timing, duration(0));
  mine.on_seen(key_holder::self, at(0));
  BOOST_TEST((mine.tick(at(0) + timing.vacancy) == candidacy_step::create_lease));
  mine.on_lease_created(7, at(30));
  mine.on_won(at(40));
  mine.on_seen(key_holder::self, at(50));
  mine.on_lease_gone(at(2000));
  mine.on_seen(key_holder::other, at(2001));
  BOOST_TEST((mine.tick(at(3000)) == candidacy_step::none));
}

BOOST_AUTO_TEST_CASE(a_resigned_candidate_waits_for_others) {
  const candidacy_timing timing;
  candidacy mine(timing, duration(0));
  mine.on_seen(key_holder::nobody, at(0));
  mine.resign(at(10));
  mine.on_seen(key_holder::nobody, at(10));
  BOOST_TEST((mine.tick(at(9) + timing.rest) == candidacy_step::none));
  BOOST_TEST((mine.tick(at(10) + timing.rest + timing.vacancy) == candidacy_step::create_lease));
  candidacy leaving(timing, duration(0));
  leaving.on_seen(key_holder::nobody, at(0));
  leaving.withdraw();
  BOOST_TEST((leaving.tick(at(60'000)) == candidacy_step::none));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
