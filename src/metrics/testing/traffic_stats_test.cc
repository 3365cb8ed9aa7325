#include "metrics/traffic_stats.h"

#include <boost/test/unit_test.hpp>

#include "metrics/metrics.h"

namespace plantainpaddle {

namespace {

bool has(const std::string& text, const std::string& line) {
  return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(traffic_figures)

// Samples that are split over three objects and merged give the same text as samples in one.
BOOST_AUTO_TEST_CASE(merging_changes_nothing) {
  const std::vector<std::string> names{"counter", "order"};
  traffic_stats whole(names);
  std::vector<traffic_stats> parts(3, traffic_stats(names));
  for (std::uint64_t i = 0; i < 300; ++i) {
    const auto tenant = "t" + std::to_string(i % 5);
    const traffic_sample sample{.klass = i % 2,
                                .tenant = tenant,
                                .status = i % 7 == 0 ? 503U : 200U,
                                .outcome = i % 7 == 0 ? "not-run" : "complete",
                                .latency = milliseconds(i * 64),
                                .queued = milliseconds(i),
                                .request_bytes = i * 100,
                                .answer_bytes = i * i * i};
    whole.record(sample);
    parts[i % 3].record(sample);
  }
  traffic_stats sum(names);
  for (const auto& part : parts) sum.merge(part);
  BOOST_TEST(sum.prometheus_text() == whole.prometheus_text());
}

BOOST_AUTO_TEST_CASE(buckets_are_cumulative) {
  traffic_stats stats({"counter"});
  for (const int ms : {1, 3, 40, 400'000}) {
    stats.record(
        {.tenant = "a\"b", .status = 200, .outcome = "complete", .latency = milliseconds(ms)});
  }
  const auto text = stats.prometheus_text();
  const std::string bucket = "plantainpaddle_request_seconds_bucket{class=\"counter\",le=";
  BOOST_TEST(has(text, bucket + "\"0.002\"} 1"));
  BOOST_TEST(has(text, bucket + "\"0.005\"} 2"));
  BOOST_TEST(has(text, bucket + "\"0.05\"} 3"));
  BOOST_TEST(has(text, bucket + "\"300\"} 3"));
  BOOST_TEST(has(text, bucket + "\"+Inf\"} 4"));
  BOOST_TEST(has(text, "plantainpaddle_request_seconds_count{class=\"counter\"} 4"));
  BOOST_TEST(has(text, "plantainpaddle_request_seconds_sum{class=\"counter\"} 400.044"));
  BOOST_TEST(has(text, "plantainpaddle_request_seconds_max{class=\"counter\"} 400"));
  BOOST_TEST(has(text, "plantainpaddle_tenant_request_seconds_count{tenant=\"a\\\"b\"} 4"));
  BOOST_TEST(has(text,
                 "plantainpaddle_requests_total{class=\"counter\",status=\"200\","
                 "outcome=\"complete\"} 4"));
}

BOOST_AUTO_TEST_CASE(tenants_are_bounded) {
  traffic_stats stats({"counter"});
  for (int i = 0; i < 1000; ++i) stats.record({.tenant = "t" + std::to_string(i)});
  BOOST_TEST(stats.tenants() <= traffic_stats::max_tenants);
  const auto text = stats.prometheus_text();
  BOOST_TEST(has(text, "plantainpaddle_tenant_request_seconds_count{tenant=\"other\"} " +
                           std::to_string(1000 - traffic_stats::max_tenants + 1)));
}

BOOST_AUTO_TEST_CASE(sources_are_part_of_the_page) {
  metrics counters;
  const auto id = counters.add_source([] { return std::string("extra 1\n"); });
  BOOST_TEST(has(counters.prometheus_text(), "extra 1"));
  counters.remove_source(id);
  BOOST_TEST(!has(counters.prometheus_text(), "extra 1"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
