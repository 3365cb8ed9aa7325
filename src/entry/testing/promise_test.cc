// Tests that a request which an upstream runs is neither told that it hasn't run nor sent again,
// where refusals arrive twice and bodies are cut off.
#include <boost/test/unit_test.hpp>
#include <map>

#include "entry/testing/shared_fixture.h"

namespace plantainpaddle::testing {

namespace {

bool promises_not_run(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// Upstreams that refuse the first arrival of each request, or its first arrival at each of them,
// and run it from then on. The refusal's copy precedes the next response on its connection.
class copying_upstreams {
 public:
  explicit copying_upstreams(bool each_refuses) : each_refuses_(each_refuses) {}

  scripted_upstream::script script(int upstream) {
    return [this, upstream](scripted_connection& side) {
      std::string copy;
      for (auto head = side.read_request(); !head.empty(); head = side.read_request()) {
        const auto id = echo_id(head);
        side.send(std::exchange(copy, ""));
        if (is_refused(upstream, id)) {
          copy = "HTTP/1.1 503 Busy\r\n" + id +
                 "X-Plantainpaddle-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
          side.send(copy);
        } else {
          ++runs;
          std::this_thread::sleep_for(milliseconds(20));
          side.answer("run", id);
        }
      }
    };
  }

  std::atomic<int> runs{0};

 private:
  bool is_refused(int upstream, const std::string& id) {
    const std::lock_guard lock(mutex_);
    return ++arrivals_[{each_refuses_ ? upstream : 0, id}] == 1;
  }

  bool each_refuses_;
  std::mutex mutex_;
  std::map<std::pair<int, std::string>, int> arrivals_;
};

constexpr std::size_t long_body = 4 << 20;

// Sends the head and the beginning of a request whose body is streamed.
void begin_upload(raw_caller& caller) {
  caller.send("POST /stock/1 HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(long_body) +
              "\r\n\r\n" + std::string(100'000, 'x'));
}

// Reads a request's head, as an upstream that begins to work on it before it has the body.
scripted_upstream::script begin_at_head(std::atomic<int>& begun) {
  return [&begun](scripted_connection& side) {
    if (side.read_head().empty()) return;
    ++begun;
    while (side.read_more()) continue;
  };
}

}  // namespace

BOOST_AUTO_TEST_SUITE(promises)

// Guards against a late copy of a refusal that is taken for the response to the next attempt of the
// same request: the request then runs twice, or is refused although it runs.
BOOST_AUTO_TEST_CASE(a_copy_of_a_refusal_isnt_the_response_to_the_next_attempt) {
  for (const std::uint32_t max_attempts : {2U, 3U}) {
    copying_upstreams upstreams(false);
    scripted_upstream upstream(upstreams.script(0));
    shared_fixture shared({upstream.address()}, true);
    shared.desired.routes[0].policy.max_attempts = max_attempts;
    shared.set_idempotent(false);
    shared.set_owner("u0");
    const auto got = shared.caller().ask(request("POST", "r", "x"));
    BOOST_TEST(got.status() == 200);
    BOOST_TEST(upstreams.runs == 1);
  }
}

// Guards against the same where the request goes to another upstream in between.
BOOST_AUTO_TEST_CASE(a_copy_of_a_refusal_isnt_the_response_after_another_upstreams) {
  copying_upstreams upstreams(true);
  scripted_upstream one(upstreams.script(0));
  scripted_upstream two(upstreams.script(1));
  shared_fixture shared({one.address(), two.address()});
  shared.desired.routes[0].policy.max_attempts = 3;
  shared.set_idempotent(false);
  const auto got = shared.caller().ask(request("POST", "r", "x"));
  BOOST_TEST(got.status() == 200);
  BOOST_TEST(upstreams.runs == 1);
}

// Guards against the same where the caller, not the router, sends the request again.
BOOST_AUTO_TEST_CASE(a_copy_of_a_refusal_isnt_the_response_to_a_callers_repetition) {
  copying_upstreams upstreams(false);
  scripted_upstream upstream(upstreams.script(0));
  shared_fixture shared({upstream.address()}, true);
  shared.desired.routes[0].policy.max_attempts = 1;
  shared.set_idempotent(false);
  shared.set_owner("u0");
  auto caller = shared.caller();
  BOOST_TEST(caller.ask(request("POST", "r", "x")).status() == 503);
  BOOST_TEST(upstreams.runs == 0);
  BOOST_TEST(caller.ask(request("POST", "r", "x")).status() == 200);
  BOOST_TEST(upstreams.runs == 1);
}

// Guards against 408 for an upload that an upstream has begun, when the request's deadline passes.
BOOST_AUTO_TEST_CASE(an_upload_that_its_deadline_cuts_gets_no_promise) {
  std::atomic<int> begun{0};
  scripted_upstream upstream(begin_at_head(begun));
  proxy_fixture proxy({upstream.address()});
  proxy.service.routes[0].timeout = milliseconds(300);
  proxy.service.routes[0].body_limit = long_body;
  proxy.publish();
  auto caller = proxy.caller();
  begin_upload(caller);
  const auto got = caller.read_answer();
  BOOST_TEST(begun == 1);
  BOOST_TEST(got.status() >= 400);
  BOOST_TEST(!promises_not_run(got.status()));
  BOOST_TEST(got.has("Plantainpaddle-Outcome: unknown\r\n"));
  BOOST_TEST(!got.has("Retry-After"));
}

// Guards against 408 for an upload that an upstream has begun, when a caller stops sending.
BOOST_AUTO_TEST_CASE(an_upload_that_stalls_gets_no_promise) {
  std::atomic<int> begun{0};
  scripted_upstream upstream(begin_at_head(begun));
  proxy_settings settings;
  settings.limits.body_time = milliseconds(200);
  proxy_fixture proxy({upstream.address()}, settings);
  proxy.service.routes[0].body_limit = long_body;
  proxy.publish();
  auto caller = proxy.caller();
  begin_upload(caller);
  const auto got = caller.read_answer();
  BOOST_TEST(begun == 1);
  BOOST_TEST(got.status() >= 400);
  BOOST_TEST(!promises_not_run(got.status()));
}

// Guards against 408 for an upload that an upstream has begun, when a drain ends.
BOOST_AUTO_TEST_CASE(an_upload_that_the_end_of_a_drain_cuts_gets_no_promise) {
  std::atomic<int> begun{0};
  scripted_upstream upstream(begin_at_head(begun));
  proxy_fixture proxy({upstream.address()});
  proxy.service.routes[0].body_limit = long_body;
  proxy.publish();
  auto caller = proxy.caller();
  begin_upload(caller);
  while (begun == 0) std::this_thread::sleep_for(milliseconds(2));
  proxy.traffic->begin_drain(true);
  proxy.traffic->end_waits();
  const auto got = caller.read_answer();
  BOOST_TEST(got.status() >= 400);
  BOOST_TEST(!promises_not_run(got.status()));
  BOOST_TEST(!got.has("Retry-After"));
}

// Guards against an upload that goes on after the end of a drain, since each byte of it sets its
// deadline anew, and is closed with its connection without a response.
BOOST_AUTO_TEST_CASE(an_upload_under_way_is_answered_at_the_end_of_a_drain) {
  std::atomic<int> begun{0};
  scripted_upstream upstream(begin_at_head(begun));
  proxy_fixture proxy({upstream.address()});
  proxy.service.routes[0].body_limit = std::uint64_t{1} << 40;
  proxy.publish();
  auto caller = proxy.caller();
  caller.send("POST /stock/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000000\r\n\r\n");
  std::atomic<bool> stop{false};
  std::thread sender([&] {
    const std::string piece(2000, 'x');
    while (!stop && caller.send(piece)) std::this_thread::sleep_for(milliseconds(1));
  });
  while (begun == 0) std::this_thread::sleep_for(milliseconds(2));
  proxy.traffic->begin_drain(true);
  const auto ended_at = monotonic_now();
  proxy.traffic->end_waits();
  const auto got = caller.read_answer();
  BOOST_TEST((monotonic_now() - ended_at < seconds(1)));
  BOOST_TEST(got.status() == 504);
  stop = true;
  sender.join();
}

// Guards against an upload that is never sent whole, since a late copy of an earlier response,
// whole or in pieces, or an interim response arrives while it is sent.
BOOST_AUTO_TEST_CASE(an_upload_goes_on_after_a_late_copy_of_another_response) {
  const std::string copy_start = "HTTP/1.1 200 X\r\nContent-Length: 5\r\n";
  const std::vector<std::vector<std::string>> kinds{
      {copy_start + id_header + ": a\r\n\r\nfirst"},
      {copy_start, id_header + ": a\r\n\r\nfi", "rst"},
      {"HTTP/1.1 103 X\r\nA: b\r\n\r\n"}};
  for (const auto& pieces : kinds) {
    std::atomic<std::size_t> received{0};
    scripted_upstream upstream([&](scripted_connection& side) {
      const auto first = side.read_request();
      side.answer("first", echo_id(first));
      const auto head = side.read_head();
      for (const auto& piece : pieces) {
        side.send(piece);
        std::this_thread::sleep_for(milliseconds(30));
      }
      received = side.read_body(head).size();
      if (received == long_body) side.answer("whole", echo_id(head));
    });
    shared_fixture shared({upstream.address()});
    shared.desired.routes[0].row.body_limit = long_body;
    shared.set_idempotent(false);
    auto caller = shared.caller();
    BOOST_TEST(caller.ask(request("POST", "a", "x")).body == "first");
    std::thread sender([&] { caller.send(request("POST", "b", std::string(long_body, 'x'))); });
    BOOST_TEST(caller.read_answer().body == "whole");
    sender.join();
    BOOST_TEST(received == long_body);
  }
}

// Guards against "not-run" from a dispatcher that is relayed after an attempt that may have run.
BOOST_AUTO_TEST_CASE(a_dispatchers_refusal_after_an_unknown_attempt_promises_nothing) {
  std::atomic<int> arrived{0};
  scripted_upstream dispatcher([&](scripted_connection& side) {
    for (auto head = side.read_request(); !head.empty(); head = side.read_request()) {
      if (++arrived == 1) return;  // runs it, and the response is lost
      side.answer("busy", "Plantainpaddle-Outcome: not-run\r\nRetry-After: 1\r\n", 503);
    }
  });
  proxy_fixture entry({"127.0.0.1:1"});
  entry.service.service.dispatch = dispatch_mode::dispatcher;
  entry.service.dispatchers[0] = dispatcher.address();
  entry.publish();
  const auto got = entry.caller().get("/stock/1");
  BOOST_TEST(arrived >= 2);
  BOOST_TEST(got.status() >= 400);
  BOOST_TEST(!promises_not_run(got.status()));
  BOOST_TEST(!got.has("Plantainpaddle-Outcome: not-run"));
  BOOST_TEST(!got.has("Retry-After"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle::testing
