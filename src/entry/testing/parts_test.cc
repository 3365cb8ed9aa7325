// Unit tests of the components that the traffic threads use.
#include <boost/test/unit_test.hpp>
#include <memory>

#include "entry/deadlines.h"
#include "entry/gate.h"
#include "entry/traffic_state.h"

namespace plantainpaddle {

namespace {

monotonic_time at(std::int64_t ms) { return monotonic_time(milliseconds(1'000'000 + ms)); }

service_snapshot unkeyed_service() {
  service_snapshot service;
  service.service.name = service_id{"s"};
  service.service.keyed = false;
  for (const auto* domain : {"d1", "d1", "d2"}) {
    const auto name = "u" + std::to_string(service.upstreams.size());
    service.upstreams.push_back(
        {.name = upstream_id{name}, .address = "127.0.0.1:1", .domain = domain_id{domain}});
  }
  service.dispatchers.resize(service.upstreams.size());
  return service;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(traffic_parts)

BOOST_AUTO_TEST_CASE(deadlines_fire_when_due_and_unregister_in_any_order) {
  deadline_sweeper sweeper;
  std::vector<int> calls(5);
  std::vector<std::unique_ptr<deadline_entry>> entries;
  for (std::size_t i = 0; i < calls.size(); ++i) {
    entries.push_back(std::make_unique<deadline_entry>(sweeper, [&calls, i] { ++calls[i]; }));
    entries.back()->set(at(static_cast<std::int64_t>(i) * 10));
  }
  sweeper.sweep(at(20));
  BOOST_TEST((calls == std::vector<int>{1, 1, 1, 0, 0}));
  BOOST_TEST(entries[2]->expired());
  entries[0].reset();
  entries[4].reset();
  entries[1]->set(at(100));
  BOOST_TEST(!entries[1]->expired());
  entries[3]->set_idle(true);
  sweeper.sweep(at(40));  // parked entries are checked less often
  BOOST_TEST((calls == std::vector<int>{1, 1, 2, 0, 0}));
  sweeper.sweep(at(600));
  BOOST_TEST((calls == std::vector<int>{1, 2, 3, 1, 0}));
  entries.clear();
  BOOST_TEST(sweeper.size() == 0U);
}

BOOST_AUTO_TEST_CASE(a_gate_gives_free_slots_to_queued_requests) {
  upstream_gate gate({.slots = 2});
  std::vector<std::pair<int, bool>> told;
  const auto enter = [&](admission_id id) {
    return gate
        .enter({id, request_class::counter, tenant_id{"t"}, at(5000)}, at(0),
               [&told, id](bool admitted) { told.emplace_back(static_cast<int>(id), admitted); })
        .verdict;
  };
  BOOST_TEST((enter(1) == admission_verdict::admitted));
  BOOST_TEST((enter(2) == admission_verdict::admitted));
  BOOST_TEST((enter(3) == admission_verdict::queued));
  BOOST_TEST((enter(4) == admission_verdict::queued));
  gate.leave(3, at(1), false);  // a queued request gives up
  BOOST_TEST(told.empty());
  gate.leave(1, at(2), true);
  BOOST_TEST((told == std::vector<std::pair<int, bool>>{{4, true}}));
  BOOST_TEST(gate.running() == 2U);
  gate.leave(4, at(3), true);
  gate.leave(4, at(4), true);  // a repeated leave() has no effect
  BOOST_TEST(gate.running() == 1U);
  enter(5);
  BOOST_TEST((enter(6) == admission_verdict::queued));
  gate.expire(at(6000));
  BOOST_TEST((told.back() == std::pair<int, bool>{6, false}));
}

BOOST_AUTO_TEST_CASE(a_new_snapshot_keeps_the_state_of_unchanged_upstreams) {
  traffic_state shared({.threads = 4});
  routing_snapshot snapshot{{unkeyed_service()}};
  const auto first = shared.make_view(std::make_shared<routing_snapshot>(snapshot), at(0));
  BOOST_TEST(first->services[0].upstreams[0]->thread_connections == 30U);
  snapshot.services[0].upstreams[0].slots = 9;
  snapshot.services[0].upstreams[1].address = "127.0.0.1:2";
  const auto second = shared.make_view(std::make_shared<routing_snapshot>(snapshot), at(1));
  BOOST_TEST(second->services[0].upstreams[0] == first->services[0].upstreams[0]);
  BOOST_TEST(second->services[0].upstreams[1] != first->services[0].upstreams[1]);
  BOOST_TEST(second->services[0].retries == first->services[0].retries);
}

BOOST_AUTO_TEST_CASE(requests_without_a_key_stay_in_their_domain_while_they_can) {
  traffic_state shared({.threads = 1});
  auto service = unkeyed_service();
  const auto view =
      shared.make_view(std::make_shared<routing_snapshot>(routing_snapshot{{service}}), at(0));
  const auto choose = [&](std::uint64_t random, std::optional<std::size_t> except) {
    return choose_unkeyed(service, view->services[0], domain_id{"d1"}, at(10), random, except);
  };
  for (std::uint64_t random = 0; random < 1000; ++random) {
    const auto mixed = random * 0x9e3779b97f4a7c15;
    BOOST_TEST(choose(mixed, std::nullopt).value() < 2U);
    BOOST_TEST(choose(mixed, 0).value() == 1U);
  }
  service.upstreams[0].state = service.upstreams[1].state = upstream_state::drain;
  BOOST_TEST(choose(7, std::nullopt).value() == 2U);
  service.upstreams[2].state = upstream_state::drain;
  BOOST_TEST(!choose(7, std::nullopt));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
