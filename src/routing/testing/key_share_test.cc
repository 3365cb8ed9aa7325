// Guards against a single key that fills its owner's slots and queue, so that the requests of the
// owner's other keys are refused or late; and against a limit that refuses anyone without need.
#include "routing/key_share.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <deque>
#include <random>

namespace plantainpaddle {

namespace {

monotonic_time at(std::int64_t ms) { return monotonic_time(milliseconds(1'000'000 + ms)); }

const upstream_id owner{"u1"};

key_share_question question(std::uint64_t key, double load, std::int64_t ms) {
  return {.key = key,
          .owner = owner,
          .load = load,
          .slots = 4,
          .keys_of_owner = 300,
          .service_time = milliseconds(400),
          .now = at(ms)};
}

bool is_refused(const key_share& shares, const key_share_question& asked) {
  return shares.judge(asked).decision.verdict == send_verdict::refuse;
}

// Key 1 with some requests, key 2 with one.
key_share with_hot_key(int requests) {
  key_share shares({});
  for (int i = 0; i < requests; ++i) shares.add(1, owner, at(0));
  shares.add(2, owner, at(0));
  return shares;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(shares_of_keys)

BOOST_AUTO_TEST_CASE(the_busy_key_is_refused_first) {
  const auto shares = with_hot_key(5);
  const auto found = shares.judge(question(1, 4, 0));
  BOOST_TEST((found.decision.verdict == send_verdict::refuse));
  BOOST_TEST((found.decision.reason == send_reason::key_share));
  BOOST_TEST((found.decision.again_in == milliseconds(100)));
  BOOST_TEST(found.of_key == 5);
  BOOST_TEST(found.of_owner == 6);
  BOOST_TEST(!is_refused(shares, question(2, 4, 0)));
  BOOST_TEST(!is_refused(shares, question(2, 19, 0)));
  BOOST_TEST(!is_refused(shares, question(3, 4, 0)));  // never seen
}

BOOST_AUTO_TEST_CASE(with_a_free_slot_nobody_is_refused) {
  BOOST_TEST(!is_refused(with_hot_key(50), question(1, 3.9, 0)));
}

BOOST_AUTO_TEST_CASE(a_key_without_neighbours_may_use_all) {
  const auto shares = with_hot_key(50);
  auto alone = question(1, 12, 0);
  alone.keys_of_owner = 1;
  BOOST_TEST(!is_refused(shares, alone));
}

BOOST_AUTO_TEST_CASE(one_request_is_no_sign_of_a_busy_key) {
  BOOST_TEST(!is_refused(with_hot_key(1), question(1, 10, 0)));
  BOOST_TEST(is_refused(with_hot_key(2), question(1, 10, 0)));
}

// An even load above what the upstreams can serve is no reason to refuse by key.
BOOST_AUTO_TEST_CASE(keys_with_a_small_part_are_not_limited) {
  key_share shares({});
  for (std::uint64_t key = 0; key < 300; ++key) {
    shares.add(key % 100, owner, at(static_cast<std::int64_t>(key)));
  }
  for (std::uint64_t key = 0; key < 100; ++key) {
    BOOST_TEST(!is_refused(shares, question(key, 20, 300)));
  }
}

BOOST_AUTO_TEST_CASE(requests_for_other_upstreams_do_not_count) {
  auto shares = with_hot_key(3);
  for (int i = 0; i < 50; ++i) shares.add(7, {"u2"}, at(0));
  BOOST_TEST(is_refused(shares, question(1, 4, 0)));
  // A key that has moved counts for its new owner.
  shares.add(1, {"u2"}, at(0));
  auto moved = question(1, 4, 0);
  moved.owner = {"u2"};
  BOOST_TEST(!is_refused(shares, moved));
}

BOOST_AUTO_TEST_CASE(a_key_that_has_become_quiet_is_not_limited) {
  const auto shares = with_hot_key(6);
  BOOST_TEST(is_refused(shares, question(1, 4, 1000)));
  BOOST_TEST(!is_refused(shares, question(1, 4, 8000)));
}

BOOST_AUTO_TEST_CASE(memory_is_bounded_and_busy_keys_stay) {
  key_share shares({});
  for (std::uint64_t i = 0; i < 20'000; ++i) {
    shares.add(1'000 + i, {"u2"}, at(static_cast<std::int64_t>(i / 20)));
    if (i % 100 == 0) shares.add(1, owner, at(static_cast<std::int64_t>(i / 20)));
    BOOST_REQUIRE(shares.size() <= key_share_config{}.most_keys);
  }
  BOOST_TEST(is_refused(shares, question(1, 4, 1000)));
}

// An owner of 4 slots and 16 places, whose work takes 470 ms, gets 3 requests a second of 300 keys
// and 100 a second of a single one, from 89 instances which know its load 150 ms late. Without the
// limit, most of the neighbours' requests find the queue full.
BOOST_AUTO_TEST_CASE(neighbours_are_served_beside_a_busy_key) {
  constexpr std::size_t instances = 89;
  constexpr std::size_t most = 20;
  // The first request of each instance is sent, and fills the queue for about 2 s.
  constexpr std::int64_t measured_from = 3000;
  const auto served_share = [&](bool limited) {
    std::mt19937 random(11);
    std::exponential_distribution<double> time_ms(1 / 470.0);
    std::vector<key_share> mine(instances, key_share({}));
    std::vector<std::int64_t> running;  // ends of the requests in the slots
    std::size_t waiting = 0;
    std::deque<double> reported(150, 0);  // the load in each of the last 150 ms
    double asked = 0;
    double served = 0;
    for (std::int64_t ms = 0; ms < 6000; ++ms) {
      std::erase_if(running, [&](std::int64_t end) { return end <= ms; });
      for (; waiting > 0 && running.size() < 4; --waiting) {
        running.push_back(ms + 1 + static_cast<std::int64_t>(time_ms(random)));
      }
      const double known = reported.front();
      reported.pop_front();
      const auto arrive = [&](std::uint64_t key) {
        auto& here = mine[random() % instances];
        here.add(key, owner, at(ms));
        const bool neighbour = key != 1;
        if (neighbour && ms > measured_from) ++asked;
        auto sent = question(key, known, ms);
        if (limited && is_refused(here, sent)) return;
        if (running.size() + waiting >= most) return;
        ++waiting;
        if (neighbour && ms > measured_from) ++served;
      };
      if (random() % 1000 < 3) arrive(2 + random() % 300);
      if (random() % 1000 < 100) arrive(1);
      reported.push_back(static_cast<double>(running.size() + waiting));
    }
    return served / asked;
  };
  BOOST_TEST(served_share(false) < 0.5);
  BOOST_TEST(served_share(true) > 0.9);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
