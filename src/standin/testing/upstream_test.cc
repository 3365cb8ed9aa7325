#include "standin/upstream.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "http/client.h"
#include "standin/answer_body.h"
#include "standin/journal.h"
#include "upstream/grant_codec.h"

using namespace plantainpaddle;

namespace {

struct fixture {
  explicit fixture(upstream_options options = {.name = "u1", .slots = 1, .queue = 1})
      : upstream(io.get_executor(), std::move(options)) {}
  boost::asio::io_context io{1};
  upstream_standin upstream;
  std::string address = *upstream.listen("127.0.0.1:0");
  http_client http{io.get_executor()};
  std::uint64_t life = 0;
  std::uint64_t nonce = 0;

  using answers = std::vector<result<http_response>>;

  void send(http_request request, answers& to, duration timeout = seconds(5)) {
    http.send(
        address, std::move(request), timeout,
        [&to](result<http_response> answer) { to.push_back(std::move(answer)); }, true);
  }
  void wait(const answers& to, std::size_t count) {
    while (to.size() < count) io.run_one();
  }
  http_response call(http_request request) {
    answers got;
    send(std::move(request), got);
    wait(got, 1);
    BOOST_REQUIRE(got[0].has_value());
    return *got[0];
  }

  grant_answer grant(duration length, std::vector<shard_grant> set) {
    grant_order order{.cell = make_cell(),
                      .term = {1},
                      .assigner = {"a@1"},
                      .life = life,
                      .nonce = nonce,
                      .length = length,
                      .digest = digest_of(set)};
    order.set = std::move(set);
    const auto answer = call({"POST", std::string(grant_target), {}, format_grant_order(order)});
    const auto parsed = parse_grant_answer(answer.body);
    BOOST_REQUIRE(parsed.has_value());
    life = parsed->life;
    nonce = parsed->nonce;
    return *parsed;
  }
  static cell_id make_cell() { return {"desk/north/0"}; }

  static http_request work(const std::string& id, std::uint64_t fence, int busy_us) {
    return {"GET",
            "/stock/1",
            {{std::string(request_id_header), id},
             {std::string(shard_header), "1"},
             {std::string(fence_header), std::to_string(fence)},
             {std::string(standin_busy_header), std::to_string(busy_us)}},
            ""};
  }

  std::vector<run_record> runs() {
    const auto read = parse_journal(call({"GET", "/control/journal", {}, ""}).body);
    BOOST_REQUIRE(read.has_value());
    return *read;
  }
};

struct unchecked_fixture : fixture {
  unchecked_fixture() : fixture({.name = "u1", .slots = 1, .queue = 1, .check_fence = false}) {}
};

// Nothing listens where it registers itself.
struct registered_fixture : fixture {
  registered_fixture() : fixture({.name = "u1", .service = "s", .registry = "127.0.0.1:1"}) {}
};

constexpr int long_busy_us = 30'000'000;

}  // namespace

BOOST_AUTO_TEST_SUITE(upstream)

BOOST_FIXTURE_TEST_CASE(only_the_granted_fence_runs, fixture) {
  BOOST_TEST(call(work("a", 7, 0)).status == 421U);
  grant(seconds(10), {});
  BOOST_TEST((grant(seconds(10), {{{1}, {7}}}).status == grant_status::accepted));
  BOOST_TEST(call(work("b", 6, 0)).status == 421U);
  const auto answer = call(work("c", 7, 0));
  BOOST_TEST(answer.status == 200U);
  const auto head = parse_answer_head(answer.body);
  BOOST_REQUIRE(head.has_value());
  BOOST_TEST(head->id == "c");
  BOOST_REQUIRE(runs().size() == 1U);
  BOOST_TEST(runs()[0].id == "c");
  BOOST_TEST(runs()[0].service == "desk");
  grant(seconds(10), {});
  BOOST_TEST(call(work("d", 7, 0)).status == 421U);
}

BOOST_FIXTURE_TEST_CASE(a_registered_upstream_states_its_id, registered_fixture) {
  const std::string id_header = "X-Plantainpaddle-Instance-Id";
  const http_request misdirected{
      "GET",
      "/stock/1",
      {{"X-Plantainpaddle-Request-Id", "r"}, {"X-Plantainpaddle-Expect-Instance", "another"}},
      ""};
  const auto refused = call(misdirected);
  BOOST_TEST(refused.status == 421U);
  BOOST_TEST(find_header(refused.headers, id_header) == "u1");
  BOOST_TEST(!find_header(refused.headers, "X-Plantainpaddle-Not-Executed").empty());
  const http_request check{"GET", "/healthz", {}, ""};
  BOOST_TEST(call(check).status == 200U);
  BOOST_TEST(find_header(call(check).headers, id_header) == "u1");
  call({"POST", "/control/settings", {}, R"({"drain":true})"});
  const auto leaving = call(check);
  BOOST_TEST(leaving.status == 503U);
  BOOST_TEST(find_header(leaving.headers, id_header) == "u1");
  BOOST_TEST(find_header(leaving.headers, "Connection") == "close");
}

BOOST_FIXTURE_TEST_CASE(work_stops_when_its_grant_ends, fixture) {
  grant(seconds(10), {});
  grant(milliseconds(200), {{{1}, {7}}});
  const auto answer = call(work("a", 7, long_busy_us));
  BOOST_TEST(answer.status == 504U);
  BOOST_TEST(find_header(answer.headers, outcome_header) == "unknown");
  const auto ran = runs();
  BOOST_REQUIRE(ran.size() == 1U);
  BOOST_TEST((ran[0].how == run_end::stopped));
  BOOST_TEST((*ran[0].end - ran[0].start <= milliseconds(200)));
  BOOST_TEST(call(work("b", 7, 0)).status == 421U);
}

