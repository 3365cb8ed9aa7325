// What becomes of requests while an instance drains, and of responses that arrive while the event
// loop is late.
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include "entry/testing/proxy_fixture.h"

namespace plantainpaddle::testing {

namespace {

constexpr duration idle_time = milliseconds(600);    // drain_idle_time of the proxies here
constexpr duration route_time = milliseconds(600);   // timeout of the route, where it matters
constexpr duration arrival_time = milliseconds(50);  // for bytes to arrive on loopback
// Until the end of idle_time, with much time to spare; the other times of a connection are longer.
constexpr duration told_within = seconds(3);
constexpr std::string_view get_head = "GET /stock/1 HTTP/1.1\r\nHost: h\r\n\r\n";

// One thread, and an upstream that counts what it gets.
struct drain_fixture {
  drain_fixture() : upstream([this](scripted_connection& side) { serve(side); }) {
    settings.threads = 1;
    settings.limits.drain_idle_time = idle_time;
    settings.limits.buffer_answers = true;
    start_entry();
  }

  // Also in place of the one that runs, with other settings.
  void start_entry() { entry.emplace(std::vector<std::string>{upstream.address()}, settings); }

  void serve(scripted_connection& side) {
    for (auto head = side.read_request(); !head.empty(); head = side.read_request()) {
      ++received;
      if (script) {
        script(side);
      } else {
        side.answer("ok");
      }
    }
  }
  void set_route_time() {
    entry->service.routes[0].timeout = route_time;
    entry->publish();
    std::this_thread::sleep_for(arrival_time);
  }
  // Keeps the event loop busy for that time, and lets the checks of deadlines come due before, so
  // that they run before the loop looks at its sockets again.
  void block_loop(duration length) {
    constexpr duration until_sweep_is_due = milliseconds(30);
    auto& io = entry->traffic->io();
    boost::asio::post(io, [this, &io, length, until_sweep_is_due] {
      std::this_thread::sleep_for(until_sweep_is_due);
      boost::asio::post(io, [this, length] {
        blocked = true;
        std::this_thread::sleep_for(length);
      });
    });
    while (!blocked) std::this_thread::yield();
  }

