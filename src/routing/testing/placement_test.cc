// Placement with backlogs, upstreams of different speed, dead machines, refusals and changes of the
// list; and the division of keys into shards.
#include "routing/placement.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <set>

#include "routing/key_space.h"

namespace plantainpaddle {

namespace {

monotonic_time at(std::int64_t ms) { return monotonic_time(milliseconds(1'000'000 + ms)); }

std::vector<placement_upstream> listed(std::initializer_list<const char*> domains) {
  std::vector<placement_upstream> upstreams;
  for (const auto* domain : domains) {
    upstreams.push_back({{"u" + std::to_string(upstreams.size())}, {domain}, 6});
  }
  return upstreams;
}

placement make_placement(const std::vector<placement_upstream>& upstreams) {
  placement service({.domain = {"d1"}});
  service.set_upstreams(upstreams, at(0));
  return service;
}

placement_request request_at(std::int64_t ms) {
  return {.work = "w", .left = seconds(2), .now = at(ms)};
}

attempt_report answered(std::int64_t ms, std::optional<reported_load> load = std::nullopt) {
  return {
      .work = "w", .latency = milliseconds(ms), .ended = attempt_outcome::answered, .load = load};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(placement_choices)

BOOST_AUTO_TEST_CASE(parses_reported_loads) {
  BOOST_TEST((parse_reported_load("3,0,8") == reported_load{3, 0, 8}));
  BOOST_TEST((parse_reported_load("3, 12, 6") == reported_load{3, 12, 6}));
  BOOST_TEST((parse_reported_load("3,0,8,250") == reported_load{3, 0, 8, 2.5}));
  BOOST_TEST((parse_reported_load("3,0,8,0") == reported_load{3, 0, 8}));
  for (const auto* bad :
       {"", "3", "3,0", "3,0,8,", "3,0,8,1,2", "3,0,8,x", "a,b,c", "3;0;8", "-1,0,8"}) {
    BOOST_TEST(!parse_reported_load(bad).has_value(), bad);
  }
}

BOOST_AUTO_TEST_CASE(local_upstreams_are_used_while_they_have_free_slots) {
  auto service = make_placement(listed({"d1", "d1", "d2", "d2"}));
  std::mt19937_64 random(1);
  for (int i = 0; i < 200; ++i) {
    const auto chosen = *service.choose(request_at(i), random()).upstream;
    BOOST_TEST((chosen == upstream_id{"u0"} || chosen == upstream_id{"u1"}));
  }
  for (int i = 0; i < 12; ++i) service.on_sent({i % 2 == 0 ? "u0" : "u1"});
  int remote = 0;
  for (int i = 0; i < 200; ++i) {
    const auto chosen = *service.choose(request_at(300), random()).upstream;
    remote += chosen == upstream_id{"u2"} || chosen == upstream_id{"u3"} ? 1 : 0;
  }
  BOOST_TEST(remote > 150);
}

// About ten requests run at a time over three upstreams, one of which is slow.
BOOST_AUTO_TEST_CASE(slow_upstreams_get_fewer_requests) {
  auto service = make_placement(listed({"d2", "d2", "d2"}));  // none is in the own failure domain
  std::mt19937_64 random(2);
  std::map<upstream_id, int> sent;
  std::multimap<std::int64_t, std::pair<upstream_id, std::int64_t>> running;
  for (std::int64_t now = 0; now < 30'000; now += 10) {
    while (!running.empty() && running.begin()->first <= now) {
      const auto [upstream, taken] = running.begin()->second;
      service.on_end(upstream, answered(taken), at(running.begin()->first));
      running.erase(running.begin());
    }
    const auto chosen = *service.choose(request_at(now), random()).upstream;
    if (now > 5000) ++sent[chosen];
    service.on_sent(chosen);
    const std::int64_t taken = chosen == upstream_id{"u0"} ? 200 : 80;
    running.emplace(now + taken, std::pair(chosen, taken));
  }
  BOOST_TEST(sent[{"u0"}] * 3 < sent[{"u1"}] * 2);
  BOOST_TEST(sent[{"u0"}] > 50);  // it still gets some
  BOOST_TEST(service.speed({"u0"}, at(30'000)) < service.speed({"u1"}, at(30'000)) * 0.7);
  BOOST_TEST(service.speed({"u0"}, at(90'000)) > 0.95);  // the slowness has decayed
}

// Guards against an upstream that is given its full share of requests although it takes few, and
// against one that is never tried again, so that the end of its limit isn't seen.
BOOST_AUTO_TEST_CASE(an_upstream_with_a_limit_gets_fewer_requests_until_the_limit_is_in_doubt) {
  auto service = make_placement(listed({"d1", "d1", "d1"}));
  std::mt19937_64 random(3);
  const auto chosen_at = [&](std::int64_t ms) {
    int chosen = 0;
    for (int i = 0; i < 300; ++i) {
      chosen += service.choose(request_at(ms), random()).upstream == upstream_id{"u0"} ? 1 : 0;
    }
    return chosen;
  };
  BOOST_TEST(chosen_at(0) > 60);
  service.set_limit({"u0"}, 2, at(0));
  BOOST_TEST(chosen_at(1000) < 20);
  BOOST_TEST(chosen_at(2500) > 60);
  service.on_limit_used_up({"u0"}, milliseconds(400), at(2500));
  BOOST_TEST(chosen_at(2600) == 0);
  BOOST_TEST(chosen_at(4000) < 20);
  service.set_limit({"u0"}, std::nullopt, at(4000));
  BOOST_TEST(chosen_at(4000) > 60);
}

BOOST_AUTO_TEST_CASE(reported_backlog_is_avoided_until_it_decays) {
  auto service = make_placement(listed({"d2", "d2"}));
  std::mt19937_64 random(3);
  service.on_sent({"u0"});
  service.on_end({"u0"}, answered(100, reported_load{6, 18, 6}), at(1000));
  int backlogged = 0;
  for (int i = 0; i < 100; ++i) {
    backlogged += *service.choose(request_at(1001), random()).upstream == upstream_id{"u0"} ? 1 : 0;
  }
  BOOST_TEST(backlogged == 0);
  BOOST_TEST(service.load({"u0"}, at(1001)) > 20.0);
  BOOST_TEST(service.load({"u0"}, at(3000)) < 8.0);
}

BOOST_AUTO_TEST_CASE(unreachable_upstream_gets_no_requests_until_a_probe_succeeds) {
  auto service = make_placement(listed({"d1", "d1"}));
  service.on_end({"u0"}, {.work = "w", .ended = attempt_outcome::unreachable}, at(0));
  BOOST_TEST(service.is_unreachable({"u0"}));
  BOOST_TEST((service.probes_due(at(1)) == std::vector<upstream_id>{{"u0"}}));
  BOOST_TEST(service.probes_due(at(2)).empty());
  service.on_probe({"u0"}, false, at(250));
  BOOST_TEST(service.probes_due(at(300)).empty());
  BOOST_TEST(service.probes_due(at(600)).size() == 1U);
  std::mt19937_64 random(4);
  for (int i = 0; i < 50; ++i) {
    BOOST_TEST((*service.choose(request_at(610), random()).upstream == upstream_id{"u1"}));
  }
  service.on_probe({"u0"}, true, at(620));
  BOOST_TEST(!service.is_unreachable({"u0"}));
}

// A single missing answer may be the fault of the connection.
BOOST_AUTO_TEST_CASE(two_missing_answers_in_a_row_make_an_upstream_unreachable) {
  auto service = make_placement(listed({"d1"}));
  service.on_end({"u0"}, {.work = "w", .ended = attempt_outcome::silent}, at(0));
  BOOST_TEST(!service.is_unreachable({"u0"}));
  service.on_end({"u0"}, {.work = "w", .ended = attempt_outcome::silent}, at(10));
  BOOST_TEST(service.is_unreachable({"u0"}));
}

BOOST_AUTO_TEST_CASE(request_that_would_be_late_is_refused_with_a_retry_time) {
  auto service = make_placement(listed({"d1"}));
  service.on_sent({"u0"});
  service.on_end({"u0"}, answered(1100, reported_load{6, 60, 6}), at(0));
  auto request = request_at(1);
  request.left = milliseconds(300);
  const auto refused = service.choose(request, 1);
  BOOST_TEST(!refused.upstream.has_value());
  BOOST_TEST((refused.why == placement_refusal::too_late));
  BOOST_TEST((refused.retry_after > milliseconds(100)));
  request.left = seconds(10);
  BOOST_TEST(service.choose(request, 1).upstream.has_value());
}

BOOST_AUTO_TEST_CASE(no_upstream_is_usable_if_the_only_one_is_leaving) {
  auto leaving = listed({"d1"});
  leaving[0].usable = false;
  auto service = make_placement(leaving);
  BOOST_TEST((service.choose(request_at(0), 1).why == placement_refusal::no_usable_upstream));
  service.on_sent({"gone"});  // ignored, as it is not listed any more
  service.on_end({"gone"}, answered(5), at(0));
}

// The list may change between a choice and its use, so observations must be kept by id, not by
// index.
BOOST_AUTO_TEST_CASE(observations_stay_with_their_upstreams_when_the_list_changes) {
  auto service = make_placement(listed({"d1", "d1", "d1"}));
  service.on_end({"u2"}, {.work = "w", .ended = attempt_outcome::unreachable}, at(0));
  auto fewer = listed({"d1", "d1", "d1"});
  fewer.erase(fewer.begin());
  service.set_upstreams(fewer, at(1));
  BOOST_TEST(service.is_unreachable({"u2"}));
  BOOST_TEST(!service.is_unreachable({"u0"}));
  BOOST_TEST((*service.choose(request_at(3), 99).upstream == upstream_id{"u1"}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(key_spaces)

BOOST_AUTO_TEST_CASE(numbers_below_65536_are_keys) {
  BOOST_TEST((parse_numbered_key("0") == 0U));
  BOOST_TEST((parse_numbered_key("65535") == 65535U));
  for (const auto* bad : {"", "65536", "-1", "1.5", "1 ", "0x10", "99999999999999999999"}) {
    BOOST_TEST(!parse_numbered_key(bad).has_value(), bad);
  }
}

BOOST_AUTO_TEST_CASE(find_shard_agrees_with_a_linear_search) {
  std::mt19937 random(5);
  service_row service;
  for (int round = 0; round < 50; ++round) {
    std::set<std::uint32_t> cuts{0};
    for (int i = 0; i < 20; ++i) cuts.insert(random() % numbered_key_count);
    const numbered_keys keys{{cuts.begin(), cuts.end()}};
    for (int i = 0; i < 200; ++i) {
      const std::uint32_t key = random() % numbered_key_count;
      std::uint32_t naive = 0;
      for (std::uint32_t s = 0; s < keys.first_keys.size(); ++s) {
        if (keys.first_keys[s] <= key) naive = s;
      }
      BOOST_TEST_REQUIRE((find_shard(service, keys, std::to_string(key)) == shard_id{naive}));
    }
  }
  BOOST_TEST(!find_shard(service, numbered_keys{}, "5").has_value());
  service.name = {"desk"};
  BOOST_TEST(find_shard(service, hashed_keys{}, "any text").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
