// The rules by which an upstream accepts grant orders, and a standby accepts terms.

#include "ownership/grant_holder.h"

#include <boost/test/unit_test.hpp>

#include "ownership/standby.h"

using namespace plantainpaddle;

namespace {

constexpr duration grant_length = milliseconds(1000);
const shard_grant first{shard_id{1}, fence_number{4}};
const shard_grant second{shard_id{2}, fence_number{7}};

monotonic_time at(int ms) { return monotonic_time(milliseconds(ms)); }

// An upstream's grant_holder and the nonce of its last answer.
struct test_upstream {
  grant_holder holder{1, 2};
  std::uint64_t nonce = 0;

  grant_order order_with(std::vector<shard_grant> set, std::uint64_t term = 1) const {
    grant_order order;
    order.term = term_number{term};
    order.life = 1;
    order.nonce = nonce;
    order.length = grant_length;
    order.digest = digest_of(set);
    order.set = std::move(set);
    return order;
  }
  grant_answer deliver(const grant_order& order, monotonic_time now) {
    grant_answer answer = holder.handle(order, now);
    nonce = answer.nonce;
    return answer;
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(grant_holder_rules)

BOOST_AUTO_TEST_CASE(a_grant_lasts_from_its_nonce_and_an_order_is_accepted_once) {
  test_upstream upstream;
  upstream.deliver(upstream.order_with({}), at(0));  // hands out the first nonce
  const auto order = upstream.order_with({first});
  BOOST_TEST((upstream.deliver(order, at(400)).status == grant_status::accepted));
  BOOST_TEST(upstream.holder.admit(first.shard, first.fence, at(999)));
  BOOST_TEST(!upstream.holder.admit(first.shard, first.fence, at(1000)));
  BOOST_TEST((upstream.deliver(order, at(500)).status == grant_status::stale_nonce));
  BOOST_TEST(!upstream.holder.admit(first.shard, first.fence, at(1000)));
}

BOOST_AUTO_TEST_CASE(an_order_that_arrives_too_late_is_refused_as_stale) {
  test_upstream upstream;
  upstream.deliver(upstream.order_with({}), at(0));
  const auto answer = upstream.deliver(upstream.order_with({first}), at(1000));
  BOOST_TEST((answer.status == grant_status::stale_nonce));
  BOOST_TEST(
      (upstream.deliver(upstream.order_with({first}), at(1001)).status == grant_status::accepted));
}

BOOST_AUTO_TEST_CASE(a_revoked_fence_drains_and_is_not_accepted_again) {
  test_upstream upstream;
  upstream.deliver(upstream.order_with({}), at(0));
  upstream.deliver(upstream.order_with({first, second}), at(1));
  BOOST_TEST(upstream.holder.admit(first.shard, first.fence, at(2)));
  const auto revoked = upstream.deliver(upstream.order_with({second}), at(3));
  BOOST_TEST(revoked.held_digest == digest_of({second}));
  BOOST_TEST(revoked.held.empty());  // omitted, as it equals the order's set
  BOOST_TEST((revoked.draining == std::vector<shard_grant>{first}));
  BOOST_TEST(!upstream.holder.admit(first.shard, first.fence, at(4)));
  upstream.holder.finish(first.shard, first.fence);
  const auto again = upstream.deliver(upstream.order_with({first, second}), at(5));
  BOOST_TEST((again.held == std::vector<shard_grant>{second}));
  BOOST_TEST(again.draining.empty());
}

BOOST_AUTO_TEST_CASE(an_older_term_is_refused) {
  test_upstream upstream;
  upstream.deliver(upstream.order_with({}, 2), at(0));
  const auto answer = upstream.deliver(upstream.order_with({first}, 1), at(1));
  BOOST_TEST((answer.status == grant_status::stale_term));
  BOOST_TEST(answer.highest_term.value == 2U);
}

// A duplicate hand-over must not start a second assigner.
BOOST_AUTO_TEST_CASE(a_term_is_accepted_once_and_no_older_one) {
  standby_memory memory;
  const cell_id cell{"sklad/d1/0"};
  memory.handle({cell, term_number{4}, {}}, at(0));
  BOOST_TEST(!memory.accept(cell, term_number{3}, at(1)));
  BOOST_TEST(memory.accept(cell, term_number{4}, at(1)));
  BOOST_TEST(!memory.accept(cell, term_number{4}, at(2)));
}

BOOST_AUTO_TEST_SUITE_END()
