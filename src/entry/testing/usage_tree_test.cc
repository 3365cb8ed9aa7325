#include "entry/usage_tree.h"

#include <boost/test/unit_test.hpp>
#include <memory>

using namespace plantainpaddle;

namespace {

// Instances in three failure domains that exchange reports in rounds, without a network.
struct fleet {
  std::vector<instance_info> list;
  std::map<std::string, std::unique_ptr<instance_directory>> directories;
  std::map<std::string, usage_tree> trees;
  monotonic_time now{};

  explicit fleet(int per_domain) {
    for (const std::string domain : {"a", "b", "c"}) {
      for (int i = 0; i < per_domain; ++i) {
        list.push_back(
            {domain + std::to_string(i), {domain}, "r", "", "", "", "", instance_state::live});
      }
    }
    for (const auto& info : list) {
      auto made = std::make_unique<instance_directory>(instance_id{info.name + "@1"}, info.domain);
      made->set_list(list);
      directories.emplace(info.name, std::move(made));
    }
  }

  void round() {
    now += milliseconds(500);
    for (const auto& info : list) {
      for (const auto& parent : limit_tree_parents(*directories.at(info.name))) {
        const bool same = directories.at(parent)->find(parent)->domain == info.domain;
        const auto answer =
            trees[parent].on_report({info.name + "@1"}, same, trees[info.name].report(now), now);
        trees[info.name].on_answer({parent + "@1"}, same, answer, now);
      }
    }
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(limits_tree)

// After enough rounds every instance knows the exact usage of all others together.
BOOST_AUTO_TEST_CASE(usage_of_others_is_the_sum_of_all_others) {
  for (const int per_domain : {1, 2, 4, 9, 30, 80}) {
    fleet all(per_domain);
    double total = 0;
    std::map<std::string, double> own;
    for (const auto& info : all.list) {
      own[info.name] = static_cast<double>(own.size() % 7 + 1);
      total += own[info.name];
      all.trees[info.name].set_own({{"desk/all", {"t"}, own[info.name]}});
    }
    for (int i = 0; i < 8; ++i) all.round();
    for (const auto& info : all.list) {
      const auto uses = all.trees[info.name].usage_of_others(all.now);
      BOOST_REQUIRE_EQUAL(uses.size(), 1U);
      BOOST_TEST(uses.front().used == total - own[info.name]);
    }
  }
}

BOOST_AUTO_TEST_CASE(reports_of_silent_instances_expire) {
  fleet all(3);
  for (const auto& info : all.list) all.trees[info.name].set_own({{"desk/all", {"t"}, 1}});
  for (int i = 0; i < 4; ++i) all.round();
  all.now += seconds(10);
  for (const auto& info : all.list)
    BOOST_TEST(all.trees[info.name].usage_of_others(all.now).empty());
}

BOOST_AUTO_TEST_SUITE_END()
