// Limits of upstreams: what a response names, the issuing of permits, and whole fleets in virtual
// time.
#include "routing/upstream_permits.h"

#include <boost/test/unit_test.hpp>

#include "routing/testing/limit_simulation.h"
#include "routing/upstream_limits.h"

using namespace plantainpaddle;
using namespace plantainpaddle::testing;

namespace {

constexpr monotonic_time start{seconds(100)};
const upstream_id desk{"desk-1"};

permit_request request_at(double rate, duration wait = duration{0}) {
  return {desk, rate, {}, wait};
}

std::map<std::string, std::string> addresses(const std::vector<std::string>& names) {
  std::map<std::string, std::string> made;
  for (const auto& name : names) made[name] = name + ":7200";
  return made;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(limits_of_upstreams)

// Guards against a limit that is misread: what isn't a positive decimal number names none.
BOOST_AUTO_TEST_CASE(only_a_positive_decimal_number_names_a_limit) {
  BOOST_TEST((parse_named_limit("20.7") == std::optional(20.7)));
  BOOST_TEST((parse_named_limit("4") == std::optional(4.0)));
  for (const char* text : {"", "0", "0.0", "-3", "+4", "1e3", "1e400", "inf", "nan", "4 ", " 4",
                           "4,5", "4;5", "0x10", "99999999999", "four"}) {
    BOOST_TEST(!parse_named_limit(text), text);
  }
}

// Guards against a limit that outlasts the responses which name it, and against one that changes
// unheard.
BOOST_AUTO_TEST_CASE(a_limit_lasts_as_long_as_responses_name_it) {
  upstream_limits limits;
  BOOST_TEST(!limits.on_response(desk, std::nullopt, start));
  BOOST_TEST(limits.on_response(desk, 20.0, start));
  BOOST_TEST(!limits.on_response(desk, 20.5, start));
  BOOST_TEST(limits.on_response(desk, 8.0, start));
  BOOST_TEST((limits.rate_of(desk) == std::optional(8.0)));
  limits.on_sent(desk, start);
  limits.on_sent(desk, start + seconds(3));
  BOOST_TEST(limits.sent(desk, start + seconds(3)) == 2U);
  BOOST_TEST(limits.sent(desk, start + seconds(5)) == 1U);
  BOOST_TEST(limits.on_response(desk, std::nullopt, start));
  BOOST_TEST(!limits.rate_of(desk));
}

// Guards against permits in a lump: those beyond the burst are spaced, and come with a wait if the
// request allows one.
BOOST_AUTO_TEST_CASE(permits_are_spaced_by_the_rate) {
  upstream_permits permits("a");
  permits.set_instances(addresses({"a"}), start - seconds(60));
  BOOST_TEST((permits.issue(request_at(10), start) == permit_decision{true, duration{0}}));
  BOOST_TEST((permits.issue(request_at(10), start) == permit_decision{false, milliseconds(100)}));
  BOOST_TEST((permits.issue(request_at(10, milliseconds(100)), start) ==
              permit_decision{true, milliseconds(100)}));
  BOOST_TEST((permits.issue(request_at(10, milliseconds(150)), start) ==
              permit_decision{false, milliseconds(50)}));
  int granted = 0;
  for (int i = 0; i < 20; ++i) granted += permits.issue(request_at(10), start + seconds(9)).granted;
  BOOST_TEST(granted == 3);
}

// Guards against an old limit that one instance still goes by after another has seen it change.
BOOST_AUTO_TEST_CASE(the_issuer_goes_by_the_latest_limit) {
  upstream_permits permits("a");
  permits.set_instances(addresses({"a"}), start - seconds(60));
  permits.issue({desk, 2, milliseconds(100), {}}, start);
  permits.issue({desk, 50, seconds(3), {}}, start + seconds(1));
  BOOST_TEST(permits.limits_asked_for(start + seconds(1)).at(desk) == 2);
  permits.issue({desk, 30, milliseconds(10), {}}, start + seconds(2));
  BOOST_TEST(permits.limits_asked_for(start + seconds(2)).at(desk) == 30);
  BOOST_TEST(permits.limits_asked_for(start + seconds(8)).empty());
}

// Guards against a limit that nobody holds once its issuer has gone silent: its successor issues,
// at a lower rate, and without that one each instance sends an even share.
BOOST_AUTO_TEST_CASE(without_its_issuer_a_limit_is_held_by_the_next_and_then_by_each_alone) {
  upstream_permits permits("x");
  permits.set_instances(addresses({"a", "b", "c", "d"}), start);
  const auto first = std::get<permit_issuer>(permits.begin(request_at(4), start));
  const auto second = std::get<permit_issuer>(permits.on_no_answer(request_at(4), first, start));
  BOOST_TEST(second.name != first.name);
  const auto alone = permits.on_no_answer(request_at(4), second, start);
  BOOST_TEST(std::holds_alternative<permit_decision>(alone));
  int granted = 0;
  for (int ms = 0; ms < 1900; ms += 10) {
    const auto step = permits.begin(request_at(4), start + milliseconds(ms));
    granted += std::get<permit_decision>(step).granted ? 1 : 0;
  }
  BOOST_TEST(granted <= 1);
  const auto again = permits.begin(request_at(4), start + seconds(3));
  BOOST_TEST((std::get<permit_issuer>(again) == first));
}

// Guards against a fleet that sends an upstream more than its limit allows, in every trouble that
// makes instances disagree about who issues permits.
BOOST_AUTO_TEST_CASE(limits_hold_over_a_grown_fleet_in_known_scenarios) {
  for (const auto& scenario : known_limit_scenarios()) {
    const auto seen = play_limits(scenario);
    BOOST_TEST(seen.worst <= 1, seen.worst_case);
  }
}

BOOST_AUTO_TEST_CASE(limits_hold_over_fleets_in_random_scenarios) {
  for (std::uint64_t seed = 1000; seed < 1100; ++seed) {
    const auto seen = play_limits(random_limit_scenario(seed));
    BOOST_TEST(seen.worst <= 1, seen.worst_case);
  }
}

// Shows that the scenarios tell a limit that isn't held: by nobody, as before, or by each instance
// alone.
BOOST_AUTO_TEST_CASE(a_limit_that_each_instance_holds_alone_is_broken) {
  for (const auto policy : {limit_policy::nobody, limit_policy::each_instance_alone}) {
    const auto seen = play_limits({.limits = {4, 4}, .demand = 3, .policy = policy});
    BOOST_TEST(seen.worst > 1);
  }
}

// Guards against a cold upstream that crashes because instances together send it too much in some
// second: when they start together, are paused or cut off from each other or from the store, or
// when their requests arrive late.
BOOST_AUTO_TEST_CASE(cold_upstreams_are_kept_within_their_bound_in_known_scenarios) {
  for (const auto& scenario : known_cold_scenarios()) {
    const auto seen = play_limits(scenario);
    BOOST_TEST(seen.worst <= 1, seen.worst_case);
    BOOST_TEST_MESSAGE("worst share of the bound " << seen.worst << ", sent " << seen.sent
                                                   << " of the stated rate");
  }
}

BOOST_AUTO_TEST_CASE(cold_upstreams_are_kept_within_their_bound_in_random_scenarios) {
  for (std::uint64_t seed = 1000; seed < 1100; ++seed) {
    const auto seen = play_limits(random_cold_scenario(seed));
    BOOST_TEST(seen.worst <= 1, seen.worst_case);
  }
}

// Shows that the scenarios tell permits without the guards for cold upstreams.
BOOST_AUTO_TEST_CASE(without_the_guards_the_bound_of_cold_upstreams_is_broken) {
  double worst = 0;
  for (auto scenario : known_cold_scenarios()) {
    scenario.guarded = false;
    worst = std::max(worst, play_limits(scenario).worst);
  }
  BOOST_TEST(worst > 1);
}

// Guards against a bound that is kept by sending less than it allows: a domain whose upstreams are
// all cold is filled at the stated rate where the slack covers what instances may add.
BOOST_AUTO_TEST_CASE(the_rate_of_permits_for_cold_upstreams_uses_the_bound) {
  BOOST_TEST(cold_permit_rate(3.9, {1.5, 8}) > 3.7);
  BOOST_TEST(cold_permit_rate(3.9, {1.5, 8}) <= 3.9);
  BOOST_TEST(cold_permit_rate(3.9, {1.5, 100}) == 3.9);
  BOOST_TEST(cold_permit_rate(3.9, {1, 0}) > 0);
  BOOST_TEST(cold_permit_rate(0, {1.5, 8}) == 0);
  BOOST_TEST(play_limits(known_cold_scenarios()[0]).sent > 0.9);
}

// Guards against an instance that sends the whole share of all when it has just started, and
// against one that sends at once what fell due while the issuer was there.
BOOST_AUTO_TEST_CASE(an_instance_that_does_not_know_the_others_sends_nothing_alone) {
  permit_config config;
  config.quiet_time = seconds(2);
  upstream_permits permits("a", config);
  BOOST_TEST(!permits.may_issue(start));
  BOOST_TEST(!std::get<permit_decision>(permits.begin(request_at(100), start)).granted);
  permits.set_instances(addresses({"a"}), start);
  BOOST_TEST(!permits.may_issue(start + milliseconds(1999)));
  BOOST_TEST(
      !std::get<permit_decision>(permits.begin(request_at(100), start + seconds(1))).granted);
  BOOST_TEST(permits.may_issue(start + seconds(2)));
  BOOST_TEST(std::get<permit_decision>(permits.begin(request_at(100), start + seconds(2))).granted);
}

// Guards against an issuer that goes on after its registration has lapsed and another one issues.
BOOST_AUTO_TEST_CASE(an_instance_with_an_old_list_does_not_issue) {
  permit_config config;
  config.list_life = seconds(12);
  upstream_permits permits("a", config);
  permits.set_instances(addresses({"a"}), start, start - seconds(5));
  BOOST_TEST(permits.may_issue(start));
  permits.set_instances(addresses({"a"}), start + seconds(7), start - seconds(5));
  BOOST_TEST(!permits.may_issue(start + seconds(7)));
  permits.set_instances(addresses({"a"}), start + seconds(8), start + seconds(8));
  BOOST_TEST(permits.may_issue(start + seconds(8)));
}

// Guards against a limit that is held by refusing what the upstream would take.
BOOST_AUTO_TEST_CASE(what_a_limit_allows_is_used) {
  const std::vector<double> grown(20, 4.0);
  BOOST_TEST(play_limits({.limits = grown, .demand = 2}).sent > 0.95);
  BOOST_TEST(play_limits({.limits = grown, .demand = 0.6}).accepted > 0.8);
  const std::vector<double> large(5, 17.0);
  BOOST_TEST(play_limits({.instances = 12, .limits = large, .demand = 0.8}).accepted > 0.9);
}

BOOST_AUTO_TEST_SUITE_END()
