#include "entry/dispatcher_leases.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpaddle;

namespace {

const upstream_id desk{"desk~a@1"};
const shard_grant first{{1}, {5}};

monotonic_time at(int ms) { return monotonic_time(milliseconds(ms)); }

// Sends a grant in two exchanges: the answer to the first one contains the nonce for the second.
grant_answer send_grant(dispatcher_leases& leases, const std::vector<shard_grant>& set, int ms,
                        bool usable = true) {
  grant_order order{.cell = {"s/d/0"}, .term = {1}, .assigner = {"a@1"}};
  const auto asked = leases.handle(desk, order, usable, at(ms));
  order.life = asked.life;
  order.nonce = asked.nonce;
  order.length = milliseconds(1000);
  order.digest = digest_of(set);
  order.set = set;
  return leases.handle(desk, order, usable, at(ms));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(leases)

BOOST_AUTO_TEST_CASE(no_request_is_admitted_without_a_lease) {
  dispatcher_leases leases(1, 2);
  BOOST_TEST(!leases.admit(desk, first.shard, first.fence, at(0)).has_value());
  BOOST_TEST((send_grant(leases, {first}, 0).status == grant_status::accepted));
  BOOST_TEST(!leases.admit(desk, first.shard, {4}, at(1)).has_value());
  BOOST_TEST(!leases.admit(desk, {2}, first.fence, at(1)).has_value());
  BOOST_TEST(!leases.admit({"other~a@1"}, first.shard, first.fence, at(1)).has_value());
  BOOST_TEST(!leases.admit(desk, first.shard, first.fence, at(1000)).has_value());
}

BOOST_AUTO_TEST_CASE(a_deadline_ends_within_the_lease) {
  dispatcher_leases leases(1, 2);
  send_grant(leases, {first}, 0);
  const auto latest = leases.admit(desk, first.shard, first.fence, at(10));
  BOOST_REQUIRE(latest.has_value());
  BOOST_TEST((*latest < at(1000)));
}

// A request without an answer may still run, so its shard stays busy until the request's deadline.
BOOST_AUTO_TEST_CASE(an_unknown_outcome_keeps_the_shard_busy) {
  dispatcher_leases leases(1, 2);
  send_grant(leases, {first}, 0);
  BOOST_REQUIRE(leases.admit(desk, first.shard, first.fence, at(10)).has_value());
  leases.finish_at(desk, first.shard, first.fence, at(700));
  BOOST_TEST((send_grant(leases, {}, 300).draining == std::vector<shard_grant>{first}));
  BOOST_TEST(send_grant(leases, {}, 700).draining.empty());
}

BOOST_AUTO_TEST_CASE(a_finished_request_frees_its_shard) {
  dispatcher_leases leases(1, 2);
  send_grant(leases, {first}, 0);
  BOOST_REQUIRE(leases.admit(desk, first.shard, first.fence, at(10)).has_value());
  leases.finish(desk, first.shard, first.fence);
  BOOST_TEST(send_grant(leases, {}, 20).draining.empty());
  BOOST_TEST(!send_grant(leases, {}, 20).load.draining);
  BOOST_TEST(send_grant(leases, {}, 20, /*usable=*/false).load.draining);
  leases.set_leaving();
  BOOST_TEST(send_grant(leases, {}, 30).load.draining);
}

BOOST_AUTO_TEST_SUITE_END()
