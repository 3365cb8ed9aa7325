// What responses state about their upstreams: limits, notices that they leave, and pauses.
#include "routing/upstream_statement.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

#include "routing/placement.h"

namespace plantainpaddle {

namespace {

monotonic_time at(std::int64_t ms) { return monotonic_time(milliseconds(1'000'000 + ms)); }

constexpr std::uint64_t first_life = 5;

placement make_placement(std::size_t upstreams) {
  std::vector<placement_upstream> listed;
  for (std::size_t i = 0; i < upstreams; ++i) {
    listed.push_back(
        {.name = {"u" + std::to_string(i)}, .domain = {"d1"}, .slots = 6, .life = first_life});
  }
  placement service({.domain = {"d1"}});
  service.set_upstreams(listed, at(0));
  return service;
}

placement_request request_at(std::int64_t ms, std::optional<upstream_id> only = std::nullopt) {
  return {.work = "w", .left = seconds(20), .only = std::move(only), .now = at(ms)};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(upstream_statements)

BOOST_AUTO_TEST_CASE(a_pause_is_a_positive_number_of_seconds) {
  BOOST_TEST((parse_pause("1") == seconds(1)));
  BOOST_TEST((parse_pause("0.25") == milliseconds(250)));
  BOOST_TEST((parse_pause("600") == max_pause));
  BOOST_TEST((parse_pause("601") == max_pause));
  BOOST_TEST((parse_pause("99999999999999999999") == max_pause));
  for (const auto* bad : {"", "0", "-1", "soon", "1s", "1e3", "inf", "nan", "0x10", " 1", "1 ",
                          "Wed, 21 Oct 2026 07:28:00 GMT"}) {
    BOOST_TEST(!parse_pause(bad).has_value(), bad);
  }
}

BOOST_AUTO_TEST_CASE(an_unreadable_field_is_ignored_and_named) {
  BOOST_TEST((parse_upstream_statement({}) == upstream_statement{}));
  const auto all = parse_upstream_statement({.limit = "4", .leaving = "1", .retry_after = "2"});
  BOOST_TEST((all == upstream_statement{4.0, true, seconds(2), ""}));
  for (const auto* bad : {"0", "yes", "11", "true"}) {
    const auto stated = parse_upstream_statement({.leaving = bad});
    BOOST_TEST(!stated.leaving, bad);
    BOOST_TEST(stated.unreadable == "leaving", bad);
  }
  BOOST_TEST(parse_upstream_statement({.limit = "soon"}).unreadable == "limit");
  BOOST_TEST(parse_upstream_statement({.retry_after = "soon"}).unreadable == "retry_after");
}

BOOST_AUTO_TEST_CASE(only_refusals_ask_for_a_pause) {
  BOOST_TEST(is_turned_away(503));
  BOOST_TEST(is_turned_away(429));
  for (const unsigned status : {200U, 301U, 421U, 500U, 502U, 504U}) {
    BOOST_TEST(!is_turned_away(status));
  }
}

// Pattern: an upstream of several turns requests away and says for how long. The others get them.
BOOST_AUTO_TEST_CASE(a_pausing_upstream_is_not_chosen_until_its_pause_ends) {
  auto service = make_placement(3);
  service.on_pause({"u1"}, seconds(2), at(0));
  std::mt19937_64 random(1);
  std::map<upstream_id, int> chosen;
  for (int ms = 1; ms < 2000; ms += 10)
    ++chosen[*service.choose(request_at(ms), random()).upstream];
  BOOST_TEST(chosen.size() == 2U);
  BOOST_TEST(!chosen.contains({"u1"}));
  for (int ms = 2000; ms < 4000; ms += 10) {
    ++chosen[*service.choose(request_at(ms), random()).upstream];
  }
  BOOST_TEST((chosen[{"u1"}] > 30));
}

// Pattern: the owner of a key pauses. No other upstream can serve the key, so the request is
// refused at once, with the time until the owner takes requests again.
BOOST_AUTO_TEST_CASE(requests_for_the_keys_of_a_pausing_upstream_are_refused_for_the_rest_of_it) {
  auto service = make_placement(2);
  service.on_pause({"u0"}, milliseconds(1500), at(0));
  const auto refused = service.choose(request_at(400, upstream_id{"u0"}), 7);
  BOOST_TEST(!refused.upstream.has_value());
  BOOST_TEST((refused.why == placement_refusal::paused));
  BOOST_TEST((refused.retry_after == milliseconds(1100)));
  BOOST_TEST((service.choose(request_at(400, upstream_id{"u1"}), 7).upstream == upstream_id{"u1"}));
  BOOST_TEST(
      (service.choose(request_at(1500, upstream_id{"u0"}), 7).upstream == upstream_id{"u0"}));
}

// Pattern: a whole service turns requests away. All upstreams have refused lately, which is no
// reason to try one that said for how long.
BOOST_AUTO_TEST_CASE(a_service_whose_upstreams_all_pause_gets_nothing) {
  auto service = make_placement(3);
  for (int i = 0; i < 3; ++i) {
    const upstream_id name{"u" + std::to_string(i)};
    service.on_sent(name);
    service.on_pause(name, seconds(1 + i), at(0));
    service.on_end(name, {.work = "w", .ended = attempt_outcome::refused, .asked_for_pause = true},
                   at(1));
  }
  std::mt19937_64 random(1);
  for (int ms = 1; ms < 1000; ms += 7) {
    const auto refused = service.choose(request_at(ms), random());
    BOOST_TEST(!refused.upstream.has_value());
    BOOST_TEST((refused.retry_after == milliseconds(1000 - ms)));
  }
  BOOST_TEST((service.choose(request_at(1000), random()).upstream == upstream_id{"u0"}));
}

// Guards against a later answer that shortens a pause: what the first one stated still holds.
BOOST_AUTO_TEST_CASE(a_shorter_pause_does_not_end_a_longer_one) {
  auto service = make_placement(2);
  service.on_pause({"u0"}, seconds(5), at(0));
  service.on_pause({"u0"}, seconds(1), at(300));
  BOOST_TEST((service.pause_left({"u0"}, at(2000)) == seconds(3)));
  service.on_pause({"u0"}, seconds(5), at(2000));
  BOOST_TEST((service.pause_left({"u0"}, at(2000)) == seconds(5)));
}

// Guards against a pause that outlives the upstream that asked for it: one that starts anew under
// the same name takes requests.
BOOST_AUTO_TEST_CASE(a_pause_ends_with_the_life_that_asked_for_it) {
  auto service = make_placement(1);
  service.on_pause({"u0"}, seconds(60), at(0));
  placement_upstream next{.name = {"u0"}, .domain = {"d1"}, .slots = 6, .life = first_life};
  service.set_upstreams({next}, at(100));
  BOOST_TEST((service.pause_left({"u0"}, at(100)) > seconds(59)));
  next.life = first_life + 1;
  service.set_upstreams({next}, at(200));
  BOOST_TEST((service.choose(request_at(200), 7).upstream == upstream_id{"u0"}));
}

// Guards against an upstream that is set aside for having asked for a pause: after it, the upstream
// gets its share of the requests.
BOOST_AUTO_TEST_CASE(a_pause_is_no_failure_of_the_upstream) {
  auto service = make_placement(2);
  for (int i = 0; i < 20; ++i) {
    service.on_sent({"u0"});
    service.on_pause({"u0"}, milliseconds(100), at(i));
    service.on_end(
        {"u0"}, {.work = "w", .ended = attempt_outcome::refused, .asked_for_pause = true}, at(i));
  }
  std::mt19937_64 random(1);
  int chosen = 0;
  for (int i = 0; i < 400; ++i) {
    chosen += service.choose(request_at(200), random()).upstream == upstream_id{"u0"} ? 1 : 0;
  }
  BOOST_TEST(chosen > 150);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
