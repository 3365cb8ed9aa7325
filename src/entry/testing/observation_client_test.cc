// The exchange of observations on loopback, and its messages: what they cost, and what happens when
// a collector takes connections and never answers.
#include "entry/observation_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>

#include "entry/observation_messages.h"
#include "http/server.h"

namespace plantainpaddle::testing {

namespace {

// An instance with a listener for the others, whose view lists the upstream "u0".
struct exchanging_instance {
  exchanging_instance(boost::asio::io_context& io, const std::string& name, double cores)
      : client(io.get_executor()), server(io.get_executor()) {
    proxy_settings settings;
    settings.domain = {"d1"};
    settings.threads = 1;
    settings.shared_upstreams = true;
    shared.emplace(settings);
    const auto serve = [this](http_request request) -> boost::asio::awaitable<http_response> {
      if (silent) co_await forever();
      co_return observations->handle(request.body, shared->view());
    };
    self = {name, *server.listen("127.0.0.1:0", serve), {"d1"}, cores};
    observations.emplace(client, self);
    show(true);
  }

  void show(bool contended) {
    auto snapshot = std::make_shared<routing_snapshot>();
    snapshot->contended = contended;
    service_snapshot service;
    service.service.name = {"s"};
    service.upstreams.push_back({.name = {"u0"}, .domain = {"d1"}, .slots = 4});
    snapshot->services.push_back(service);
    shared->make_view(snapshot, monotonic_now());
  }

  boost::asio::awaitable<void> forever() {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, seconds(30));
    co_await timer.async_wait(boost::asio::use_awaitable);
  }

  placement& placed() { return *shared->view()->services[0].placed; }

  void hear(std::uint32_t running) {
    placed().on_end({"u0"},
                    {.work = "w", .latency = milliseconds(100), .load = reported_load{running}},
                    monotonic_now());
  }

  http_client client;
  http_server server;
  std::optional<traffic_state> shared;
  instance_registration self;
  std::optional<observation_client> observations;
  bool silent = false;
};

struct exchanging_instances {
  exchanging_instances() {
    for (auto* one : all()) one->observations->set_instances({a.self, b.self, c.self});
  }
  std::vector<exchanging_instance*> all() { return {&a, &b, &c}; }

  // Ticks until the condition holds; false if it doesn't within 10 s.
  template <class Condition>
  bool run_until(const Condition& holds) {
    const auto end = monotonic_now() + seconds(10);
    while (!holds() && monotonic_now() < end) {
      for (auto* one : all()) one->observations->tick(one->shared->view());
      io.restart();
      io.run_for(milliseconds(50));
    }
    return holds();
  }

