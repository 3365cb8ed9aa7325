// The data path where upstreams register themselves and are shared by many instances: keys as
// numbers, answers told apart by their ids, refusals that are marked, and answers held until whole.
#include <boost/test/unit_test.hpp>

#include "entry/load_report.h"
#include "entry/testing/proxy_fixture.h"
#include "platform/platform_headers.h"
#include "routing/registry_snapshot.h"

namespace plantainpaddle::testing {

namespace {

const std::string id_name(platform_header_names.request_id);

std::string request(const std::string& method, const std::string& id, const std::string& body = "",
                    const std::string& extra = "") {
  return method + " /desk/1 HTTP/1.1\r\nHost: h\r\n" + id_name + ": " + id + "\r\n" +
         std::string(platform_header_names.deadline) + ": 2000\r\n" +
         std::string(platform_key_header) + ": 7\r\n" + extra +
         (method == "POST" ? "Content-Length: " + std::to_string(body.size()) + "\r\n" : "") +
         "\r\n" + body;
}

std::string echo_id(const std::string& head) {
  const auto place = head.find(id_name + ": ");
  return head.substr(place, head.find("\r\n", place) + 2 - place);
}

// Two routes, GET idempotent and POST not, to one service; keyed or not.
class shared_fixture {
 public:
  explicit shared_fixture(const std::vector<std::string>& upstreams, bool keyed = false) {
    proxy_settings settings;
    settings.listen_callers = "127.0.0.1:0";
    settings.threads = 1;
    settings.domain = domain_id{"d1"};
    settings.names = platform_header_names;
    settings.shared_upstreams = true;
    settings.limits.buffer_answers = true;
    settings.limits.owner_wait = milliseconds(300);
    settings.limits.misdirected_wait = milliseconds(30);
    settings.limits.retry_after = milliseconds(250);
    settings.limits.silence.fill(seconds(60));
    desired.version = 3;
    desired.services.push_back({.name = {"desk"}, .keyed = keyed});
    declared_route route{.row = {.name = "r", .host = "h", .path_prefix = "/desk/"},
                         .policy = {1, milliseconds(300), 2},
                         .targets = {{service_id{"desk"}, 1}}};
    route.row.timeout = seconds(2);
    if (keyed) {
      route.row.key_from = key_source::header;
      route.row.key_name = platform_key_header;
    }
    desired.routes.push_back(route);
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
      list.on_entry({.id = {"u" + std::to_string(i)},
                     .service = {"desk"},
                     .address = upstreams[i],
                     .domain = {"d1"},
                     .slots = 6},
                    monotonic_time{});
    }
    traffic = std::make_unique<proxy>(settings, counters);
    address = *traffic->start();
    publish();
  }

  void set_idempotent(bool idempotent) {
    desired.routes[0].row.idempotent = idempotent;
    desired.routes[0].row.once = !idempotent;
    publish();
  }
  void give(const std::string& owner, std::vector<std::string> former = {}) {
    range_record record = make_range_record();
    move_range(record, 0, last_numbered_key, {owner});
    record.last_fence.value += fences++;
    record.ranges[0].fence = record.last_fence;
    for (auto& name : former) record.ranges[0].former.push_back({name});
    ranges[{"desk"}] = update_range_view(ranges[{"desk"}], record, monotonic_now());
    publish();
  }
  void publish() {
    traffic->set_snapshot(std::make_shared<routing_snapshot>(
        make_registry_snapshot(desired, list, ranges, leaving, {}, monotonic_now())));
  }
  raw_caller caller() const { return raw_caller(address); }

