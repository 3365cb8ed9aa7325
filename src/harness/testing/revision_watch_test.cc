#include "harness/revision_watch.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpaddle;

namespace {

std::string page(const std::string& instance, int table, int term, int revision) {
  return R"({"instance":")" + instance + R"(","tables":{"desk":)" + std::to_string(table) +
         R"(},"cells":[{"cell":"desk/north/0","term":)" + std::to_string(term) + R"(,"revision":)" +
         std::to_string(revision) + "}]}";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(revisions)

BOOST_AUTO_TEST_CASE(only_what_one_life_takes_back_is_counted) {
  revision_check check;
  check.add_page(page("a@1", 5, 2, 7));
  check.add_page(page("a@1", 5, 3, 1));  // a higher term
  check.add_page(page("a@2", 4, 1, 1));  // another life
  check.add_page("");
  check.add_page("not json");
  BOOST_TEST(check.seen().pages == 3U);
  BOOST_TEST(check.seen().reverted == 0U);
  check.add_page(page("a@1", 4, 3, 1));
  BOOST_TEST(check.seen().reverted == 1U);
  check.add_page(page("a@1", 5, 2, 9));
  BOOST_TEST(check.seen().reverted == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
