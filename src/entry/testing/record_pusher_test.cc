#include "entry/record_pusher.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>
#include <vector>

#include "entry/load_report.h"
#include "http/server.h"

namespace plantainpaddle {

namespace asio = boost::asio;

namespace {

const service_id desk{"desk"};

record_position position_after(const pushed_record& pushed) {
  return position_of(pushed.record.changes);
}

// An instance that answers pushes after a while.
struct slow_instance {
  explicit slow_instance(asio::io_context& io) : server(io.get_executor()) {
    address = *server.listen("127.0.0.1:0", [this](http_request r) { return take(std::move(r)); });
  }

  asio::awaitable<http_response> take(http_request request) {
    taken.push_back(*parse_pushed_record(request.body));
    asio::steady_timer timer(co_await asio::this_coro::executor, milliseconds(20));
    co_await timer.async_wait(asio::use_awaitable);
    co_return json_response(200, format_known_record(position_after(taken.back())));
  }

  http_server server;
  std::string address;
  std::vector<pushed_record> taken;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(record_pushers)

// Guards against a queue of records on the way to each instance, which leaves a slow link no room
// for anything else.
BOOST_AUTO_TEST_CASE(records_written_during_a_push_are_covered_by_the_next_one) {
  asio::io_context io;
  slow_instance instance(io);
  http_client client(io.get_executor());
  record_pusher pusher(client, "/record");
  auto record = make_range_record();
  for (std::uint32_t i = 1; i <= 5; ++i) {
    move_range(record, i * 100, i * 100 + 99, {"u" + std::to_string(i)});
    record.mark = i;
    pusher.push(desk, record, i, {instance.address});
  }
  io.run_for(milliseconds(400));
  BOOST_TEST_REQUIRE(instance.taken.size() == 2U);
  BOOST_TEST((instance.taken[0].base == record_position{}));
  BOOST_TEST(instance.taken[1].version == 5U);
  BOOST_TEST((instance.taken[1].base == record_position{0, 0, 1}));
  const auto applied = apply_delta(instance.taken[0].record.changes, instance.taken[1].record);
  BOOST_TEST_REQUIRE(applied.has_value());
  BOOST_TEST((*applied == record));
}

// Guards against an instance that keeps an old record because a push to it was lost, or because it
// isn't in the list of instances yet.
BOOST_AUTO_TEST_CASE(an_instance_that_reports_an_older_version_is_sent_the_latest) {
  asio::io_context io;
  slow_instance instance(io);
  http_client client(io.get_executor());
  record_pusher pusher(client, "/record");
  auto record = make_range_record();
  record.mark = 1;
  pusher.push(desk, record, 1, {});
  move_range(record, 100, 199, {"u1"});
  record.mark = 2;
  pusher.push(desk, record, 2, {});
  pusher.on_report(desk, instance.address, {0, 0, 1});
  pusher.on_report(desk, instance.address, {0, 0, 1});  // while the push is under way
  io.run_for(milliseconds(200));
  BOOST_TEST_REQUIRE(instance.taken.size() == 1U);
  BOOST_TEST((instance.taken[0].base == record_position{0, 0, 1}));
  BOOST_TEST(instance.taken[0].version == 2U);
  pusher.on_report(desk, instance.address, {0, 0, 2});
  io.restart();
  io.run_for(milliseconds(100));
  BOOST_TEST(instance.taken.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
