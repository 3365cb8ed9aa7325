#include "apps/why.h"

#include <boost/test/unit_test.hpp>

namespace plantainpaddle {

BOOST_AUTO_TEST_SUITE(why)

BOOST_AUTO_TEST_CASE(finds_the_request_and_what_was_known_of_its_upstream) {
  const std::string found =
      R"({"time":"t1","message":"upstream found","instance":"e1","upstream":"u1"})";
  const std::string left =
      R"({"time":"t3","message":"upstream leaves","instance":"e1","upstream":"u1"})";
  const std::string other =
      R"({"time":"t3","message":"upstream gone","instance":"e2","upstream":"u1"})";
  const std::string attempt =
      R"({"time":"t4","message":"attempt failed","instance":"e1","request":"r1","upstream":"u1"})";
  const std::string end = R"({"time":"t5","message":"request","instance":"e1","request":"r1"})";
  const std::string later =
      R"({"time":"t6","message":"upstream gone","instance":"e1","upstream":"u1"})";
  const std::string others = R"({"time":"t4","message":"request","instance":"e1","request":"r2"})";
  const auto told = explain_request(
      {end, later, "  4.1 e1 " + attempt, found, left, other, "no json", others}, "r1");
  BOOST_TEST((told.told == std::vector<std::string>{attempt, end}));
  BOOST_TEST((told.beliefs == std::vector<std::string>{left}));
  BOOST_TEST(told.unreadable == 1U);
  BOOST_TEST(explain_request({found}, "r9").told.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