  boost::asio::io_context io;
  exchanging_instance a{io, "a", 0.5};
  exchanging_instance b{io, "b", 0.3};
  exchanging_instance c{io, "c", 0.1};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(observation_messages)

BOOST_AUTO_TEST_CASE(messages_read_back_and_ages_are_rounded_up) {
  observation_request request{"entry-3", {"d1"}, 77, 12, 4, milliseconds(15)};
  for (int ms = 0; ms <= 4000; ms += 100) {
    request.observations.push_back(
        {static_cast<observation_key>(ms * 99'991), {{3, 2, 0, 1.0}, milliseconds(ms)}});
  }
  const auto read = parse_observation_request(format_observation_request(request));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((read->sender == "entry-3" && read->domain.value == "d1" && read->token == 77U));
  BOOST_TEST(
      (read->position == 12U && read->answer == 4U && read->since_answer == milliseconds(15)));
  BOOST_REQUIRE(read->observations.size() == request.observations.size());
  for (std::size_t i = 0; i < request.observations.size(); ++i) {
    const auto& sent = request.observations[i];
    const auto& got = read->observations[i];
    BOOST_TEST((got.key == sent.key && got.seen.load == sent.seen.load));
    BOOST_TEST((got.seen.age >= sent.seen.age && got.seen.age <= sent.seen.age + milliseconds(33)));
  }
  const observation_answer answer{77, 14, 5, {{1, {{999, 999, 0, {}}, seconds(9)}}, {2, {{999}}}}};
  const auto again = parse_observation_answer(format_observation_answer(answer));
  BOOST_REQUIRE(again.has_value());
  BOOST_REQUIRE(again->observations.size() == 1U);  // the other is too old
  BOOST_TEST(again->observations[0].seen.load.running == 255U);
  BOOST_TEST(!again->observations[0].seen.load.slowdown.has_value());
}

// Guards against messages of another writer that are taken for observations.
BOOST_AUTO_TEST_CASE(malformed_messages_are_refused) {
  const std::string observation(8, '\1');
  for (const std::string line :
       {"", "\n", "a d 1 2 3\n", "a d 1 2 3 4 5\n", "a  1 2 3 4\n", "a d -1 2 3 4\n",
        "a d 1 2 3 x\n", "a d 1 2 3 99999999999999\n", "a d 1 2 3 99999999999999999999\n",
        "a d 1 2 3 4", "a d 1 2 3 4 \n"}) {
    BOOST_TEST(!parse_observation_request(line + observation).has_value(), line);
  }
  BOOST_TEST(parse_observation_request("a d 1 2 3 4\n" + observation).has_value());
  BOOST_TEST(!parse_observation_request("a d 1 2 3 4\n" + observation + "x").has_value());
  BOOST_TEST(!parse_observation_request(std::string(129, 'a') + " d 1 2 3 4\n").has_value());
  BOOST_TEST(!parse_observation_request("a d 1 2 3 4\n" + std::string(520, '\1')).has_value());
  BOOST_TEST(!parse_observation_answer("1 2\n").has_value());
  BOOST_TEST(!parse_observation_answer("1 2 3\n" + std::string(1608, '\1')).has_value());
}

// Guards against control traffic above 18 KB/s an instance, also when all upstreams change all the
// time: 1,000 bytes a second are left for the heads and for the packets.
BOOST_AUTO_TEST_CASE(the_largest_messages_fit_the_bandwidth) {
  observation_request request{std::string(20, 'n'), {std::string(10, 'd')},
                              ~std::uint64_t{0},    1ULL << 40,
                              1ULL << 40,           seconds(1)};
  request.observations.resize(max_sent_observations);
  observation_answer answer{~std::uint64_t{0}, 1ULL << 40, 1ULL << 40, {}};
  answer.observations.resize(max_answered_observations);
  constexpr double head_bytes = 260;
  const double bytes = static_cast<double>(format_observation_request(request).size() +
                                           format_observation_answer(answer).size()) +
                       head_bytes;
  const double per_second =
      bytes / std::chrono::duration<double>(observation_timing{}.period).count();
  BOOST_TEST_MESSAGE("at most " << per_second << " bytes a second");
  BOOST_TEST(per_second < 17'000);
}

BOOST_AUTO_TEST_CASE(a_report_reaches_the_placements_of_others) {
  exchanging_instances net;
  std::uint32_t running = 0;
  BOOST_TEST(net.run_until([&] {
    net.c.hear(3 + running++ % 2);
    return net.a.placed().load({"u0"}, monotonic_now()) > 1 &&
           net.b.placed().load({"u0"}, monotonic_now()) > 1;
  }));
  BOOST_TEST(net.run_until([&] {
    return net.a.observations->collects() && !net.b.observations->collects() &&
           net.c.observations->counts().asked > net.c.observations->counts().failed;
  }));
}

// Guards against an exchange that ends with its collector.
BOOST_AUTO_TEST_CASE(a_silent_collector_is_replaced) {
  exchanging_instances net;
  BOOST_TEST(net.run_until([&] { return net.c.observations->counts().asked >= 3; }));
  net.a.silent = true;
  const auto before = monotonic_now();
  BOOST_TEST(net.run_until([&] { return net.b.observations->collects(); }));
  BOOST_TEST_MESSAGE("replaced after " << (monotonic_now() - before).count() / 1000 << " ms");
  BOOST_TEST(net.run_until([&] {
    net.c.hear(4);
    return net.b.placed().load({"u0"}, monotonic_now()) > 1;
  }));
}

// Guards against old figures that look new: an instance was frozen, and then reads a response that
// had waited meanwhile.
BOOST_AUTO_TEST_CASE(reports_that_were_read_after_a_freeze_are_not_shared) {
  exchanging_instances net;
  BOOST_TEST(net.run_until([&] { return net.c.observations->counts().asked >= 3; }));
  std::this_thread::sleep_for(milliseconds(400));
  net.c.hear(6);
  const auto end = monotonic_now() + milliseconds(500);
  net.run_until([&] { return monotonic_now() >= end; });
  BOOST_TEST(net.a.placed().load({"u0"}, monotonic_now()) == 0);
  BOOST_TEST(net.run_until([&] {
    net.c.hear(6);
    return net.a.placed().load({"u0"}, monotonic_now()) > 1;
  }));
}

// Guards against messages where nothing asked for them.
BOOST_AUTO_TEST_CASE(without_contention_nothing_is_sent_or_answered) {
  exchanging_instances net;
  for (auto* one : net.all()) one->show(false);
  const auto end = monotonic_now() + milliseconds(400);
  net.run_until([&] { return monotonic_now() >= end; });
  for (auto* one : net.all()) BOOST_TEST(one->observations->counts().asked == 0U);
  const auto body = format_observation_request({"x", {"d1"}});
  BOOST_TEST(net.a.observations->handle(body, net.a.shared->view()).status == 404U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle::testing
