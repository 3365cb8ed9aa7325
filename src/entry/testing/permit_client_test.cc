// The messages by which instances ask each other for permits, and the limits in load reports.
#include "entry/permit_client.h"

#include <boost/test/unit_test.hpp>

#include "entry/load_report.h"

namespace plantainpaddle::testing {

BOOST_AUTO_TEST_SUITE(permit_messages)

BOOST_AUTO_TEST_CASE(messages_read_back_as_they_were_written) {
  const permit_request request{{"desk-1"}, 14.9, milliseconds(3), milliseconds(120)};
  const auto read = parse_permit_request(format_permit_request(request));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((*read == request));
  const permit_decision decision{true, milliseconds(7)};
  const auto answer = parse_permit_decision(format_permit_decision(decision));
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST((*answer == decision));
  const load_report_message report{{"desk"},  "10.1.0.18:7200",     {1, 3, 9},
                                   {{17, 3}}, {{{"desk-1"}, 14.5}}, {{{"desk-2"}, 1764942000123}}};
  const auto reported = parse_load_report(format_load_report(report));
  BOOST_REQUIRE(reported.has_value());
  BOOST_TEST((*reported == report));
}

// Guards against a message of another writer that makes an instance issue without a limit.
BOOST_AUTO_TEST_CASE(malformed_messages_are_refused) {
  for (const char* text :
       {"", "{}", R"({"upstream":"a","rate":0,"age_us":0,"wait_us":0})",
        R"({"upstream":"a","rate":-4,"age_us":0,"wait_us":0})",
        R"({"upstream":"a","rate":1e9,"age_us":0,"wait_us":0})",
        R"({"upstream":"a","rate":4,"age_us":-1,"wait_us":0})", R"({"upstream":"a","rate":4})"}) {
    BOOST_TEST(!parse_permit_request(text).has_value(), text);
  }
  for (const char* text : {"", "{}", R"({"granted":1,"wait_us":0})", R"({"granted":true})"}) {
    BOOST_TEST(!parse_permit_decision(text).has_value(), text);
  }
  const auto with = [](const std::string& field, const std::string& pairs) {
    return R"({"service":"d","address":"a","known":[0,1,2],"keys":[],")" + field + "\":" + pairs +
           "}";
  };
  for (const char* field : {"limits", "leaving"}) {
    BOOST_TEST(parse_load_report(with(field, R"([["u",4]])")).has_value());
    for (const char* pairs : {R"([["u",0]])", R"([["u",-1]])", R"([["u"]])", R"([[1,4]])", "[4]"}) {
      BOOST_TEST(!parse_load_report(with(field, pairs)).has_value(), field << pairs);
    }
  }
  BOOST_TEST(!parse_load_report(with("leaving", R"([["u",4.5]])")).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle::testing