  std::atomic<int> received{0};
  std::atomic<bool> blocked{false};
  std::function<void(scripted_connection&)> script;
  proxy_settings settings;
  std::optional<proxy_fixture> entry;
  scripted_upstream upstream;
};

void pause(duration length) { std::this_thread::sleep_for(length); }

bool is_refused(const answer& got) { return got.head.empty() || got.status() == 503; }

}  // namespace

BOOST_AUTO_TEST_SUITE(instance_drain)

// Guards against requests that are taken so late in a drain that they can't be finished: on a
// connection that is opened during the drain.
BOOST_FIXTURE_TEST_CASE(a_late_request_on_a_new_connection_is_not_passed_on, drain_fixture) {
  entry->traffic->begin_drain(true);
  pause(idle_time * 2 / 3);
  auto late = entry->caller();
  pause(idle_time * 2 / 3);
  BOOST_TEST(is_refused(late.ask(get_head)));
  BOOST_TEST(received == 0);
}

// The same, on a connection with a part of a head.
BOOST_FIXTURE_TEST_CASE(a_late_rest_of_a_head_is_not_passed_on, drain_fixture) {
  auto caller = entry->caller();
  caller.send(get_head.substr(0, 10));
  pause(arrival_time);
  entry->traffic->begin_drain(true);
  pause(idle_time * 4 / 3);
  caller.send(get_head.substr(10));
  const auto got = caller.read_answer();
  BOOST_TEST((is_refused(got) || got.status() == 408));
  BOOST_TEST(received == 0);
}

// The same, with a body that comes late. The caller may send the request again.
BOOST_FIXTURE_TEST_CASE(a_request_whose_body_comes_late_is_refused, drain_fixture) {
  auto caller = entry->caller();
  caller.send("POST /stock/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx");
  pause(arrival_time);
  entry->traffic->begin_drain(true);
  pause(idle_time * 4 / 3);
  caller.send("y");
  const auto got = caller.read_answer();
  BOOST_TEST(got.status() == 503);
  BOOST_TEST(got.has("Connection: close\r\n"));
  BOOST_TEST(received == 0);
}

// The same, with a body that doesn't come: the caller is told when no request is taken any more.
BOOST_FIXTURE_TEST_CASE(a_request_whose_body_does_not_come_is_refused_in_time, drain_fixture) {
  auto caller = entry->caller();
  caller.send("POST /stock/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx");
  pause(arrival_time);
  const auto drained_at = monotonic_now();
  entry->traffic->begin_drain(true);
  BOOST_TEST(caller.read_answer().status() == 503);
  BOOST_TEST((monotonic_now() - drained_at < told_within));
}

// Guards against connections without a request that are open until the end of a drain.
BOOST_FIXTURE_TEST_CASE(connections_without_a_request_are_closed_in_time, drain_fixture) {
  auto idle = entry->caller();
  auto partial = entry->caller();
  partial.send(get_head.substr(0, 10));
  pause(arrival_time);
  const auto drained_at = monotonic_now();
  entry->traffic->begin_drain(true);
  auto late = entry->caller();
  BOOST_TEST(idle.at_end());
  BOOST_TEST(late.at_end());
  const auto told = partial.read_answer();
  BOOST_TEST((told.head.empty() || told.status() == 408));
  BOOST_TEST((monotonic_now() - drained_at < told_within));
}

BOOST_FIXTURE_TEST_CASE(requests_in_the_first_part_of_a_drain_are_served, drain_fixture) {
  settings.limits.drain_idle_time = seconds(30);
  start_entry();
  auto early = entry->caller();
  entry->traffic->begin_drain(true);
  pause(idle_time / 3);
  auto late = entry->caller();
  for (auto* caller : {&early, &late}) {
    const auto got = caller->ask(get_head);
    BOOST_TEST(got.status() == 200);
    BOOST_TEST(got.has("Connection: close\r\n"));
  }
}

// Guards against a connection that is closed although its last response didn't say so, because the
// drain began while that response was written.
BOOST_FIXTURE_TEST_CASE(a_response_without_a_close_is_followed_by_another, drain_fixture) {
  constexpr std::size_t large = 16 << 20;
  script = [&](scripted_connection& side) { side.answer(std::string(large, 'a')); };
  auto caller = entry->caller();
  caller.send(get_head);
  while (received == 0) std::this_thread::yield();
  const auto head = caller.read_head();
  BOOST_TEST(head.find("Connection: close") == std::string::npos);
  entry->traffic->begin_drain(true);
  pause(arrival_time);
  BOOST_TEST(caller.read_body(head).size() == large);
  script = nullptr;
  const auto next = caller.ask(get_head);
  BOOST_TEST(next.status() == 200);
  BOOST_TEST(next.has("Connection: close\r\n"));
}

// Guards against a response that has arrived and is dropped, since the end of the wait is looked at
// before the socket is read: at the deadline, while the head is awaited.
BOOST_FIXTURE_TEST_CASE(a_response_that_arrived_before_the_deadline_is_relayed_late,
                        drain_fixture) {
  set_route_time();
  script = [&](scripted_connection& side) {
    while (!blocked) std::this_thread::yield();
    side.answer("in time");
  };
  // A check of deadlines that runs just before the loop is blocked isn't due when it goes on.
  constexpr int rounds = 3;
  for (int round = 0; round < rounds; ++round) {
    blocked = false;
    auto caller = entry->caller();
    caller.send(get_head);
    while (received <= round) std::this_thread::yield();
    block_loop(2 * route_time);
    BOOST_TEST(caller.read_answer().body == "in time");
  }
}

// The same, while the body is awaited.
BOOST_FIXTURE_TEST_CASE(a_body_that_arrived_before_the_deadline_is_relayed_late, drain_fixture) {
  set_route_time();
  script = [&](scripted_connection& side) {
    side.send("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nin ");
    while (!blocked) std::this_thread::yield();
    side.send("time");
  };
  auto caller = entry->caller();
  caller.send(get_head);
  while (received == 0) std::this_thread::yield();
  pause(arrival_time);
  block_loop(2 * route_time);
  BOOST_TEST(caller.read_answer().body == "in time");
}

// The same, when a drain ends the waits.
BOOST_FIXTURE_TEST_CASE(a_response_that_arrived_before_the_end_of_waits_is_relayed, drain_fixture) {
  script = [&](scripted_connection& side) {
    while (!blocked) std::this_thread::yield();
    side.answer("in time");
  };
  auto caller = entry->caller();
  caller.send(get_head);
  while (received == 0) std::this_thread::yield();
  entry->traffic->begin_drain(true);
  block_loop(route_time);
  pause(arrival_time);  // the response arrives
  entry->traffic->end_waits();
  BOOST_TEST(caller.read_answer().body == "in time");
}

// The same, with a request's body.
BOOST_FIXTURE_TEST_CASE(a_request_body_that_arrived_before_the_deadline_is_passed_on,
                        drain_fixture) {
  constexpr duration body_time = milliseconds(500);
  settings.limits.body_time = body_time;
  start_entry();
  auto caller = entry->caller();
  caller.send("POST /stock/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx");
  pause(arrival_time);
  block_loop(2 * body_time);
  caller.send("y");
  BOOST_TEST(caller.read_answer().status() == 200);
}

// Guards against requests that are never read: the same with an idle connection's request.
BOOST_FIXTURE_TEST_CASE(a_request_that_arrived_before_the_idle_time_is_over_is_answered,
                        drain_fixture) {
  auto caller = entry->caller();
  entry->traffic->begin_drain(true);
  pause(idle_time / 3);
  block_loop(idle_time);
  caller.send(get_head);
  const auto got = caller.read_answer();
  // It is read too late to be passed on, but the caller is told.
  BOOST_TEST(got.status() == 503);
  BOOST_TEST(received == 0);
}

// Guards against requests that go down with their connections when a drain's time is over.
BOOST_FIXTURE_TEST_CASE(requests_without_a_response_are_answered_when_the_time_is_over,
                        drain_fixture) {
  script = [](scripted_connection& side) { side.read_more(); };  // no response
  auto caller = entry->caller();
  caller.send(get_head);
  while (received == 0) std::this_thread::yield();
  entry->traffic->drain(4 * idle_time);
  entry->traffic->stop();
  BOOST_TEST(caller.read_answer().status() == 504);
}

// Guards against connections in the listening socket's backlog that are reset when nothing else is
// in progress.
BOOST_AUTO_TEST_CASE(connections_in_the_backlog_are_served_before_the_end) {
  scripted_upstream upstream(scripted_upstream::echo);
  proxy_settings settings;
  settings.threads = 1;
  settings.own_thread = false;
  settings.limits.drain_idle_time = seconds(5);
  proxy_fixture entry({upstream.address()}, settings);
  std::atomic<bool> blocked{false};
  std::atomic<bool> may_finish{false};
  entry.traffic->begin_drain(true);
  boost::asio::post(entry.traffic->io(), [&] {
    blocked = true;
    while (!may_finish) std::this_thread::yield();
    entry.traffic->finish();
  });
  std::thread serving([&] { entry.traffic->run(); });
  while (!blocked) std::this_thread::yield();
  auto caller = entry.caller();
  caller.send(get_head);
  pause(arrival_time);
  may_finish = true;
  BOOST_TEST(caller.read_answer().status() == 200);
  caller.close();
  serving.join();
}

// Guards against a body that is streamed, is complete only after requests are no longer taken, and
// is ended while its upstream works.
BOOST_AUTO_TEST_CASE(a_streamed_body_that_comes_late_is_not_passed_on_whole) {
  constexpr std::size_t length = 2 << 20;
  constexpr std::size_t first_part = length / 2 + 300'000;
  constexpr duration work = milliseconds(800);
  std::atomic<bool> whole{false};
  scripted_upstream upstream([&](scripted_connection& side) {
    side.read_request();
    whole = side.request_body.size() == length;
    pause(work);
    side.answer("done");
  });
  proxy_settings settings;
  settings.threads = 1;
  settings.limits.drain_idle_time = idle_time;
  proxy_fixture proxy({upstream.address()}, settings);
  proxy.service.routes[0].body_limit = length;
  proxy.publish();
  auto caller = proxy.caller();
  caller.send("POST /stock/1 HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) +
              "\r\n\r\n" + std::string(first_part, 'x'));
  pause(arrival_time);
  proxy.traffic->begin_drain(true);
  pause(2 * idle_time);
  caller.send(std::string(length - first_part, 'x'));
  pause(2 * arrival_time);
  proxy.traffic->end_waits();
  const auto got = caller.read_answer();
  BOOST_TEST((got.status() == 200 || !whole));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle::testing
