#include "ownership/key_versions.h"

#include <boost/test/unit_test.hpp>

namespace plantainpaddle {

BOOST_AUTO_TEST_SUITE(versions_of_keys)

BOOST_AUTO_TEST_CASE(a_value_is_new_once) {
  key_versions versions;
  BOOST_TEST(versions.advance("a", 5));
  BOOST_TEST(!versions.advance("a", 5));
  BOOST_TEST(!versions.advance("a", 4));
  BOOST_TEST(versions.advance("a", 6));
  BOOST_TEST(versions.version_of("a") == 6U);
  BOOST_TEST(versions.version_of("b") == 0U);
}

// Guards against changes that are ignored until the day ends, after the store has come back from an
// older copy and gives out the same or lower versions again.
BOOST_AUTO_TEST_CASE(lower_and_equal_versions_are_new_in_another_era) {
  for (const std::uint64_t again : {69U, 70U}) {
    key_versions versions;
    versions.advance("a", 70);
    versions.restart();
    BOOST_TEST(versions.advance("a", again));
    BOOST_TEST(!versions.advance("a", again));
  }
}

BOOST_AUTO_TEST_CASE(a_full_read_shows_which_keys_have_been_removed) {
  key_versions versions;
  versions.advance("x/a", 5);
  versions.advance("x/b", 6);
  versions.advance("x/c", 9);
  versions.advance("y/a", 5);
  const std::set<std::string, std::less<>> present{"x/a"};
  BOOST_TEST(versions.missing("x/", present) == (std::vector<std::string>{"x/b", "x/c"}),
             boost::test_tools::per_element());
  versions.forget_missing("x/", present, 7);  // what was written after the read stays known
  BOOST_TEST(!versions.contains("x/b"));
  BOOST_TEST(versions.contains("x/c"));
  BOOST_TEST(versions.under("x/").size() == 2U);
  BOOST_TEST(versions.contains("y/a"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
