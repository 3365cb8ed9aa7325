// What callers are told when upstreams fail: complete, not-run or unknown, and nothing twice.
#include <boost/test/unit_test.hpp>

#include "entry/testing/proxy_fixture.h"

namespace plantainpaddle::testing {

namespace {

constexpr std::string_view post =
    "POST /stock/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi";

bool says(const answer& got, std::string_view outcome) {
  return got.has("Plantainpaddle-Outcome: " + std::string(outcome) + "\r\n");
}

proxy_settings with_silence(duration silence) {
  proxy_settings settings;
  settings.limits.first_byte_timeout.fill(silence);
  return settings;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(proxy_outcomes)

BOOST_AUTO_TEST_CASE(a_body_cut_off_never_looks_whole) {
  for (const bool chunked : {false, true}) {
    scripted_upstream upstream([&](scripted_connection& side) {
      side.read_request();
      side.send(chunked ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
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

BOOST_AUTO_TEST_CASE(an_answer_without_a_length_is_no_answer) {
  scripted_upstream upstream([](scripted_connection& side) {
    side.read_request();
    side.send("HTTP/1.1 200 OK\r\n\r\nhello");
  });
  proxy_fixture proxy({upstream.address()});
  const auto got = proxy.caller().ask(post);
  BOOST_TEST(got.status() == 502);
  BOOST_TEST(says(got, "unknown"));
}

BOOST_AUTO_TEST_CASE(an_order_that_may_have_run_is_not_sent_again) {
  std::atomic<int> received{0};
  scripted_upstream upstream([&](scripted_connection& side) {
    if (!side.read_request().empty()) ++received;
  });
  proxy_fixture proxy({upstream.address()});
  auto caller = proxy.caller();
  const auto got = caller.ask(post);
  BOOST_TEST(got.status() == 502);
  BOOST_TEST(says(got, "unknown"));
  BOOST_TEST(got.body.find(R"("step":"read-answer")") != std::string::npos);
  BOOST_TEST(received == 1);
  BOOST_TEST(caller.ask(post).status() == 502);  // the caller's connection goes on
}

BOOST_AUTO_TEST_CASE(a_refusal_after_an_attempt_that_may_have_run_is_unknown) {
  scripted_upstream upstream([](scripted_connection& side) {
    if (side.read_request().empty() || side.number == 0) return;
    side.send("HTTP/1.1 503 Busy\r\nPlantainpaddle-Outcome: not-run\r\nContent-Length: 0\r\n\r\n");
  });
  proxy_fixture proxy({upstream.address()});
  const auto got = proxy.caller().get("/stock/1");
  BOOST_TEST(got.status() >= 500);
  BOOST_TEST(says(got, "unknown"));
}

BOOST_AUTO_TEST_CASE(an_instance_without_a_table_denies_no_route) {
  proxy_fixture proxy({});
  proxy.traffic->set_snapshot(std::make_shared<routing_snapshot>());
  const auto got = proxy.caller().get("/stock/1");
  BOOST_TEST(got.status() == 503);
  BOOST_TEST(says(got, "not-run"));
}

BOOST_AUTO_TEST_CASE(a_look_up_that_failed_is_sent_again) {
  scripted_upstream upstream([](scripted_connection& side) {
    if (side.read_request().empty() || side.number == 0) return;
    side.answer("second");
  });
  proxy_fixture proxy({upstream.address()});
  const auto got = proxy.caller().get("/stock/1");
  BOOST_TEST(got.body == "second");
  BOOST_TEST(says(got, "complete"));
}

BOOST_AUTO_TEST_CASE(once_and_idempotent_of_the_route_decide) {
  for (const bool once : {false, true}) {
    std::atomic<int> received{0};
    scripted_upstream upstream([&](scripted_connection& side) {
      if (side.read_request().empty() || ++received == 1) return;
      side.answer("second");
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

// The kept connection is closed while it is idle, or at the very moment that a request is sent.
BOOST_AUTO_TEST_CASE(a_kept_connection_that_died_costs_no_order) {
  std::atomic<int> received{0};
  scripted_upstream upstream([&](scripted_connection& side) {
    side.read_request();
    ++received;
    side.answer("ok");
  });
  proxy_fixture proxy({upstream.address()});
  auto caller = proxy.caller();
  for (int i = 0; i < 20; ++i) {
    const auto got = caller.ask(post);
    if (got.status() == 200) continue;
    BOOST_TEST(says(got, "unknown"));  // written to a connection that was closing
    BOOST_TEST(got.status() == 502);
  }
  BOOST_TEST(received <= 20);
}

BOOST_AUTO_TEST_CASE(nobody_there_is_not_run) {
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
  BOOST_TEST(says(got, "not-run"));
  BOOST_TEST(got.body.find(R"("step":"connect")") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_request_for_a_moved_shard_follows_its_new_owner) {
  std::atomic<int> refused{0};
  scripted_upstream old_owner([&](scripted_connection& side) {
    while (!side.read_request().empty()) {
      ++refused;
      side.answer("not mine", "", 421);
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
  BOOST_TEST(says(got, "complete"));
}

BOOST_AUTO_TEST_CASE(a_request_waits_for_an_owner_until_its_deadline) {
  scripted_upstream upstream(scripted_upstream::echo);
  proxy_fixture proxy({upstream.address()});
  for (auto& target : proxy.service.shards) target.upstream = shard_target::no_upstream;
  proxy.service.routes[0].timeout = milliseconds(100);
  proxy.publish();
  const auto late = proxy.caller().ask(post);
  BOOST_TEST(late.status() == 503);
  BOOST_TEST(says(late, "not-run"));
  BOOST_TEST(late.body.find(R"("step":"ownership")") != std::string::npos);
  proxy.service.routes[0].timeout = seconds(9);
  proxy.publish();
  auto caller = proxy.caller();
  caller.send(post);
  for (auto& target : proxy.service.shards) target.upstream = 0;
  proxy.publish();
  BOOST_TEST(caller.read_answer().status() == 200);
}

BOOST_AUTO_TEST_CASE(an_upstream_that_sheds_is_believed) {
  std::atomic<int> asked{0};
  scripted_upstream upstream([&](scripted_connection& side) {
    while (!side.read_request().empty()) {
      if (++asked == 1) {
        side.answer("busy", "Plantainpaddle-Outcome: not-run\r\n", 503);
      } else {
        side.answer("done");
      }
    }
  });
  proxy_fixture proxy({upstream.address()});
  BOOST_TEST(proxy.caller().ask(post).body == "done");
  BOOST_TEST(asked == 2);
}

BOOST_AUTO_TEST_CASE(an_ordinary_503_is_an_answer) {
  scripted_upstream upstream([](scripted_connection& side) {
    side.read_request();
    side.answer("broken", "", 503);
  });
  proxy_fixture proxy({upstream.address()});
  const auto got = proxy.caller().ask(post);
  BOOST_TEST(got.body == "broken");
  BOOST_TEST(says(got, "complete"));
}

// One silent connection: the look-up goes to a fresh one, the order is told as unknown.
BOOST_AUTO_TEST_CASE(a_silent_connection_costs_one_timeout) {
  scripted_upstream upstream([](scripted_connection& side) {
    if (side.number != 0) return scripted_upstream::echo(side);
    side.read_request();
    side.answer("first");
    side.read_request();
    side.read_more();  // silent until the other side closes
  });
  proxy_fixture proxy({upstream.address()}, with_silence(milliseconds(100)));
  auto caller = proxy.caller();
  BOOST_TEST(caller.get("/stock/1").body == "first");
  BOOST_TEST(caller.get("/stock/1").body == "GET /stock/1 ");
  BOOST_TEST(upstream.connections() >= 2U);
}

BOOST_AUTO_TEST_CASE(a_silent_order_is_unknown) {
  scripted_upstream upstream([](scripted_connection& side) {
    side.read_request();
    side.read_more();
  });
  proxy_fixture proxy({upstream.address()}, with_silence(milliseconds(50)));
  const auto got = proxy.caller().ask(post);
  BOOST_TEST(got.status() == 504);
  BOOST_TEST(says(got, "unknown"));
}

BOOST_AUTO_TEST_CASE(a_caller_that_goes_away_cancels_its_request) {
  std::atomic<bool> received{false};
  std::atomic<bool> cancelled{false};
  scripted_upstream upstream([&](scripted_connection& side) {
    if (side.read_request().empty()) return;
    received = true;
    cancelled = !side.read_more();  // the router closes the connection
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
  scripted_upstream upstream([](scripted_connection& side) {
    side.read_head();
    side.answer("enough", "", 413);
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

BOOST_AUTO_TEST_CASE(limits_of_the_table_refuse_what_is_too_much) {
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
  BOOST_TEST(says(got, "not-run"));
  BOOST_TEST(got.has("Retry-After: "));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(proxy_hops)

BOOST_AUTO_TEST_CASE(a_request_goes_through_the_dispatcher_once) {
  std::string seen;
  scripted_upstream upstream([&](scripted_connection& side) {
    seen = side.read_request();
    side.answer("done");
  });
  proxy_fixture dispatcher({upstream.address()});
  proxy_fixture entry({upstream.address()});
  entry.service.service.dispatch = dispatch_mode::dispatcher;
  entry.service.dispatchers[0] = dispatcher.traffic->forward_address();
  entry.publish();
  const auto got = entry.caller().ask(post);
  BOOST_TEST(got.body == "done");
  BOOST_TEST(says(got, "complete"));
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
  BOOST_TEST(says(got, "not-run"));
  BOOST_TEST(upstream.connections() == 0U);
}

BOOST_AUTO_TEST_CASE(the_forward_listener_is_for_instances_only) {
  scripted_upstream upstream(scripted_upstream::echo);
  proxy_fixture proxy({upstream.address()});
  raw_caller stranger(proxy.traffic->forward_address());
  BOOST_TEST(stranger.get("/stock/1").status() == 403);
  BOOST_TEST(upstream.connections() == 0U);
}

// The dispatcher's queue holds the third request beyond the entry's limit of silence.
BOOST_AUTO_TEST_CASE(a_request_that_waits_at_the_dispatcher_is_not_run) {
  std::atomic<int> received{0};
  scripted_upstream upstream([&](scripted_connection& side) {
    if (!side.read_request().empty()) ++received;
    side.read_more();
  });
  proxy_fixture dispatcher({upstream.address()});
  dispatcher.service.upstreams[0].slots = 2;
  dispatcher.publish();
  proxy_fixture entry({upstream.address()}, with_silence(milliseconds(50)));
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
  BOOST_TEST(says(third, "not-run"));
  BOOST_TEST(says(first.read_answer(), "unknown"));
  BOOST_TEST(says(second.read_answer(), "unknown"));
  BOOST_TEST(received == 2);
}

BOOST_AUTO_TEST_CASE(what_the_dispatcher_knows_reaches_the_caller) {
  scripted_upstream upstream([](scripted_connection& side) { side.read_request(); });
  proxy_fixture dispatcher({upstream.address()});
  proxy_fixture entry({upstream.address()});
  entry.service.service.dispatch = dispatch_mode::dispatcher;
  entry.service.dispatchers[0] = dispatcher.traffic->forward_address();
  entry.publish();
  const auto got = entry.caller().ask(post);
  BOOST_TEST(got.status() == 502);
  BOOST_TEST(says(got, "unknown"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(proxy_drain)

BOOST_AUTO_TEST_CASE(a_drain_answers_what_is_in_flight) {
  std::atomic<bool> received{false};
  std::atomic<bool> go{false};
  scripted_upstream upstream([&](scripted_connection& side) {
    side.read_request();
    received = true;
    while (!go) std::this_thread::yield();
    side.answer(std::string(100'000, 'a'));
  });
  proxy_fixture proxy({upstream.address()});
  auto idle = proxy.caller();
  auto caller = proxy.caller();
  caller.send(post);
  while (!received) std::this_thread::yield();
  bool drained = false;
  std::thread drain([&] { drained = proxy.traffic->drain(seconds(20)); });
  std::this_thread::sleep_for(milliseconds(20));  // so that the answer meets a draining router
  go = true;
  const auto got = caller.read_answer();
  BOOST_TEST(got.body.size() == 100'000U);
  BOOST_TEST(got.has("Connection: close\r\n"));
  BOOST_TEST(idle.at_end());
  caller.close();
  drain.join();
  BOOST_TEST(drained);
  BOOST_TEST(proxy.traffic->connections() == 0U);
}

// A caller that always has a next request under way must not keep a draining instance for ever.
BOOST_AUTO_TEST_CASE(a_drain_ends_pipelined_connections) {
  std::atomic<int> received{0};
  scripted_upstream upstream([&](scripted_connection& side) {
    for (auto head = side.read_request(); !head.empty(); head = side.read_request()) {
      ++received;
      std::this_thread::sleep_for(milliseconds(20));
      side.answer("ok");
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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle::testing