// As after a stop and continue of the process: the caller has gone and the grant has ended by the
// time that the run wakes.
BOOST_FIXTURE_TEST_CASE(a_run_that_wakes_late_ends_with_its_grant, fixture) {
  grant(seconds(10), {});
  grant(milliseconds(200), {{{1}, {7}}});
  answers got;
  send(work("a", 7, long_busy_us), got, milliseconds(100));
  while (io.run_one_for(milliseconds(50)) > 0) {
  }
  std::this_thread::sleep_for(milliseconds(300));
  wait(got, 1);
  const auto ran = runs();
  BOOST_REQUIRE(ran.size() == 1U);
  BOOST_TEST((ran[0].how != run_end::complete));
  BOOST_TEST((*ran[0].end - ran[0].start <= milliseconds(200)));
}

BOOST_FIXTURE_TEST_CASE(more_than_slots_and_queue_is_refused_unrun, unchecked_fixture) {
  answers got;
  for (const auto* id : {"a", "b"}) send(work(id, 1, 100'000), got);
  while (call({"GET", "/control/counters", {}, ""}).body.find(R"("queued":1)") ==
         std::string::npos) {
  }
  const auto third = call(work("c", 1, 0));
  BOOST_TEST(third.status == 503U);
  BOOST_TEST(find_header(third.headers, outcome_header) == "not-run");
  wait(got, 2);
  BOOST_TEST(got[0]->status == 200U);
  BOOST_TEST(got[1]->status == 200U);
  const auto ran = runs();
  BOOST_REQUIRE(ran.size() == 2U);
  BOOST_TEST((ran[1].start >= *ran[0].end));
}

BOOST_FIXTURE_TEST_CASE(a_caller_that_goes_away_frees_the_slot, unchecked_fixture) {
  answers got;
  send(work("a", 1, long_busy_us), got, milliseconds(100));
  wait(got, 1);
  BOOST_TEST(got[0].has_error());
  BOOST_TEST(call(work("b", 1, 0)).status == 200U);
  BOOST_TEST((runs()[0].how == run_end::cancelled));
}

BOOST_FIXTURE_TEST_CASE(deadline_drain_and_settings, unchecked_fixture) {
  http_request late = work("a", 1, long_busy_us);
  late.headers.push_back({std::string(deadline_header), "50"});
  const auto answer = call(late);
  BOOST_TEST(answer.status == 504U);
  BOOST_TEST(find_header(answer.headers, outcome_header) == "unknown");
  BOOST_TEST(call({"POST", "/control/settings", {}, R"({"drain":true})"}).status == 200U);
  BOOST_TEST(find_header(call(work("b", 1, 0)).headers, outcome_header) == "not-run");
  BOOST_TEST(grant(seconds(1), {}).load.draining);
  BOOST_TEST(call({"POST", "/control/settings", {}, R"({"no_such":1})"}).status == 400U);
}

BOOST_FIXTURE_TEST_CASE(bodies_are_checked_and_answered, unchecked_fixture) {
  http_request request = work("big", 1, 0);
  request.method = "PUT";
  request.body.resize(300'000);
  fill_pattern(pattern_seed("big"), 0, request.body.data(), request.body.size());
  request.headers.push_back({std::string(standin_size_header), "200000"});
  const auto answer = call(request);
  const auto end = answer.body.find('\n');
  const auto head = parse_answer_head(answer.body.substr(0, end));
  BOOST_REQUIRE(head.has_value());
  BOOST_TEST(head->received == 300'000U);
  running_checksum checksum;
  checksum.add(request.body);
  BOOST_TEST(head->checksum == checksum.value());
  std::string pattern(200'000, ' ');
  fill_pattern(pattern_seed("big"), 0, pattern.data(), pattern.size());
  BOOST_TEST((answer.body.substr(end + 1) == pattern));
}

BOOST_AUTO_TEST_CASE(a_hold_ends_with_a_release_or_the_next_process) {
  const std::string lines = R"({"event":"open","upstream":"u","t":1}
{"event":"grant","upstream":"u","service":"s","first":0,"last":99,"fence":3,"t":10,"until":100}
{"event":"release","first":40,"last":59,"t":20}
{"event":"open","upstream":"u","t":50}
)";
  const auto read = parse_holds(lines);
  BOOST_REQUIRE(read.has_value());
  const auto hold = [](std::uint32_t first, std::uint32_t last, int until) {
    return hold_record{"u", "s", first, last, 3, duration(10), duration(until)};
  };
  const std::vector<hold_record> wanted{hold(40, 59, 20), hold(0, 39, 50), hold(60, 99, 50)};
  BOOST_TEST((*read == wanted));
}

BOOST_AUTO_TEST_CASE(a_cut_journal_is_read_up_to_the_cut) {
  const auto read = parse_journal(
      "{\"event\":\"open\",\"upstream\":\"u\"}\n"
      "{\"event\":\"start\",\"run\":0,\"upstream\":\"u\",\"id\":\"a\",\"service\":\"s\",\"shard\":"
      "1,"
      "\"fence\":2,\"fenced\":true,\"arrived\":4,\"t\":5}\n{\"event\":\"end\",\"ru");
  BOOST_REQUIRE(read.has_value());
  BOOST_REQUIRE(read->size() == 1U);
  BOOST_TEST((read->front().arrived == duration(4)));
  BOOST_TEST(!read->front().end.has_value());
  BOOST_TEST(
      parse_journal("{\"event\":\"end\",\"run\":3,\"how\":\"complete\",\"t\":5}\n").has_error());
}

BOOST_AUTO_TEST_SUITE_END()