  metrics counters;
  desired_state desired;
  upstream_list list;
  std::map<service_id, range_view> ranges;
  std::map<upstream_id, monotonic_time> leaving;
  std::unique_ptr<proxy> traffic;
  std::string address;
  std::uint64_t fences = 1;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(shared_upstreams)

BOOST_AUTO_TEST_CASE(forwards_the_id_what_is_left_and_whom_it_expects) {
  std::string seen;
  scripted_upstream upstream([&](upstream_side& side) {
    seen = side.read_request();
    side.answer("ok", echo_id(seen) + "X-Plantainpaddle-Server-Stamp: s\r\n");
  });
  shared_fixture shared({upstream.address()});
  const auto got = shared.caller().ask(request("GET", "abc", "", "X-Other: 1\r\n"));
  BOOST_TEST(got.status() == 200);
  BOOST_TEST(got.body == "ok");
  BOOST_TEST(got.has("X-Plantainpaddle-Server-Stamp: s\r\n"));
  BOOST_TEST(!got.has("Outcome"));
  const auto has = [&](const std::string& text) { return seen.find(text) != std::string::npos; };
  BOOST_TEST(has(id_name + ": abc\r\n"));
  BOOST_TEST(has("X-Plantainpaddle-Expect-Instance: u0\r\n"));
  BOOST_TEST(has("X-Other: 1\r\n"));
  BOOST_TEST(!has("Forwarded"));
  BOOST_TEST(!has("Plantainpaddle-Retried-By"));
  const std::string name(platform_header_names.deadline);
  const auto left = std::stoi(seen.substr(seen.find(name) + name.size() + 2));
  BOOST_TEST(left <= 2000);
  BOOST_TEST(left > 1500);
}

BOOST_AUTO_TEST_CASE(a_request_without_an_id_is_refused) {
  scripted_upstream upstream(scripted_upstream::echo);
  shared_fixture shared({upstream.address()});
  const auto got = shared.caller().ask("GET /desk/1 HTTP/1.1\r\nHost: h\r\n\r\n");
  BOOST_TEST(got.status() == 400);
  BOOST_TEST(upstream.connections() == 0U);
}

BOOST_AUTO_TEST_CASE(an_answer_to_another_request_is_passed_over) {
  scripted_upstream upstream([&](upstream_side& side) {
    for (auto head = side.read_request(); !head.empty(); head = side.read_request()) {
      side.answer("late", id_name + ": other\r\n");
      side.answer("own", echo_id(head));
    }
  });
  shared_fixture shared({upstream.address()});
  shared.set_idempotent(false);
  const auto got = shared.caller().ask(request("POST", "mine", "x"));
  BOOST_TEST(got.status() == 200);
  BOOST_TEST(got.body == "own");
}

BOOST_AUTO_TEST_CASE(bytes_behind_an_answer_reach_nobody) {
  scripted_upstream upstream([&](upstream_side& side) {
    const auto head = side.read_request();
    side.answer("one" + std::to_string(side.number), echo_id(head));
    side.answer("two", echo_id(head));
    side.read_more();
  });
  shared_fixture shared({upstream.address()});
  auto caller = shared.caller();
  for (int i = 0; i < 3; ++i) {
    const auto got = caller.ask(request("GET", "r" + std::to_string(i)));
    BOOST_TEST(got.body.substr(0, 3) == "one");
  }
}

BOOST_AUTO_TEST_CASE(an_answer_that_ends_with_its_connection_is_whole) {
  scripted_upstream upstream([&](upstream_side& side) {
    const auto head = side.read_request();
    side.send("HTTP/1.1 200 OK\r\n" + echo_id(head) + "\r\nhello");
  });
  shared_fixture shared({upstream.address()});
  auto caller = shared.caller();
  for (int i = 0; i < 2; ++i) {
    const auto got = caller.ask(request("GET", "r" + std::to_string(i)));
    BOOST_TEST(got.status() == 200);
    BOOST_TEST(got.body == "hello");
    BOOST_TEST(got.whole);
  }
}

BOOST_AUTO_TEST_CASE(a_cut_answer_is_replaced_only_if_the_request_may_run_twice) {
  for (const bool idempotent : {true, false}) {
    std::atomic<int> received{0};
    scripted_upstream upstream([&](upstream_side& side) {
      const auto head = side.read_request();
      if (head.empty()) return;
      if (received++ == 0) {
        side.send("HTTP/1.1 200 OK\r\n" + echo_id(head) + "Content-Length: 10\r\n\r\nhal");
      } else {
        side.answer("whole", echo_id(head));
      }
    });
    shared_fixture shared({upstream.address()});
    shared.set_idempotent(idempotent);
    const auto got = shared.caller().ask(request("POST", "r", "x"));
    BOOST_TEST(got.status() == (idempotent ? 200 : 502));
    BOOST_TEST(received == (idempotent ? 2 : 1));
    BOOST_TEST(got.whole);
  }
}

BOOST_AUTO_TEST_CASE(a_marked_refusal_goes_to_another_upstream_an_unmarked_one_to_the_caller) {
  std::atomic<int> refused{0};
  scripted_upstream full([&](upstream_side& side) {
    for (auto head = side.read_request(); !head.empty(); head = side.read_request()) {
      ++refused;
      side.answer("", echo_id(head) + "X-Plantainpaddle-Not-Executed: 1\r\n", 503);
    }
  });
  scripted_upstream fine([&](upstream_side& side) {
    for (auto head = side.read_request(); !head.empty(); head = side.read_request()) {
      side.answer("run", echo_id(head));
    }
  });
  shared_fixture shared({full.address(), fine.address()});
  shared.set_idempotent(false);
  auto caller = shared.caller();
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(caller.ask(request("POST", "r" + std::to_string(i), "x")).body == "run");
  }
  scripted_upstream failing([&](upstream_side& side) {
    const auto head = side.read_request();
    side.answer("failed", echo_id(head), 503);
  });
  shared_fixture alone({failing.address()});
  alone.set_idempotent(false);
  BOOST_TEST(alone.caller().ask(request("POST", "r", "x")).body == "failed");
}

// 503 promises that the request has not run.
BOOST_AUTO_TEST_CASE(what_may_have_run_is_never_told_as_not_run) {
  scripted_upstream upstream([&](upstream_side& side) { side.read_request(); });
  shared_fixture shared({upstream.address()});
  for (const bool idempotent : {true, false}) {
    shared.set_idempotent(idempotent);
    BOOST_TEST(shared.caller().ask(request("POST", "r", "x")).status() == 502);
  }
}

BOOST_AUTO_TEST_CASE(a_key_goes_to_its_owner_and_waits_for_a_move) {
  std::atomic<int> first{0};
  const auto serve = [&](const char* name, std::atomic<int>* count) {
    return [=](upstream_side& side) {
      for (auto head = side.read_request(); !head.empty(); head = side.read_request()) {
        if (count != nullptr) ++*count;
        side.answer(name, echo_id(head));
      }
    };
  };
  scripted_upstream one(serve("one", &first));
  scripted_upstream two(serve("two", nullptr));
  shared_fixture shared({one.address(), two.address()}, true);
  auto caller = shared.caller();
  const auto nobody = caller.ask(request("GET", "r0"));
  BOOST_TEST(nobody.status() == 503);
  BOOST_TEST(nobody.has("Retry-After: 0.25\r\n"));
  shared.give("u0");
  BOOST_TEST(caller.ask(request("GET", "r1")).body == "one");
  shared.give("u1", {"u0"});  // moving
  caller.send(request("GET", "r2"));
  std::this_thread::sleep_for(milliseconds(50));
  shared.give("u1");
  BOOST_TEST(caller.read_answer().body == "two");
  BOOST_TEST(first == 1);
}

// The assigner's answer from the store was lost, or it can't reach the former owner: callers
// needn't wait for it.
BOOST_AUTO_TEST_CASE(a_stuck_move_is_served_by_the_former_owner_until_it_has_released) {
  std::atomic<bool> holds{true};
  std::atomic<int> refused{0};
  scripted_upstream former([&](upstream_side& side) {
    for (auto head = side.read_request(); !head.empty(); head = side.read_request()) {
      if (holds) {
        side.answer("former", echo_id(head));
      } else {
        ++refused;
        side.answer("", echo_id(head) + "X-Plantainpaddle-Not-Executed: 1\r\n", 421);
      }
    }
  });
  scripted_upstream owner([&](upstream_side& side) {
    for (auto head = side.read_request(); !head.empty(); head = side.read_request()) {
      side.answer("owner", echo_id(head));
    }
  });
  shared_fixture shared({former.address(), owner.address()}, true);
  shared.give("u1", {"u0"});
  std::this_thread::sleep_for(milliseconds(350));  // beyond owner_wait
  auto caller = shared.caller();
  BOOST_TEST(caller.ask(request("GET", "r1")).body == "former");
  BOOST_TEST(caller.ask(request("POST", "r2", "x")).body == "former");
  holds = false;
  // The record can't be written, but the move is over.
  BOOST_TEST(caller.ask(request("GET", "r3")).body == "owner");
  BOOST_TEST(caller.ask(request("POST", "r4", "x")).body == "owner");
  BOOST_TEST(refused == 1);
}

BOOST_AUTO_TEST_CASE(a_stuck_move_has_no_former_owner_that_leaves) {
  scripted_upstream former([&](upstream_side& side) {
    for (auto head = side.read_request(); !head.empty(); head = side.read_request()) {
      side.answer("former", echo_id(head));
    }
  });
  scripted_upstream owner([&](upstream_side& side) { side.read_request(); });
  shared_fixture shared({former.address(), owner.address()}, true);
  shared.leaving[{"u0"}] = monotonic_now();
  shared.give("u1", {"u0"});
  std::this_thread::sleep_for(milliseconds(350));
  BOOST_TEST(shared.caller().ask(request("GET", "r1")).status() == 503);
}

BOOST_AUTO_TEST_CASE(an_owner_without_the_key_is_not_asked_again_and_again) {
  std::atomic<int> asked{0};
  scripted_upstream upstream([&](upstream_side& side) {
    for (auto head = side.read_request(); !head.empty(); head = side.read_request()) {
      ++asked;
      side.answer("", echo_id(head) + "X-Plantainpaddle-Not-Executed: 1\r\n", 421);
    }
  });
  shared_fixture shared({upstream.address()}, true);
  shared.give("u0");
  const auto got = shared.caller().ask(request("GET", "r"));
  BOOST_TEST(got.status() == 503);
  BOOST_TEST(asked <= 10);  // 300 ms of waiting, one question in 30 ms
}

// An owner that is full resets connections; asking again within a millisecond only spends the
// attempt.
BOOST_AUTO_TEST_CASE(a_keys_owner_is_asked_again_only_after_a_pause) {
  std::vector<monotonic_time> asked;
  std::mutex mutex;
  scripted_upstream upstream([&](upstream_side& side) {
    const auto head = side.read_request();
    if (head.empty()) return;
    std::size_t number = 0;
    {
      const std::lock_guard lock(mutex);
      asked.push_back(monotonic_now());
      number = asked.size();
    }
    if (number > 1) side.answer("served", echo_id(head));
  });
  shared_fixture shared({upstream.address()}, true);
  shared.set_idempotent(true);
  shared.give("u0");
  BOOST_TEST(shared.caller().ask(request("GET", "r")).body == "served");
  const std::lock_guard lock(mutex);
  BOOST_TEST_REQUIRE(asked.size() == 2U);
  BOOST_TEST((asked[1] - asked[0] >= proxy_limits{}.owner_retry_delay));
}

BOOST_AUTO_TEST_CASE(nothing_known_denies_no_route) {
  shared_fixture shared({});
  auto unknown = std::make_shared<routing_snapshot>();
  unknown->known = false;
  shared.traffic->set_snapshot(unknown);
  BOOST_TEST(shared.caller().ask(request("GET", "r")).status() == 503);
  shared.publish();
  const auto other = "GET /other/1 HTTP/1.1\r\nHost: h\r\n" + id_name + ": r\r\n\r\n";
  BOOST_TEST(shared.caller().ask(other).status() == 404);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(messages_between_instances)

BOOST_AUTO_TEST_CASE(reports_and_records_read_as_written) {
  const load_report_message report{.service = {"desk"}, .keys = {{17, 3}, {65535, 1}}};
  BOOST_TEST((*parse_load_report(format_load_report(report)) == report));
  pushed_record pushed{{"desk"}, 812, make_range_record()};
  move_range(pushed.record, 5, 9, {"u1"});
  BOOST_TEST((*parse_pushed_record(format_pushed_record(pushed)) == pushed));
  for (const auto* bad :
       {"", "{}", R"({"service":"d","keys":[[1]]})", R"({"service":"d","keys":[["a",1]]})",
        R"({"service":"d","version":1,"record":"x"})"}) {
    BOOST_TEST(!parse_load_report(bad).has_value(), bad);
    BOOST_TEST(!parse_pushed_record(bad).has_value(), bad);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle::testing
