#include "entry/instance_directory.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpaddle;

namespace {

instance_info info_of(const std::string& name, const std::string& domain) {
  return {name, {domain}, "west", "", "", "", "", instance_state::live};
}

instance_directory directory_of_six() {
  instance_directory directory({"n1@1"}, {"north"});
  directory.set_list({info_of("n1", "north"), info_of("n2", "north"), info_of("n3", "north"),
                      info_of("s1", "south"), info_of("s2", "south"), info_of("s3", "south")});
  return directory;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(directory)

BOOST_AUTO_TEST_CASE(stay_prefers_the_own_domain_and_move_excludes_it) {
  const auto directory = directory_of_six();
  const auto stay = directory.assigner_order("c", {"north"}, isolation_mode::stay);
  BOOST_REQUIRE_EQUAL(stay.size(), 6U);
  for (std::size_t i = 0; i < 3; ++i) BOOST_TEST(stay[i].starts_with('n'));
  const auto move = directory.assigner_order("c", {"north"}, isolation_mode::move);
  BOOST_REQUIRE_EQUAL(move.size(), 3U);
  for (const auto& name : move) BOOST_TEST(name.starts_with('s'));
}

BOOST_AUTO_TEST_CASE(a_restarted_or_unlisted_instance_is_gone) {
  auto directory = directory_of_six();
  BOOST_TEST(!directory.is_gone({"n2@7"}));  // its current id is unknown
  directory.mark_reachable({"n2@7"});
  BOOST_TEST(!directory.is_gone({"n2@7"}));
  directory.mark_reachable({"n2@8"});
  BOOST_TEST(directory.is_gone({"n2@7"}));
  BOOST_TEST(directory.is_gone({"x@1"}));
}

BOOST_AUTO_TEST_CASE(an_instance_is_unreachable_until_it_is_heard_of) {
  auto directory = directory_of_six();
  directory.mark_unreachable("s1");
  BOOST_TEST(directory.is_unreachable("s1"));
  directory.mark_reachable({"s1@3"});
  BOOST_TEST(!directory.is_unreachable("s1"));
}

BOOST_AUTO_TEST_CASE(a_domain_has_two_watchers_and_leaving_instances_are_none) {
  auto directory = directory_of_six();
  const auto before = directory.watchers_of({"south"});
  BOOST_REQUIRE_EQUAL(before.size(), 2U);
  auto list = directory.list();
  for (auto& info : list) {
    if (info.name == before.front()) info.state = instance_state::leaving;
  }
  directory.set_list(list);
  const auto after = directory.watchers_of({"south"});
  BOOST_TEST(after.front() == before.back());
}

BOOST_AUTO_TEST_SUITE_END()
