#include "standin/platform.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "http/client.h"
#include "platform/instance_list.h"
#include "platform/store_client.h"

using namespace plantainpaddle;

namespace {

constexpr duration call_timeout = milliseconds(300);

struct fixture {
  boost::asio::io_context io{1};
  platform_standin platform{io.get_executor()};
  std::string address = *platform.listen("127.0.0.1:0");
  std::string control = *platform.listen_control("127.0.0.1:0");
  http_client http{io.get_executor()};
  store_client store{io.get_executor(), {.addresses = {address}, .timeout = call_timeout}};

  template <class Answer, class Start>
  result<Answer> wait(Start start) {
    std::optional<result<Answer>> kept;
    start([&kept](result<Answer> answer) { kept = std::move(answer); });
    while (!kept) io.run_one();
    return *kept;
  }

  result<http_response> call(const std::string& to, http_request request) {
    return wait<http_response>(
        [&](auto done) { http.send(to, std::move(request), call_timeout, done); });
  }

  void fault(const std::string& text) {
    const auto answer = call(control, {"POST", "/control/faults", {}, text});
    BOOST_REQUIRE(answer.has_value());
    BOOST_REQUIRE(answer->status == 200);
    io.poll();
  }

  result<swap_answer> swap(const std::string& key, std::uint64_t expected,
                           const std::string& value) {
    return wait<swap_answer>(
        [&](auto done) { store.compare_and_swap(key, expected, value, done); });
  }

  result<range_answer> range(const std::string& prefix) {
    return wait<range_answer>([&](auto done) { store.range(prefix, done); });
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(platform_standin_calls)

BOOST_FIXTURE_TEST_CASE(only_one_of_two_writers_wins, fixture) {
  const auto first = swap("/a", 0, "one");
  BOOST_REQUIRE(first.has_value());
  BOOST_TEST(first->written);
  const auto second = swap("/a", 0, "two");
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST(!second->written);
  BOOST_TEST(second->value.value_or("") == "one");
  BOOST_TEST(second->version == first->version);
}

BOOST_FIXTURE_TEST_CASE(a_lost_answer_has_taken_effect, fixture) {
  fault(R"({"lose_answers":1})");
  BOOST_TEST(swap("/a", 0, "one").has_error());
  const auto seen = range("/");
  BOOST_REQUIRE(seen.has_value());
  BOOST_REQUIRE(seen->values.size() == 1U);
  BOOST_TEST(seen->values[0].value == "one");
}

BOOST_FIXTURE_TEST_CASE(down_refuses_or_hangs_and_comes_back, fixture) {
  for (const auto* mode : {R"({"down":"refuse"})", R"({"down":"hang"})"}) {
    fault(mode);
    BOOST_TEST(range("/").has_error());
    fault(R"({"down":"no"})");
    BOOST_TEST(range("/").has_value());
  }
}

BOOST_FIXTURE_TEST_CASE(calls_beyond_the_rate_are_refused_unrun, fixture) {
  fault(R"({"writes_per_second":1})");
  int written = 0;
  for (int i = 0; i < 5; ++i) {
    const auto answer = swap("/k" + std::to_string(i), 0, "x");
    written += answer && answer->written ? 1 : 0;
  }
  BOOST_TEST(written >= 1);
  BOOST_TEST(written < 5);
  fault(R"({"writes_per_second":0})");
  BOOST_TEST(range("/k")->values.size() == static_cast<std::size_t>(written));
}

BOOST_FIXTURE_TEST_CASE(watch_tells_changes_and_compaction, fixture) {
  std::vector<std::string> seen;
  bool ended = false;
  const auto begin = [&](std::uint64_t after) {
    return store.watch("/w", after, [&](result<std::vector<watch_event>> events) {
      if (!events) {
        ended = true;
        return;
      }
      for (const auto& event : *events) seen.push_back(event.value.value);
    });
  };
  auto token = begin(1);
  swap("/w/a", 0, "one");
  swap("/other", 0, "no");
  fault(R"({"stale_watch":true})");
  const auto two = swap("/w/b", 0, "two");
  while (seen.empty()) io.run_one();
  BOOST_TEST((seen == std::vector<std::string>{"one"}));
  fault(R"({"stale_watch":false})");
  while (seen.size() < 2) io.run_one();
  BOOST_TEST(seen[1] == "two");
  fault(R"({"compact":)" + std::to_string(two->version) + "}");
  token = begin(1);
  while (!ended) io.run_one();
}

BOOST_FIXTURE_TEST_CASE(a_lapsed_lease_takes_its_keys, fixture) {
  const auto granted = call(address, {"POST", "/v3/lease/grant", {}, R"({"TTL":"60","ID":"7"})"});
  BOOST_REQUIRE(granted->status == 200);
  // "/l" and "x" in base64.
  const auto put =
      call(address, {"POST", "/v3/kv/put", {}, R"({"key":"L2w=","value":"eA==","lease":"7"})"});
  BOOST_REQUIRE(put->status == 200);
  BOOST_TEST(range("/l")->values.size() == 1U);
  fault(R"({"lapse_lease":7})");
  BOOST_TEST(range("/l")->values.empty());
  const auto kept = call(address, {"POST", "/v3/lease/keepalive", {}, R"({"ID":"7"})"});
  BOOST_TEST(kept->body.find(R"("TTL":"0")") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(the_instance_list_lags, fixture) {
  const auto shown = [&] {
    return wait<std::vector<instance_info>>(
               [&](auto done) { fetch_instances(http, address, call_timeout, done); })
        ->size();
  };
  const std::string one = format_instance_list({{.name = "a"}});
  fault(R"({"list_lag_ms":3600000})");
  BOOST_REQUIRE(call(address, {"PUT", "/control/instances", {}, one})->status == 200);
  BOOST_TEST(shown() == 0U);
  fault(R"({"list_lag_ms":0})");
  BOOST_TEST(shown() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
