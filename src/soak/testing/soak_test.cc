// Runs of the soak against real processes, with the seeds that have failed.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <iostream>

#include "soak/plan.h"
#include "soak/run.h"

using namespace plantainpaddle;

namespace {

constexpr const char* copied_refusal =
    "REFUSED, TWICE: the copy of a refusal was taken for the response to the next attempt";
constexpr const char* second_signal =
    "LOST: a second SIGTERM closed connections whose requests were at work";

constexpr const char* closed_window =
    "LOST: an upload that its upstream didn't read for a while was broken off; suspected cause: "
    "TCP_USER_TIMEOUT also ends connections whose window stays closed";

struct known_seed {
  std::uint64_t seed;
  duration length;
  const char* cause;
};

constexpr known_seed copy_seeds[] = {
    {3, seconds(12), copied_refusal},
    {13, seconds(12), copied_refusal},
};

constexpr known_seed signal_seeds[] = {
    {4, seconds(12), second_signal},
    {10, seconds(12), second_signal},
    {14, seconds(12), second_signal},
};

constexpr known_seed further_seeds[] = {
    {11, seconds(12), second_signal},  {4, seconds(20), second_signal},
    {5, seconds(20), copied_refusal},  {7, seconds(20), copied_refusal},
    {10, seconds(20), second_signal},  {11, seconds(20), copied_refusal},
    {12, seconds(20), copied_refusal}, {101, seconds(20), second_signal},
    {102, seconds(20), second_signal}, {103, seconds(20), second_signal},
    {104, seconds(20), second_signal}, {105, seconds(20), second_signal},
    {209, seconds(12), closed_window},
};

std::ostream& operator<<(std::ostream& out, const known_seed& known) {
  return out << known.seed << ", " << known.length / seconds(1) << " s (" << known.cause << ")";
}

void play(const known_seed& known) {
  const std::string folder =
      (std::filesystem::temp_directory_path() /
       ("plantainpaddle-soak-" + std::to_string(getpid()) + "-" + std::to_string(known.seed)))
          .string();
  const soak_plan plan = draw_soak({.seed = known.seed, .length = known.length});
  const auto verdict = play_soak(plan, PLANTAINPADDLE_BIN_DIR, folder);
  BOOST_REQUIRE_MESSAGE(verdict.has_value(), (verdict ? "" : to_string(verdict.error())));
  std::cerr << "seed " << known << ": " << verdict->complete << " of " << verdict->requests
            << " complete, " << verdict->around_stops << " around planned stops\n";
  for (const auto& finding : verdict->findings) std::cerr << finding << '\n';
  BOOST_TEST(verdict->clean(), "logs in " << folder);
  if (verdict->clean()) std::filesystem::remove_all(folder);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(soak_runs)

// Guards against requests that run although they were refused, or run twice.
BOOST_DATA_TEST_CASE(copies_of_refusals, boost::unit_test::data::make(copy_seeds), known) {
  play(known);
}

// Guards against requests that are cut off at a second SIGTERM.
BOOST_DATA_TEST_CASE(signals_in_series, boost::unit_test::data::make(signal_seeds), known) {
  play(known);
}

BOOST_AUTO_TEST_SUITE_END()

// By hand: soak_test --run_test=further_soak_runs. CI takes no more than two minutes for the soak.
BOOST_AUTO_TEST_SUITE(further_soak_runs, *boost::unit_test::disabled())

BOOST_DATA_TEST_CASE(seeds_that_failed, boost::unit_test::data::make(further_seeds), known) {
  play(known);
}

BOOST_AUTO_TEST_SUITE_END()
