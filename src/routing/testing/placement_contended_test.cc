// Placement where upstreams are contended: momentary slowdowns, overflow to other domains, and
// observations of other instances.
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

#include "routing/placement.h"
#include "routing/testing/contended_simulation.h"

namespace plantainpaddle {

namespace {

constexpr std::uint32_t slots = 4;

using contended::at;
using contended::name_of;

placement make_placement(std::size_t local, std::size_t remote, bool contended = true) {
  std::vector<placement_upstream> upstreams;
  for (std::size_t i = 0; i < local + remote; ++i) {
    upstreams.push_back({name_of(i), {i < local ? "d1" : "d2"}, slots});
  }
  placement service({.domain = {"d1"}});
  service.set_contended(contended);
  service.set_upstreams(upstreams, at(0));
  return service;
}

placement_request request_at(std::int64_t ms) {
  return {.work = "w", .left = seconds(2), .now = at(ms)};
}

reported_load load_of(std::uint32_t running, std::uint32_t waiting = 0,
                      std::optional<double> slowdown = {}) {
  return {running, waiting, slots, slowdown};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(placement_contended)

// Guards against an instance that treats upstreams of different speed alike for most of its life,
// as it hears of each only every few seconds.
BOOST_AUTO_TEST_CASE(usual_speeds_are_learnt_from_a_few_answers) {
  placement service({.domain = {"d1"}});
  service.set_contended(true);
  service.set_upstreams({{{"fast"}, {"d1"}, 4}, {{"slow"}, {"d1"}, 4}}, monotonic_time(seconds(1)));
  auto now = monotonic_time(seconds(1));
  for (int i = 0; i < 3; ++i) {
    now += seconds(4);
    for (const auto& [name, ms] : {std::pair{"fast", 130}, std::pair{"slow", 300}}) {
      service.on_sent({name}, now);
      service.on_end({name}, {.work = "w", .latency = milliseconds(ms)}, now);
    }
  }
  BOOST_TEST(service.speed({"fast"}, now) > 1.6 * service.speed({"slow"}, now));
  BOOST_TEST(service.speed({"fast"}, now + seconds(5)) > 1.5 * service.speed({"slow"}, now));
}

// Guards against requests that wait for upstreams which are slowed: a fifth of them at any time, 3
// times, in spans of 400 ms.
BOOST_AUTO_TEST_CASE(slowed_upstreams_are_avoided) {
  contended::scenario load{.load = [](std::int64_t) { return 0.6; }, .slowed = true};
  load.states_slowdown = false;
  const auto without = contended::simulate(load).at(0);
  load.states_slowdown = true;
  const auto with = contended::simulate(load).at(0);
  BOOST_TEST_MESSAGE("slowed share of sends: " << without.sent_to_slowed / without.sent << ", "
                                               << with.sent_to_slowed / with.sent << "; in time: "
                                               << without.in_time() << ", " << with.in_time());
  BOOST_TEST(with.sent_to_slowed / with.sent < 0.5 * without.sent_to_slowed / without.sent);
  BOOST_TEST(with.in_time() > without.in_time());
}

// Guards against a change of the choice where nothing asked for it.
BOOST_AUTO_TEST_CASE(without_contention_a_stated_slowdown_changes_nothing) {
  auto plain = make_placement(4, 4, false);
  auto stated = make_placement(4, 4, false);
  std::mt19937_64 random(4);
  for (int i = 0; i < 2000; ++i) {
    const auto point = random();
    const auto chosen = plain.choose(request_at(i), point);
    const auto other = stated.choose(request_at(i), point);
    BOOST_REQUIRE((chosen.upstream == other.upstream && chosen.expected == other.expected));
    plain.on_sent(*chosen.upstream);
    stated.on_sent(*chosen.upstream, at(i));
    attempt_report report{.work = "w", .latency = milliseconds(50 + random() % 100)};
    report.load = load_of(static_cast<std::uint32_t>(random() % 6));
    plain.on_end(*chosen.upstream, report, at(i + 1));
    report.load->slowdown = 3;
    stated.on_end(*chosen.upstream, report, at(i + 1));
  }
}

// Guards against a herd: the upstream that looks best must not get the requests of all instances.
BOOST_AUTO_TEST_CASE(requests_are_spread_over_several_upstreams) {
  auto service = make_placement(12, 0);
  for (std::size_t i = 0; i < 12; ++i) {
    service.observe(name_of(i), {load_of(i == 0 ? 0 : 4), milliseconds(1)}, at(0));
  }
  std::mt19937_64 random(5);
  std::map<upstream_id, int> chosen;
  for (int i = 0; i < 1000; ++i) ++chosen[*service.choose(request_at(1), random()).upstream];
  BOOST_TEST(chosen[name_of(0)] < 500);
  BOOST_TEST(chosen[name_of(0)] > 150);
}

// Guards against requests that wait in a busy domain while another has free slots, and against
// traffic between domains that saves nothing.
BOOST_AUTO_TEST_CASE(overflow_starts_with_the_wait_and_ends_with_it) {
  auto service = make_placement(6, 6);
  std::mt19937_64 random(6);
  const auto remote_of = [&](std::int64_t now) {
    int remote = 0;
    for (int i = 0; i < 200; ++i) {
      const auto chosen = *service.choose(request_at(now), random()).upstream;
      remote += std::stoul(chosen.value.substr(1)) >= 6 ? 1 : 0;
    }
    return remote;
  };
  const auto observe_all = [&](std::int64_t now, std::uint32_t local, std::uint32_t remote) {
    for (std::size_t i = 0; i < 12; ++i) {
      const auto load = i < 6 ? local : remote;
      service.observe(name_of(i),
                      {load_of(std::min(slots, load), load - std::min(slots, load)), {}}, at(now));
    }
  };
  observe_all(10, 3, 0);
  BOOST_TEST(remote_of(10) == 0);
  observe_all(20, 7, 1);
  BOOST_TEST(remote_of(20) == 200);
  observe_all(30, 7, 7);
  BOOST_TEST(remote_of(30) == 0);
}

// Guards against requests that are counted twice: as sent by this instance, and in a later report.
BOOST_AUTO_TEST_CASE(a_report_of_others_contains_what_was_sent_before) {
  auto service = make_placement(2, 0);
  service.observe(name_of(0), {load_of(1), milliseconds(0)}, at(0));
  service.on_sent(name_of(0), at(10));
  service.observe(name_of(0), {load_of(2), milliseconds(5)}, at(20));
  BOOST_TEST(service.load(name_of(0), at(20)) < 2.1);
  service.on_sent(name_of(0), at(30));
  service.observe(name_of(0), {load_of(2), milliseconds(10)}, at(35));
  BOOST_TEST(service.load(name_of(0), at(35)) > 2.5);
  BOOST_TEST(service.heard_since(at(0), at(35)).empty());
}

// Guards against old reports that replace newer ones.
BOOST_AUTO_TEST_CASE(own_reports_are_handed_out_once_and_only_the_latest) {
  auto service = make_placement(2, 0);
  service.on_end(name_of(1), {.work = "w", .latency = milliseconds(9), .load = load_of(3)}, at(40));
  const auto heard = service.heard_since(at(30), at(50));
  BOOST_REQUIRE(heard.size() == 1U);
  BOOST_TEST((heard[0].second == upstream_observation{load_of(3), milliseconds(10)}));
  BOOST_TEST(service.heard_since(at(40), at(50)).empty());
  service.observe(name_of(1), {load_of(1), milliseconds(20)}, at(50));
  BOOST_TEST(service.heard_since(at(30), at(50)).size() == 1U);
  service.observe(name_of(1), {load_of(1), milliseconds(5)}, at(50));
  BOOST_TEST(service.heard_since(at(30), at(50)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
