// Guards against keys that are divided by the few requests that the assigner itself sends, and
// against speeds that follow chance, the mix of work, old reports or a faulty report.
#include "ownership/observed_speeds.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

namespace plantainpaddle {

namespace {

monotonic_time at(std::int64_t ms) { return monotonic_time(milliseconds(1'000'000 + ms)); }

}  // namespace

BOOST_AUTO_TEST_SUITE(observed_speeds_of_upstreams)

BOOST_AUTO_TEST_CASE(times_are_relative_to_the_kind_of_work) {
  answer_times mine;
  for (int i = 0; i < 50; ++i) {
    mine.add({"a"}, "short", milliseconds(100));
    mine.add({"b"}, "long", milliseconds(900));
  }
  const auto taken = mine.take();
  BOOST_TEST((taken.at({"a"}) == answer_sample{50, 1}));
  BOOST_TEST((taken.at({"b"}) == answer_sample{50, 1}));
  BOOST_TEST(mine.take().empty());
}

// The load of the large deployment: 216 upstreams whose speeds differ by a factor of 2.3, 89
// instances, some 3 answers a second from each upstream. No instance hears from an upstream more
// than once in several seconds.
BOOST_AUTO_TEST_CASE(many_instances_with_few_answers_each_find_the_speeds) {
  constexpr std::size_t upstreams = 216;
  constexpr std::size_t instances = 89;
  constexpr double fastest = 1.4;
  constexpr double ratio = 2.3;
  std::mt19937 random(3);
  std::exponential_distribution<double> varies(1);
  std::vector<answer_times> mine(instances);
  observed_speeds all;
  const auto slowness = [&](std::size_t i) {
    return std::pow(ratio, static_cast<double>(i) / (upstreams - 1)) / fastest;
  };
  const auto name = [](std::size_t i) { return upstream_id{"u" + std::to_string(i)}; };
  std::int64_t ms = 0;
  for (; ms < 30'000; ms += 500) {
    for (int i = 0; i < 348; ++i) {
      const auto upstream = random() % upstreams;
      const bool is_long = random() % 3 == 0;
      const double usual_ms = is_long ? 750 : 470;
      // Half of the time is fixed, the rest varies by its own mean.
      const double us = usual_ms * 1000 * slowness(upstream) * (0.5 + 0.5 * varies(random));
      mine[random() % instances].add(name(upstream), is_long ? "long" : "usual",
                                     duration(static_cast<duration::rep>(us)));
    }
    for (auto& instance : mine) all.add(instance.take(), at(ms));
  }
  double mean_error = 0;
  for (std::size_t i = 0; i < upstreams; ++i) {
    mean_error += std::abs(all.speed(name(i), at(ms)) * slowness(i) - 1) / upstreams;
  }
  BOOST_TEST(mean_error < 0.15);
  BOOST_TEST(all.speed(name(0), at(ms)) > 1.5 * all.speed(name(upstreams - 1), at(ms)));
}

BOOST_AUTO_TEST_CASE(few_answers_say_little) {
  observed_speeds all;
  BOOST_TEST(all.speed({"a"}, at(0)) == 1);
  all.add({{{"a"}, {1, 3}}}, at(0));
  BOOST_TEST(all.speed({"a"}, at(0)) > 0.85);
  for (int i = 0; i < 50; ++i) all.add({{{"a"}, {4, 3}}}, at(0));
  BOOST_TEST(all.speed({"a"}, at(0)) < 0.4);
}

BOOST_AUTO_TEST_CASE(old_reports_lose_their_weight) {
  observed_speeds all;
  for (int i = 0; i < 50; ++i) all.add({{{"a"}, {4, 2}}}, at(0));
  const double fresh = all.speed({"a"}, at(0));
  BOOST_TEST(fresh < 0.6);
  BOOST_TEST(all.speed({"a"}, at(60'000)) > 0.7);
  BOOST_TEST(all.speed({"a"}, at(300'000)) > 0.99);
  // An upstream that has changed its speed is known by the new one.
  for (int i = 0; i < 80; ++i) all.add({{{"a"}, {2, 0.7}}}, at(60'000 + 500 * i));
  BOOST_TEST(all.speed({"a"}, at(100'000)) > 1.1);
}

BOOST_AUTO_TEST_CASE(one_report_cannot_claim_any_number_of_answers) {
  observed_speeds all;
  for (int i = 0; i < 100; ++i) all.add({{{"a"}, {2, 1}}}, at(0));
  all.add({{{"a"}, {4'000'000'000, 1e9}}}, at(0));
  BOOST_TEST(all.speed({"a"}, at(0)) > 0.4);
  BOOST_TEST(all.weight({"a"}, at(0)) < 300);
}

BOOST_AUTO_TEST_CASE(memory_is_bounded) {
  answer_times mine;
  for (int i = 0; i < 10'000; ++i) {
    mine.add({"u" + std::to_string(i)}, "work" + std::to_string(i % 500), milliseconds(100));
  }
  BOOST_TEST(mine.take().size() <= max_answer_samples);
  observed_speeds all;
  // The oldest ones of little weight make room.
  for (int i = 0; i < 10'000; ++i) {
    all.add({{{"u" + std::to_string(i)}, {1, 1}}}, at(std::int64_t{100} * i));
  }
  BOOST_TEST(all.weight({"u9999"}, at(1'000'000)) > 0.5);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
