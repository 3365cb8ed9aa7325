#include "soak/plan.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <set>

using namespace plantainpaddle;

namespace {

std::string text_of(const soak_plan& plan) {
  std::string text = plan.upstream_settings + std::to_string(plan.entries_per_domain) +
                     std::to_string(plan.upstreams_per_domain);
  for (const auto& event : plan.events) text += describe(event) + "\n";
  return text;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(soak_plans)

BOOST_AUTO_TEST_CASE(a_plan_follows_from_its_seed) {
  std::set<std::string> plans;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    const std::string text = text_of(draw_soak({.seed = seed}));
    BOOST_TEST(text == text_of(draw_soak({.seed = seed})));
    plans.insert(text);
  }
  BOOST_TEST(plans.size() == 50U);
}

BOOST_AUTO_TEST_CASE(all_faults_are_drawn_and_name_processes_that_exist) {
  std::set<std::size_t> kinds;
  std::set<int> signals;
  std::size_t planned = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    const soak_plan plan = draw_soak({.seed = seed});
    if (!plan.unplanned) ++planned;
    for (const auto& event : plan.events) {
      kinds.insert(event.fault.index());
      if (const auto* signal = std::get_if<soak_fault::signal_entry>(&event.fault)) {
        signals.insert(signal->signal);
        BOOST_TEST(signal->entry < 3 * plan.entries_per_domain);
        if (!plan.unplanned) BOOST_TEST((signal->signal == SIGTERM || signal->signal == SIGHUP));
      }
      if (const auto* signal = std::get_if<soak_fault::signal_upstream>(&event.fault)) {
        BOOST_TEST(signal->upstream < 9 * plan.upstreams_per_domain);
      }
    }
  }
  BOOST_TEST(kinds.size() == std::variant_size_v<any_soak_fault>);
  BOOST_TEST((signals == std::set<int>{SIGHUP, SIGTERM, SIGKILL, SIGSTOP, SIGCONT}));
  BOOST_TEST(planned > 10U);
  BOOST_TEST(planned < 40U);
}

BOOST_AUTO_TEST_SUITE_END()
