// Campaigns of one instance for successive terms, and what the assigner of each waits for.
// range_fuzz plays them in a simulated cluster.
#include "ownership/range_tenure.h"

#include <boost/test/unit_test.hpp>

namespace plantainpaddle {

namespace {

monotonic_time at(std::int64_t ms) { return monotonic_time(milliseconds(1'000'000 + ms)); }

const instance_id self{"e@1"};
const instance_id other{"f@2"};
const upstream_id a{"a"};
const range_timing timing;
const duration longest = longest_hold(timing, timing.outage_hold);

// The record of another instance that is the assigner.
range_record foreign_record() {
  auto record = make_range_record();
  move_range(record, 0, last_numbered_key, a);
  return take_over(record, other, "", 0);
}

struct one_instance {
  range_tenure tenure{self, "", timing};
  std::optional<range_assigner> assigner;

  range_campaign campaign(const range_record& seen) {
    return tenure.campaign(&seen, assigner, 0, at(0));
  }
  bool win(const range_campaign& campaign, std::int64_t ms) {
    return tenure.on_won(campaign, 10, at(ms), at(ms), assigner);
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(range_tenures)

BOOST_AUTO_TEST_CASE(a_takeover_waits_for_the_renewals_of_the_earlier_assigner) {
  one_instance world;
  BOOST_TEST(world.win(world.campaign(foreign_record()), 0));
  BOOST_TEST((world.assigner->predecessors_expire_at() == at(0) + timing.proof_validity + longest));
}

BOOST_AUTO_TEST_CASE(a_relinquished_term_is_waited_for_as_its_record_says) {
  one_instance world;
  auto seen = foreign_record();
  seen.assigner = {};
  seen.lapses_in = milliseconds(700);
  BOOST_TEST(world.win(world.campaign(seen), 5));
  BOOST_TEST((world.assigner->predecessors_expire_at() == at(705)));
}

// Guards against an instance that takes its own campaign, of whose success it only learns from the
// record, for a relinquished term, and grants keys that the earlier assigner goes on renewing.
BOOST_AUTO_TEST_CASE(a_campaign_whose_answer_was_lost_does_not_end_the_earlier_assigner) {
  one_instance world;
  const auto lost = world.campaign(foreign_record());
  const auto again = world.campaign(lost.record);
  const auto third = world.campaign(again.record);
  BOOST_TEST(world.win(third, 900));
  BOOST_TEST(
      (world.assigner->predecessors_expire_at() == at(900) + timing.proof_validity + longest));
}

// Guards against the same with an assigner that loses its lease and wins it again.
BOOST_AUTO_TEST_CASE(an_assigner_that_wins_again_waits_for_what_it_waited_for) {
  one_instance world;
  BOOST_TEST(world.win(world.campaign(foreign_record()), 0));
  const auto expiry = world.assigner->last_expiry(at(2000));
  BOOST_TEST((expiry == at(0) + timing.proof_validity + longest));
  BOOST_TEST(world.win(world.campaign(world.assigner->record()), 2000));
  BOOST_TEST((world.assigner->predecessors_expire_at() == expiry));
}

BOOST_AUTO_TEST_CASE(what_an_ended_assigner_waited_for_counts_until_another_one_takes_over) {
  one_instance world;
  BOOST_TEST(world.win(world.campaign(foreign_record()), 0));
  const auto expiry = world.assigner->last_expiry(at(2000));
  auto seen = world.assigner->record();
  world.tenure.end(world.assigner, at(2000));
  BOOST_TEST(!world.assigner);
  BOOST_TEST(world.win(world.campaign(seen), 3000));
  BOOST_TEST((world.assigner->predecessors_expire_at() == expiry));
  world.tenure.end(world.assigner, at(4000));
  seen = take_over(seen, other, "", 0);
  BOOST_TEST(world.win(world.campaign(seen), 5000));
  BOOST_TEST(
      (world.assigner->predecessors_expire_at() == at(5000) + timing.proof_validity + longest));
}

BOOST_AUTO_TEST_CASE(an_own_record_of_an_earlier_era_says_nothing_of_the_lost_time) {
  one_instance world;
  BOOST_TEST(world.win(world.campaign(foreign_record()), 0));
  const auto seen = world.assigner->record();
  world.tenure.end(world.assigner, at(20'000));
  const auto campaign = world.tenure.campaign(&seen, world.assigner, 7, at(20'000));
  BOOST_TEST(campaign.record.unsettled);
  BOOST_TEST(world.win(campaign, 20'000));
  BOOST_TEST(
      (world.assigner->predecessors_expire_at() == at(20'000) + timing.proof_validity + longest));
}

BOOST_AUTO_TEST_CASE(an_assigner_that_ended_does_not_go_on) {
  one_instance world;
  BOOST_TEST(world.win(world.campaign(foreign_record()), 0));
  world.assigner->on_store_restored(at(100));
  const auto seen = world.assigner->record();
  const auto campaign = world.tenure.campaign(&seen, world.assigner, 7, at(100));
  BOOST_TEST(campaign.goes_on);
  world.tenure.end(world.assigner, at(9500));
  BOOST_TEST(!world.win(campaign, 9600));
  BOOST_TEST(!world.assigner);
}

BOOST_AUTO_TEST_CASE(a_campaign_from_before_another_assigner_is_out_of_date) {
  one_instance world;
  const auto late = world.campaign(foreign_record());
  const auto later = world.campaign(take_over(late.record, other, "", 0));
  BOOST_TEST(!world.win(late, 100));
  BOOST_TEST(world.win(later, 200));
}

BOOST_AUTO_TEST_CASE(a_later_term_of_another_instance_supersedes_the_assigner) {
  one_instance world;
  BOOST_TEST(world.win(world.campaign(foreign_record()), 0));
  auto seen = world.assigner->record();
  ++seen.mark;
  BOOST_TEST(!world.tenure.is_superseded(*world.assigner, seen));
  BOOST_TEST(!world.tenure.is_superseded(*world.assigner, foreign_record()));
  BOOST_TEST(world.tenure.is_superseded(*world.assigner, take_over(seen, other, "", 0)));
}

// Guards against an assigner whose record is relinquished under it, by a late repetition of the
// write that ended its earlier term: its successor would wait too short a time for its grants.
BOOST_AUTO_TEST_CASE(only_the_term_that_ended_is_relinquished_again) {
  one_instance world;
  BOOST_TEST(world.win(world.campaign(foreign_record()), 0));
  auto present = world.assigner->record();
  const auto relinquished = world.assigner->relinquish(at(1000));
  world.tenure.end(world.assigner, at(1000));
  ++present.mark;
  const auto again = relinquish_again(relinquished, present, self);
  BOOST_TEST_REQUIRE(again.has_value());
  BOOST_TEST(again->assigner.value.empty());
  BOOST_TEST((again->lapses_in == relinquished.lapses_in));
  BOOST_TEST(!relinquish_again(relinquished, relinquished, self));
  BOOST_TEST(!relinquish_again(relinquished, take_over(present, other, "", 0), self));
  const auto later = world.campaign(present);
  BOOST_TEST(!relinquish_again(relinquished, later.record, self));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
