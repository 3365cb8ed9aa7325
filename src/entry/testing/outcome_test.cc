// Tests the outcome that callers are told when upstreams fail (complete, not-run or unknown), and
// that no request which may have run is sent again.
#include <boost/test/unit_test.hpp>

#include "entry/testing/proxy_fixture.h"

namespace plantainpaddle::testing {

namespace {

constexpr std::string_view post =
    "POST /stock/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi";

bool has_outcome(const answer& got, std::string_view outcome) {
  return got.has("Plantainpaddle-Outcome: " + std::string(outcome) + "\r\n");
}

proxy_settings with_first_byte_timeout(duration bound) {
  proxy_settings settings;
  settings.limits.first_byte_timeout.fill(bound);
  return settings;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(proxy_outcomes)

BOOST_AUTO_TEST_CASE(a_body_cut_off_never_looks_complete) {
  for (const bool chunked : {false, true}) {
    scripted_upstream upstream([&](scripted_connection& connection) {
      connection.read_request();
      connection.send(chunked
                          ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
                          : "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello");
    });
    proxy_fixture proxy({upstream.address()});
    auto caller = proxy.caller();
    const auto got = caller.get("/stock/1");
    BOOST_TEST(got.status() == 200);
    BOOST_TEST(got.body == "hello");
    BOOST_TEST(!got.whole);
    BOOST_TEST(caller.at_end());
  }
}

// Guards against answers whose folded fields reach the caller with bytes of other memory in them.
BOOST_AUTO_TEST_CASE(a_folded_field_reaches_the_caller_on_one_line) {
  scripted_upstream upstream([](scripted_connection& connection) {
    for (int i = 0; i < 2; ++i) {
      connection.read_request();
      connection.send(
          "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nStamp: first\r\n \r\n second\r\n\r\n");
      connection.send("hello");
    }
  });
  proxy_fixture proxy({upstream.address()});
  auto caller = proxy.caller();
  for (int i = 0; i < 2; ++i) {
    const auto got = caller.get("/stock/1");
    BOOST_TEST(got.status() == 200);
    BOOST_TEST(got.body == "hello");
    BOOST_TEST(got.has("\r\nStamp: first      second\r\n"));
  }
}

BOOST_AUTO_TEST_CASE(an_answer_without_a_length_is_invalid) {
  scripted_upstream upstream([](scripted_connection& connection) {
    connection.read_request();
    connection.send("HTTP/1.1 200 OK\r\n\r\nhello");
  });
  proxy_fixture proxy({upstream.address()});
  const auto got = proxy.caller().ask(post);
  BOOST_TEST(got.status() == 502);
  BOOST_TEST(has_outcome(got, "unknown"));
}

BOOST_AUTO_TEST_CASE(a_post_that_may_have_run_is_not_sent_again) {
  std::atomic<int> received{0};
  scripted_upstream upstream([&](scripted_connection& connection) {
    if (!connection.read_request().empty()) ++received;
  });
  proxy_fixture proxy({upstream.address()});
  auto caller = proxy.caller();
  const auto got = caller.ask(post);
  BOOST_TEST(got.status() == 502);
  BOOST_TEST(has_outcome(got, "unknown"));
  BOOST_TEST(got.body.find(R"("step":"read-answer")") != std::string::npos);
  BOOST_TEST(received == 1);
  BOOST_TEST(caller.ask(post).status() == 502);  // the caller's connection stays open
}

BOOST_AUTO_TEST_CASE(a_refusal_after_an_attempt_that_may_have_run_is_unknown) {
  scripted_upstream upstream([](scripted_connection& connection) {
    if (connection.read_request().empty() || connection.number == 0) return;
    connection.send(
        "HTTP/1.1 503 Busy\r\nPlantainpaddle-Outcome: not-run\r\nContent-Length: 0\r\n\r\n");
  });
  proxy_fixture proxy({upstream.address()});
  const auto got = proxy.caller().get("/stock/1");
  BOOST_TEST(got.status() >= 500);
  BOOST_TEST(has_outcome(got, "unknown"));
}

BOOST_AUTO_TEST_CASE(a_request_before_the_first_table_gets_503_not_404) {
  proxy_fixture proxy({});
  proxy.traffic->set_snapshot(std::make_shared<routing_snapshot>());
  const auto got = proxy.caller().get("/stock/1");
  BOOST_TEST(got.status() == 503);
  BOOST_TEST(has_outcome(got, "not-run"));
}

BOOST_AUTO_TEST_CASE(a_failed_get_is_sent_again) {
  scripted_upstream upstream([](scripted_connection& connection) {
    if (connection.read_request().empty() || connection.number == 0) return;
    connection.answer("second");
  });
  proxy_fixture proxy({upstream.address()});
  const auto got = proxy.caller().get("/stock/1");
  BOOST_TEST(got.body == "second");
  BOOST_TEST(has_outcome(got, "complete"));
}

BOOST_AUTO_TEST_CASE(once_and_idempotent_of_the_route_decide_on_retries) {
  for (const bool once : {false, true}) {
    std::atomic<int> received{0};
    scripted_upstream upstream([&](scripted_connection& connection) {
      if (connection.read_request().empty() || ++received == 1) return;
      connection.answer("second");
    });
    proxy_fixture proxy({upstream.address()});
    proxy.service.routes[0].once = once;
    proxy.service.routes[0].idempotent = !once;
    proxy.publish();
    const auto got = once ? proxy.caller().get("/stock/1") : proxy.caller().ask(post);
    BOOST_TEST(got.status() == (once ? 502 : 200));
    BOOST_TEST(received == (once ? 1 : 2));
  }
}

// The upstream closes the kept connection while it is idle, or just when a request is sent on it.
BOOST_AUTO_TEST_CASE(a_post_on_a_closing_kept_connection_runs_at_most_once) {
  std::atomic<int> received{0};
  scripted_upstream upstream([&](scripted_connection& connection) {
    connection.read_request();
    ++received;
    connection.answer("ok");
  });
  proxy_fixture proxy({upstream.address()});
  auto caller = proxy.caller();
  for (int i = 0; i < 20; ++i) {
    const auto got = caller.ask(post);
    if (got.status() == 200) continue;
    BOOST_TEST(has_outcome(got, "unknown"));  // it was sent on a connection that was being closed
    BOOST_TEST(got.status() == 502);
  }
  BOOST_TEST(received <= 20);
}

BOOST_AUTO_TEST_CASE(a_refused_connection_is_not_run) {
  std::string address;
  {
    scripted_upstream gone(scripted_upstream::echo);
    address = gone.address();
  }
  proxy_fixture proxy({address});
  proxy.service.routes[0].timeout = milliseconds(200);
  proxy.publish();
  const auto got = proxy.caller().ask(post);
  BOOST_TEST(got.status() == 503);
  BOOST_TEST(has_outcome(got, "not-run"));
  BOOST_TEST(got.body.find(R"("step":"connect")") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_request_for_a_moved_shard_follows_its_new_owner) {
  std::atomic<int> refused{0};
  scripted_upstream old_owner([&](scripted_connection& connection) {
    while (!connection.read_request().empty()) {
      ++refused;
      connection.answer("not mine", "", 421);
    }
  });
  scripted_upstream new_owner(scripted_upstream::echo);
  proxy_fixture proxy({old_owner.address(), new_owner.address()});
  for (auto& target : proxy.service.shards) target.upstream = 0;
  proxy.publish();
  auto caller = proxy.caller();
  caller.send(post);
  while (refused == 0) std::this_thread::yield();
  for (auto& target : proxy.service.shards) target = {1, fence_number{8}};
  proxy.publish();
  const auto got = caller.read_answer();
  BOOST_TEST(got.body == "POST /stock/1 hi");
  BOOST_TEST(has_outcome(got, "complete"));
}

BOOST_AUTO_TEST_CASE(a_request_waits_for_an_owner_until_its_deadline) {
  scripted_upstream upstream(scripted_upstream::echo);
  proxy_fixture proxy({upstream.address()});
  for (auto& target : proxy.service.shards) target.upstream = shard_target::no_upstream;
  proxy.service.routes[0].timeout = milliseconds(100);
  proxy.publish();
  const auto late = proxy.caller().ask(post);
  BOOST_TEST(late.status() == 503);
  BOOST_TEST(has_outcome(late, "not-run"));
  BOOST_TEST(late.body.find(R"("step":"ownership")") != std::string::npos);
  proxy.service.routes[0].timeout = seconds(9);
  proxy.publish();
  auto caller = proxy.caller();
  caller.send(post);
  for (auto& target : proxy.service.shards) target.upstream = 0;
  proxy.publish();
  BOOST_TEST(caller.read_answer().status() == 200);
}

BOOST_AUTO_TEST_CASE(a_request_that_the_upstream_sheds_is_sent_again) {
  std::atomic<int> requests{0};
  scripted_upstream upstream([&](scripted_connection& connection) {
    while (!connection.read_request().empty()) {
      if (++requests == 1) {
        connection.answer("busy", "Plantainpaddle-Outcome: not-run\r\n", 503);
      } else {
        connection.answer("done");
      }
    }
  });
  proxy_fixture proxy({upstream.address()});
  BOOST_TEST(proxy.caller().ask(post).body == "done");
  BOOST_TEST(requests == 2);
}

BOOST_AUTO_TEST_CASE(a_503_without_an_outcome_is_passed_on) {
  scripted_upstream upstream([](scripted_connection& connection) {
    connection.read_request();
    connection.answer("broken", "", 503);
  });
  proxy_fixture proxy({upstream.address()});
  const auto got = proxy.caller().ask(post);
  BOOST_TEST(got.body == "broken");
  BOOST_TEST(has_outcome(got, "complete"));
}

// The first connection falls silent on its second request: a GET is sent again on a new connection.
BOOST_AUTO_TEST_CASE(a_get_on_a_silent_connection_is_sent_on_a_new_one) {
  scripted_upstream upstream([](scripted_connection& connection) {
    if (connection.number != 0) return scripted_upstream::echo(connection);
    connection.read_request();
    connection.answer("first");
    connection.read_request();
    connection.read_more();  // sends nothing until the proxy closes
  });
  proxy_fixture proxy({upstream.address()}, with_first_byte_timeout(milliseconds(100)));
  auto caller = proxy.caller();
  BOOST_TEST(caller.get("/stock/1").body == "first");
  BOOST_TEST(caller.get("/stock/1").body == "GET /stock/1 ");
  BOOST_TEST(upstream.connections() >= 2U);
}

BOOST_AUTO_TEST_CASE(a_post_without_an_answer_is_unknown) {
  scripted_upstream upstream([](scripted_connection& connection) {
    connection.read_request();
    connection.read_more();
  });
  proxy_fixture proxy({upstream.address()}, with_first_byte_timeout(milliseconds(50)));
  const auto got = proxy.caller().ask(post);
  BOOST_TEST(got.status() == 504);
  BOOST_TEST(has_outcome(got, "unknown"));
}

BOOST_AUTO_TEST_CASE(a_caller_that_goes_away_cancels_its_request) {
  std::atomic<bool> received{false};
  std::atomic<bool> cancelled{false};
  scripted_upstream upstream([&](scripted_connection& connection) {
    if (connection.read_request().empty()) return;
    received = true;
    cancelled = !connection.read_more();  // the proxy closes the connection
  });
  proxy_fixture proxy({upstream.address()});
  auto caller = proxy.caller();
  caller.send(post);
  while (!received) std::this_thread::yield();
  caller.close();
  while (!cancelled) std::this_thread::yield();
  BOOST_TEST(upstream.connections() == 1U);
}

BOOST_AUTO_TEST_CASE(an_early_answer_ends_the_upload) {
  scripted_upstream upstream([](scripted_connection& connection) {
    connection.read_head();
    connection.answer("enough", "", 413);
  });
  proxy_fixture proxy({upstream.address()});
  proxy.service.routes[0].body_limit = std::uint64_t{1} << 40;
  proxy.publish();
  auto caller = proxy.caller();
  caller.send("PUT /stock/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000000\r\n\r\n");
  caller.send(std::string(100'000, 'x'));
  const auto got = caller.read_answer();
  BOOST_TEST(got.status() == 413);
  BOOST_TEST(got.body == "enough");
  BOOST_TEST(got.has("Connection: close\r\n"));
}

BOOST_AUTO_TEST_CASE(requests_beyond_a_rate_limit_are_refused) {
  scripted_upstream upstream(scripted_upstream::echo);
  proxy_fixture proxy({upstream.address()});
  proxy.service.limits.push_back(
      {.name = "few", .tenant = tenant_id{"*"}, .rate = 0.001, .burst = 2});
  proxy.publish();
  auto caller = proxy.caller();
  const std::string request =
      "GET /stock/1 HTTP/1.1\r\nHost: h\r\nPlantainpaddle-Tenant: t\r\n\r\n";
  BOOST_TEST(caller.ask(request).status() == 200);
  BOOST_TEST(caller.ask(request).status() == 200);
  const auto got = caller.ask(request);
  BOOST_TEST(got.status() == 429);
  BOOST_TEST(has_outcome(got, "not-run"));
  BOOST_TEST(got.has("Retry-After: "));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(proxy_hops)

BOOST_AUTO_TEST_CASE(a_request_goes_through_the_dispatcher_once) {
  std::string seen;
  scripted_upstream upstream([&](scripted_connection& connection) {
    seen = connection.read_request();
    connection.answer("done");
  });
  proxy_fixture dispatcher({upstream.address()});
  proxy_fixture entry({upstream.address()});
  entry.service.service.dispatch = dispatch_mode::dispatcher;
  entry.service.dispatchers[0] = dispatcher.traffic->forward_address();
  entry.publish();
  const auto got = entry.caller().ask(post);
  BOOST_TEST(got.body == "done");
  BOOST_TEST(has_outcome(got, "complete"));
  BOOST_TEST(seen.find("Plantainpaddle-Fence: 7\r\n") != std::string::npos);
  BOOST_TEST(seen.find("Plantainpaddle-Hop") == std::string::npos);
  BOOST_TEST(seen.find("Forwarded: for=127.0.0.1;proto") != std::string::npos);
  BOOST_TEST(seen.find("Forwarded", seen.find("Forwarded") + 1) == std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_dispatcher_never_forwards_to_another) {
  scripted_upstream upstream(scripted_upstream::echo);
  proxy_fixture dispatcher({upstream.address()});
  dispatcher.service.service.dispatch = dispatch_mode::dispatcher;
  dispatcher.service.dispatchers[0] = dispatcher.traffic->forward_address();
  dispatcher.publish();
  raw_caller other(dispatcher.traffic->forward_address());
  const auto got = other.ask("GET /stock/1 HTTP/1.1\r\nHost: h\r\nPlantainpaddle-Hop: e2\r\n\r\n");
  BOOST_TEST(got.status() == 421);
  BOOST_TEST(has_outcome(got, "not-run"));
  BOOST_TEST(upstream.connections() == 0U);
}

BOOST_AUTO_TEST_CASE(the_forward_listener_is_for_instances_only) {
  scripted_upstream upstream(scripted_upstream::echo);
  proxy_fixture proxy({upstream.address()});
  raw_caller stranger(proxy.traffic->forward_address());
  BOOST_TEST(stranger.get("/stock/1").status() == 403);
  BOOST_TEST(upstream.connections() == 0U);
}

// The third request waits in the dispatcher's queue for longer than the entry's first_byte_timeout.
BOOST_AUTO_TEST_CASE(a_request_that_waits_at_the_dispatcher_is_not_run) {
  std::atomic<int> received{0};
  scripted_upstream upstream([&](scripted_connection& connection) {
    if (!connection.read_request().empty()) ++received;
    connection.read_more();
  });
  proxy_fixture dispatcher({upstream.address()});
  dispatcher.service.upstreams[0].slots = 2;
  dispatcher.publish();
  proxy_fixture entry({upstream.address()}, with_first_byte_timeout(milliseconds(50)));
  entry.service.service.dispatch = dispatch_mode::dispatcher;
  entry.service.dispatchers[0] = dispatcher.traffic->forward_address();
  entry.service.routes[0].timeout = seconds(1);
  entry.publish();
  auto first = entry.caller();
  auto second = entry.caller();
  first.send(post);
  second.send(post);
  while (received < 2) std::this_thread::yield();
  const auto third = entry.caller().ask(post);
  BOOST_TEST(third.status() == 503);
  BOOST_TEST(has_outcome(third, "not-run"));
  BOOST_TEST(has_outcome(first.read_answer(), "unknown"));
  BOOST_TEST(has_outcome(second.read_answer(), "unknown"));
  BOOST_TEST(received == 2);
}

BOOST_AUTO_TEST_CASE(the_outcome_from_the_dispatcher_reaches_the_caller) {
  scripted_upstream upstream([](scripted_connection& connection) { connection.read_request(); });
  proxy_fixture dispatcher({upstream.address()});
  proxy_fixture entry({upstream.address()});
  entry.service.service.dispatch = dispatch_mode::dispatcher;
  entry.service.dispatchers[0] = dispatcher.traffic->forward_address();
  entry.publish();
  const auto got = entry.caller().ask(post);
  BOOST_TEST(got.status() == 502);
  BOOST_TEST(has_outcome(got, "unknown"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(proxy_drain)

BOOST_AUTO_TEST_CASE(a_drain_answers_requests_in_flight) {
  std::atomic<bool> received{false};
  std::atomic<bool> may_answer{false};
  scripted_upstream upstream([&](scripted_connection& connection) {
    connection.read_request();
    received = true;
    while (!may_answer) std::this_thread::yield();
    connection.answer(std::string(100'000, 'a'));
  });
  proxy_fixture proxy({upstream.address()});
  auto idle = proxy.caller();
  auto caller = proxy.caller();
  caller.send(post);
  while (!received) std::this_thread::yield();
  bool drained = false;
  std::thread drain([&] { drained = proxy.traffic->drain(seconds(20)); });
  std::this_thread::sleep_for(milliseconds(20));  // the proxy drains when the answer comes
  may_answer = true;
  const auto got = caller.read_answer();
  BOOST_TEST(got.body.size() == 100'000U);
  BOOST_TEST(got.has("Connection: close\r\n"));
  BOOST_TEST(idle.at_end());
  caller.close();
  drain.join();
  BOOST_TEST(drained);
  BOOST_TEST(proxy.traffic->connections() == 0U);
}

// A caller that always has another request in progress must not keep an instance from draining.
BOOST_AUTO_TEST_CASE(a_drain_ends_pipelined_connections) {
  std::atomic<int> received{0};
  scripted_upstream upstream([&](scripted_connection& connection) {
    for (auto head = connection.read_request(); !head.empty(); head = connection.read_request()) {
      ++received;
      std::this_thread::sleep_for(milliseconds(20));
      connection.answer("ok");
    }
  });
  proxy_fixture proxy({upstream.address()});
  auto caller = proxy.caller();
  const std::string request = "GET /stock/1 HTTP/1.1\r\nHost: h\r\n\r\n";
  caller.send(request + request + request);
  while (received == 0) std::this_thread::yield();
  bool drained = false;
  std::thread drain([&] { drained = proxy.traffic->drain(seconds(20)); });
  bool closed = false;
  for (int answers = 0; !closed && answers < 100; ++answers) {
    caller.send(request);
    const auto got = caller.read_answer();
    closed = !got.whole || got.has("Connection: close\r\n");
    if (got.whole) BOOST_TEST(got.status() == 200);
  }
  BOOST_TEST(closed);
  caller.close();
  drain.join();
  BOOST_TEST(drained);
}

// Guards against a response that is ready but goes down with the connection at the end of a drain,
// since the response before it is still awaited.
BOOST_AUTO_TEST_CASE(a_response_that_is_ready_is_sent_before_connections_are_closed) {
  std::atomic<bool> may_answer{false};
  std::atomic<int> answered{0};
  scripted_upstream upstream([&](scripted_connection& connection) {
    for (auto head = connection.read_request(); !head.empty(); head = connection.read_request()) {
      while (head.find("/stock/slow") != std::string::npos && !may_answer)
        std::this_thread::yield();
      connection.answer("ok");
      ++answered;
    }
  });
  proxy_fixture proxy({upstream.address()});
  auto caller = proxy.caller();
  const auto request = [](const std::string& key) {
    return "GET /stock/" + key + " HTTP/1.1\r\nHost: h\r\n\r\n";
  };
  caller.send(request("slow") + request("1"));
  while (answered == 0) std::this_thread::yield();
  std::this_thread::sleep_for(milliseconds(50));  // for the response to arrive
  proxy.traffic->release_ready_responses();
  BOOST_TEST(caller.read_answer().status() == 504);
  const auto kept_back = caller.read_answer();
  BOOST_TEST(kept_back.status() == 200);
  BOOST_TEST(kept_back.body == "ok");
  // A request that keeps nothing back goes on.
  caller.send(request("slow"));
  std::this_thread::sleep_for(milliseconds(50));
  proxy.traffic->release_ready_responses();
  may_answer = true;
  BOOST_TEST(caller.read_answer().status() == 200);
}

// Guards against requests that have been read and go down with their connections at the end of a
// drain: the caller is told whether its request may have run.
BOOST_AUTO_TEST_CASE(requests_without_a_response_are_answered_before_connections_are_closed) {
  std::atomic<int> received{0};
  scripted_upstream upstream([&](scripted_connection& connection) {
    connection.read_request();
    ++received;
    connection.read_more();
  });
  proxy_fixture proxy({upstream.address()});
  auto sent = proxy.caller();
  sent.send("GET /stock/1 HTTP/1.1\r\nHost: h\r\n\r\n");
  auto order = proxy.caller();
  order.send("POST /stock/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx");
  while (received < 2) std::this_thread::yield();
  proxy.traffic->begin_drain(true);
  const auto ended_at = monotonic_now();
  proxy.traffic->end_waits();
  BOOST_TEST(sent.read_answer().status() == 504);
  const auto unknown = order.read_answer();
  BOOST_TEST(unknown.status() == 504);
  BOOST_TEST(!unknown.has("Retry-After"));
  BOOST_TEST((monotonic_now() - ended_at < seconds(1)));
  BOOST_TEST(sent.at_end());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle::testing
