// Evacuated failure domains in the snapshot, and the check of an upstream right before a request is
// sent to it.
#include "routing/registry_snapshot.h"

#include <boost/test/unit_test.hpp>

#include "routing/upstream_check.h"

namespace plantainpaddle {

namespace {

monotonic_time at(std::int64_t ms) { return monotonic_time(milliseconds(1'000'000 + ms)); }

const service_id desk{"desk"};
const std::string address = "10.0.0.1:80";
const upstream_id a{"a"};
const upstream_id b{"b"};

// A service with upstream `a` in domain north and `b` in south; `a` owns all keys.
struct two_domains {
  desired_state desired;
  upstream_list upstreams;
  std::map<service_id, range_view> ranges;
  registry_config config{.evacuates = true};

  explicit two_domains(bool keyed) {
    desired.version = 1;
    desired.services.push_back({.name = desk, .keyed = keyed});
    add(a, "north");
    add(b, "south");
    if (!keyed) return;
    auto record = make_range_record();
    move_range(record, 0, last_numbered_key, a);
    ranges[desk] = update_range_view({}, record, at(0));
  }

  void add(const upstream_id& id, const std::string& domain) {
    upstreams.on_entry({.id = id, .service = desk, .address = address, .domain = {domain}}, at(0));
  }
  routing_snapshot make(std::int64_t ms) const {
    return make_registry_snapshot(desired, upstreams, ranges, {}, config, at(ms));
  }
};

send_verdict verdict(const routing_snapshot& latest, const upstream_id& upstream, std::int64_t ms) {
  return check_upstream(latest, {nullptr, desk, upstream, address}, at(ms)).verdict;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(evacuated_upstreams)

// Guards against requests without a key that go to an evacuated domain although any other upstream
// can take them.
BOOST_AUTO_TEST_CASE(upstreams_without_keys_are_closed_at_once) {
  two_domains world(false);
  world.config.evacuated[{"north"}] = at(3000);
  const auto snapshot = world.make(0);
  BOOST_TEST((snapshot.services[0].upstreams[0].state == upstream_state::drain));
  BOOST_TEST((snapshot.services[0].upstreams[1].state == upstream_state::active));
  BOOST_TEST((check_upstream(snapshot, {nullptr, desk, a, address}, at(0)) ==
              send_decision{send_verdict::refuse, send_reason::evacuated, {}}));
  BOOST_TEST((verdict(snapshot, b, 0) == send_verdict::send));
}

// Guards against callers who are refused while their keys are still moving, and against requests
// that go to the former owner after the evacuation has ended: the clock closes it, also under a
// snapshot from before.
BOOST_AUTO_TEST_CASE(owners_of_keys_are_closed_by_the_clock) {
  two_domains world(true);
  world.config.evacuated[{"north"}] = at(3000);
  const auto before = world.make(2999);
  BOOST_TEST((before.services[0].upstreams[0].state == upstream_state::active));
  BOOST_TEST((before.services[0].shards[0].upstream == 0U));
  BOOST_TEST((verdict(before, a, 2999) == send_verdict::send));
  BOOST_TEST((verdict(before, a, 3000) == send_verdict::refuse));
  const auto after = world.make(3000);
  BOOST_TEST((after.services[0].upstreams[0].state == upstream_state::drain));
  BOOST_TEST((after.services[0].shards[0].upstream == shard_target::no_upstream));
}

// Guards against requests that a move which takes long sends back to an evacuated former owner.
BOOST_AUTO_TEST_CASE(a_former_owner_is_asked_until_it_is_closed) {
  two_domains world(true);
  auto& record = world.ranges[desk].record;
  move_range(record, 0, last_numbered_key, b);
  record.ranges[0].former = {a};
  world.config.evacuated[{"north"}] = at(3000);
  BOOST_TEST((world.make(2999).services[0].shards[0].former == 0U));
  BOOST_TEST((world.make(3000).services[0].shards[0].former == shard_target::no_upstream));
}

// Guards against an order for a domain that nobody knows, or one that was removed again, which
// closes something all the same.
BOOST_AUTO_TEST_CASE(an_unknown_domain_and_a_removed_order_close_nothing) {
  two_domains world(true);
  const auto calm = world.make(0);
  BOOST_TEST(calm.services[0].closed_from.empty());
  world.config.evacuated[{"elsewhere"}] = at(0);
  const auto unknown = world.make(10);
  BOOST_TEST((unknown.services[0].upstreams == calm.services[0].upstreams));
  BOOST_TEST((verdict(unknown, a, 10) == send_verdict::send));
  world.config.evacuated = {{{"north"}, at(0)}};
  BOOST_TEST((verdict(world.make(10), a, 10) == send_verdict::refuse));
  world.config.evacuated.clear();
  BOOST_TEST((verdict(world.make(20), a, 20) == send_verdict::send));
}

// Guards against a request that waited and then goes to an upstream that has left meanwhile.
BOOST_AUTO_TEST_CASE(upstreams_that_leave_or_are_gone_are_closed) {
  two_domains world(false);
  world.upstreams.on_notice(a, 0, at(5));
  const auto snapshot = world.make(10);
  const auto check = [&](const service_id& service, const upstream_id& upstream) {
    return check_upstream(snapshot, {nullptr, service, upstream, address}, at(10));
  };
  BOOST_TEST((check(desk, a).reason == send_reason::leaving));
  BOOST_TEST((verdict(snapshot, {"gone"}, 10) == send_verdict::refuse));
  BOOST_TEST((check({"gone"}, b).verdict == send_verdict::refuse));
  BOOST_TEST((check(desk, b).verdict == send_verdict::send));
  // The same where the platform orders no evacuations, but under the snapshot of the choice.
  world.config.evacuates = false;
  const auto calm = world.make(10);
  BOOST_TEST((verdict(calm, a, 10) == send_verdict::refuse));
  BOOST_TEST((verdict(calm, {"gone"}, 10) == send_verdict::refuse));
  BOOST_TEST(
      (check_upstream(calm, {&calm, desk, a, address}, at(10)).verdict == send_verdict::send));
  // The name may have passed to a life at another address.
  BOOST_TEST((check_upstream(calm, {nullptr, desk, b, "10.0.0.2:80"}, at(10)).reason ==
              send_reason::leaving));
}

// Guards against upstreams that return from an evacuation cold and get requests as warm ones until
// their entries are read.
BOOST_AUTO_TEST_CASE(upstreams_that_return_from_an_evacuation_count_as_cold_for_a_while) {
  two_domains world(false);
  world.config.returned[{"north"}] = at(2000);
  BOOST_TEST((world.make(0).services[0].warm_since[0] == at(0)));  // no rate is stated
  world.desired.services[0].cold_rate = 3.9;
  world.config.cold = cold_bound{1.5, 8};
  const auto snapshot = world.make(0);
  BOOST_TEST(snapshot.limits_cold);
  BOOST_TEST((snapshot.services[0].warm_since[0] == at(2000)));
  BOOST_TEST((snapshot.services[0].warm_since[1] == at(0)));
  const auto check = [&](std::int64_t ms, std::optional<monotonic_time> permitted_until) {
    return check_upstream(snapshot, {nullptr, desk, a, address}, at(ms), permitted_until).verdict;
  };
  BOOST_TEST((check(1999, {}) == send_verdict::wait));
  BOOST_TEST((check(1999, at(1999)) == send_verdict::wait));
  BOOST_TEST((check(1999, at(2100)) == send_verdict::send));
  BOOST_TEST((check(2000, {}) == send_verdict::send));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
