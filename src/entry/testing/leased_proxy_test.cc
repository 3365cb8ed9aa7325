// Tests that requests to upstreams that don't check fencing tokens are sent only while their
// dispatcher holds a lease on the shard.
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "entry/testing/proxy_fixture.h"

namespace plantainpaddle::testing {

namespace {

const upstream_id owner{"u0~e1@1"};
constexpr int max_release_polls = 1000;

void disable_fence_checks(proxy_fixture& proxy) {
  proxy.service.service.checks_fence = false;
  proxy.service.routes.front().timeout = milliseconds(200);
  for (auto& target : proxy.service.shards) target.dispatched = owner;
  proxy.publish();
}

// Sends two orders: the answer to the first has the nonce, with which the second grants the set.
grant_answer grant(proxy_fixture& proxy, const std::vector<shard_grant>& set) {
  grant_order order{.cell = {"shelf/d1/0"}, .term = {1}, .assigner = {"a@1"}};
  const auto asked = proxy.traffic->handle_order(owner, order);
  order.life = asked.life;
  order.nonce = asked.nonce;
  order.length = seconds(30);
  order.digest = digest_of(set);
  order.set = set;
  return proxy.traffic->handle_order(owner, order);
}

std::vector<shard_grant> all_shards(const proxy_fixture& proxy) {
  std::vector<shard_grant> set;
  for (std::uint32_t i = 0; i < proxy.service.service.shards; ++i) {
    set.push_back({shard_id{i}, proxy.service.shards[i].fence});
  }
  return set;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(leased_proxy)

BOOST_AUTO_TEST_CASE(nothing_is_sent_before_the_lease) {
  std::atomic<int> received{0};
  scripted_upstream upstream([&](scripted_connection& connection) {
    if (connection.read_request().empty()) return;
    ++received;
    connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  proxy_fixture proxy({upstream.address()});
  disable_fence_checks(proxy);
  const auto refused = proxy.caller().get("/stock/1");
  BOOST_TEST(refused.status() == 503);
  BOOST_TEST(refused.has("Plantainpaddle-Outcome: not-run\r\n"));
  BOOST_TEST(received == 0);

  BOOST_TEST((grant(proxy, all_shards(proxy)).status == grant_status::accepted));
  BOOST_TEST(proxy.caller().get("/stock/1").status() == 200);
  BOOST_TEST(received == 1);
  // The caller may have the complete answer shortly before the traffic thread releases the shard.
  bool released = false;
  for (int i = 0; i < max_release_polls && !released; ++i) {
    released = grant(proxy, {}).draining.empty();
    std::this_thread::sleep_for(milliseconds(released ? 0 : 10));
  }
  BOOST_TEST(released);
}

// An answer that is cut off doesn't tell whether the upstream still works on the request, so the
// shard stays busy.
BOOST_AUTO_TEST_CASE(a_broken_answer_keeps_the_shard_busy) {
  scripted_upstream upstream([](scripted_connection& connection) {
    connection.read_request();
    connection.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello");
  });
  proxy_fixture proxy({upstream.address()});
  disable_fence_checks(proxy);
  proxy.service.routes.front().timeout = seconds(20);
  proxy.publish();
  grant(proxy, all_shards(proxy));
  auto caller = proxy.caller();
  BOOST_TEST(!caller.get("/stock/1").whole);
  BOOST_TEST(caller.at_end());
  const auto after = grant(proxy, {});
  BOOST_REQUIRE_EQUAL(after.draining.size(), 1U);
  BOOST_TEST((after.draining.front().shard == proxy.shard("1")));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle::testing
