#include "platform/store_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "http/server.h"
#include "platform/etcd_codec.h"

using namespace plantainpaddle;
namespace asio = boost::asio;

namespace {

const std::string pair_text = R"({"key":"YQ==","value":"Yg==","mod_revision":"7"})";

// A server that answers every call with what the test says, and counts the calls.
struct scripted_store {
  explicit scripted_store(asio::io_context& io) : server(io.get_executor()) {
    address =
        *server.listen("127.0.0.1:0", [this](http_request r) { return answer(std::move(r)); });
  }

  asio::awaitable<http_response> answer(http_request request) {
    ++calls;
    last = std::move(request);
    if (delay.count() > 0) {
      asio::steady_timer timer(co_await asio::this_coro::executor, delay);
      co_await timer.async_wait(asio::use_awaitable);
    }
    co_return response;
  }

  http_server server;
  std::string address;
  http_response response = json_response(200, "{}");
  duration delay{0};
  http_request last;
  int calls = 0;
};

// Takes one request and closes the connection without an answer.
struct closing_store {
  explicit closing_store(asio::io_context& io)
      : acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}), socket(io) {
    address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    acceptor.async_accept(socket, [this](const auto&) {
      asio::async_read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n",
                             [this](const auto&, std::size_t) { socket.close(); });
    });
  }

  asio::ip::tcp::acceptor acceptor;
  asio::ip::tcp::socket socket;
  std::string address;
  std::string text;
};

// An address at which nobody listens.
std::string free_address(asio::io_context& io) {
  asio::ip::tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

// Runs one compare-and-swap to its end.
result<swap_answer> swap(asio::io_context& io, store_client& store) {
  std::optional<result<swap_answer>> outcome;
  store.compare_and_swap("a", 0, "b", [&](result<swap_answer> answer) {
    BOOST_TEST(!outcome.has_value());
    outcome = std::move(answer);
  });
  BOOST_TEST(!outcome.has_value());  // never inside the call
  io.restart();
  while (!outcome) io.run_one();
  return *outcome;
}

error swap_error(asio::io_context& io, store_client& store) {
  const auto outcome = swap(io, store);
  BOOST_REQUIRE(outcome.has_error());
  BOOST_TEST((outcome.error().at == step::store));
  return outcome.error();
}

// The lines of a watch as a streamed body.
chunk_source lines(std::vector<std::string> texts) {
  auto left = std::make_shared<std::vector<std::string>>(std::move(texts));
  return [left]() -> asio::awaitable<std::optional<std::string>> {
    if (left->empty()) co_return std::nullopt;
    std::string next = left->front();
    left->erase(left->begin());
    co_return next;
  };
}

struct watch_outcome {
  std::vector<std::size_t> sizes;  // of the event lists
  std::optional<error> ended;
};

watch_outcome watch(asio::io_context& io, store_client& store) {
  watch_outcome seen;
  const auto token = store.watch("a", 6, [&](result<std::vector<watch_event>> events) {
    BOOST_TEST(!seen.ended.has_value());  // the error is the last call
    if (events) {
      seen.sizes.push_back(events->size());
    } else {
      seen.ended = events.error();
    }
  });
  io.restart();
  while (!seen.ended) io.run_one();
  return seen;
}

const std::string created = R"({"result":{"header":{"revision":"6"},"created":true}})"
                            "\n";
const std::string progress = R"({"result":{"header":{"revision":"9"}}})"
                             "\n";
const std::string changed = R"({"result":{"events":[{"kv":)" + pair_text + "}]}}\n";

}  // namespace

BOOST_AUTO_TEST_SUITE(platform_store_client)

BOOST_AUTO_TEST_CASE(a_swap_that_took_effect_and_one_that_did_not) {
  asio::io_context io;
  scripted_store server(io);
  store_client store(io.get_executor(), {.addresses = {server.address}});
  server.response = json_response(200, R"({"succeeded":true,"header":{"revision":"8"}})");
  const auto written = swap(io, store);
  BOOST_REQUIRE(written.has_value());
  BOOST_TEST(written->written);
  BOOST_TEST(written->version == 8U);
  BOOST_TEST(server.last.target == "/v3/kv/txn");
  server.response =
      json_response(200, R"({"responses":[{"response_range":{"kvs":[)" + pair_text + "]}}]}");
  const auto refused = swap(io, store);
  BOOST_REQUIRE(refused.has_value());
  BOOST_TEST(!refused->written);
  BOOST_TEST(refused->version == 7U);
  BOOST_TEST(*refused->value == "b");
}

BOOST_AUTO_TEST_CASE(a_store_that_is_down_is_unavailable) {
  asio::io_context io;
  store_client store(io.get_executor(), {.addresses = {free_address(io)}});
  BOOST_TEST((swap_error(io, store).code == errc::unavailable));
}

BOOST_AUTO_TEST_CASE(a_slow_store_times_out_and_is_asked_once) {
  asio::io_context io;
  scripted_store server(io);
  server.delay = seconds(60);
  store_client store(io.get_executor(),
                     {.addresses = {server.address}, .timeout = milliseconds(20)});
  BOOST_TEST((swap_error(io, store).code == errc::timed_out));
  BOOST_TEST(server.calls == 1);
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_not_taken_for_nothing_sent) {
  asio::io_context io;
  closing_store server(io);
  store_client store(io.get_executor(), {.addresses = {server.address}});
  BOOST_TEST((swap_error(io, store).code == errc::protocol));
  BOOST_TEST(server.text.starts_with("POST /v3/kv/txn"));
}

BOOST_AUTO_TEST_CASE(answers_without_sense_are_errors) {
  asio::io_context io;
  scripted_store server(io);
  store_client store(io.get_executor(), {.addresses = {server.address}});
  for (const char* body : {"", "[]", "{", "{}", R"({"responses":[]})", R"({"responses":[7]})",
                           R"({"responses":[{"response_range":{"kvs":[{"key":"*"}]}}]})"}) {
    server.response = json_response(200, body);
    BOOST_TEST(swap(io, store).has_error(), body);
  }
}

BOOST_AUTO_TEST_CASE(an_answer_beyond_the_budget_is_refused) {
  asio::io_context io;
  scripted_store server(io);
  server.response = json_response(200, std::string(5000, ' '));
  store_client store(io.get_executor(), {.addresses = {server.address}, .answer_bytes = 4096});
  BOOST_TEST(swap(io, store).has_error());
}

BOOST_AUTO_TEST_CASE(after_an_error_the_next_address_is_asked) {
  asio::io_context io;
  scripted_store failing(io);
  failing.response = json_response(503, "{}");
  scripted_store well(io);
  well.response = json_response(200, R"({"succeeded":true,"header":{"revision":"8"}})");
  store_client store(io.get_executor(),
                     {.addresses = {free_address(io), failing.address, well.address}});
  BOOST_TEST(swap(io, store).has_error());
  BOOST_TEST((swap_error(io, store).code == errc::unavailable));
  BOOST_TEST(swap(io, store).has_value());
  BOOST_TEST(swap(io, store).has_value());
  BOOST_TEST(failing.calls == 1);
  BOOST_TEST(well.calls == 2);
}

BOOST_AUTO_TEST_CASE(calls_that_fail_together_move_on_once) {
  asio::io_context io;
  scripted_store well(io);
  well.response = json_response(200, R"({"succeeded":true,"header":{"revision":"8"}})");
  store_client store(io.get_executor(), {.addresses = {free_address(io), well.address}});
  int failed = 0;
  for (int i = 0; i < 2; ++i) {
    store.get("a", [&](const auto& answer) { failed += answer.has_error() ? 1 : 0; });
  }
  while (failed < 2) io.run_one();
  BOOST_TEST(swap(io, store).has_value());
}

BOOST_AUTO_TEST_CASE(a_watch_shows_events_progress_and_its_end) {
  asio::io_context io;
  scripted_store server(io);
  server.response.stream = lines({created, changed, progress, changed + changed});
  store_client store(io.get_executor(), {.addresses = {server.address}});
  const auto seen = watch(io, store);
  BOOST_TEST(seen.sizes == (std::vector<std::size_t>{0, 1, 0, 1, 1}),
             boost::test_tools::per_element());
  BOOST_TEST((seen.ended->code == errc::unavailable || seen.ended->code == errc::protocol));
  BOOST_TEST(server.last.body == format_watch_request("a", 6));
}

// Guards against numbers of a store that are compared with those from before it came back from an
// older copy: a call that is answered in another era than it was made in fails, as does a late
// answer of an earlier era.
BOOST_AUTO_TEST_CASE(an_answer_of_another_era_is_an_error) {
  asio::io_context io;
  scripted_store server(io);
  store_client store(io.get_executor(),
                     {.addresses = {server.address}, .protocol = item_protocol{}});
  int changes = 0;
  store.set_era_handler([&] { ++changes; });
  const auto written_in = [&](const std::string& era) {
    server.response = json_response(200, R"({"revision":8})");
    if (!era.empty()) server.response.headers.push_back({"Store-Era", era});
    return swap(io, store).has_value();
  };
  BOOST_TEST(written_in(""));  // a store that states no era has one history
  BOOST_TEST(written_in("1"));
  BOOST_TEST(changes == 0);  // the first era that is seen is no change
  BOOST_TEST(!written_in("2"));
  BOOST_TEST(changes == 1);
  BOOST_TEST(store.era() == 2U);
  BOOST_TEST(written_in("2"));
  BOOST_TEST(!written_in("1"));
  BOOST_TEST(changes == 1);
  BOOST_TEST(store.era() == 2U);
  // Numbers that can't be read, or that no store can have reached, state nothing.
  for (const char* era : {"x", "-3", "3.5", "99999999999999999999", "1048577"}) {
    BOOST_TEST(written_in(era), era);
  }
  BOOST_TEST(changes == 1);
}

// The watcher of a failure domain starts a new watch as long as it holds no token: one that looked
// empty made it read the whole state and watch anew each second.
BOOST_AUTO_TEST_CASE(the_token_of_a_watch_is_not_empty) {
  asio::io_context io;
  scripted_store server(io);
  server.response.stream = lines({created});
  store_client store(io.get_executor(), {.addresses = {server.address}});
  const std::shared_ptr<void> token = store.watch("a", 6, [](const auto&) {});
  BOOST_TEST(static_cast<bool>(token));
}

BOOST_AUTO_TEST_CASE(a_watch_ends_at_a_line_without_sense) {
  asio::io_context io;
  scripted_store server(io);
  server.response.stream = lines({created, "nonsense\n" + changed, changed});
  store_client store(io.get_executor(), {.addresses = {server.address}});
  const auto seen = watch(io, store);
  BOOST_TEST(seen.sizes.size() == 1U);
  io.poll();  // further lines reach nobody
}

BOOST_AUTO_TEST_CASE(a_watch_that_is_cancelled_or_refused_ends) {
  asio::io_context io;
  scripted_store server(io);
  server.response.stream = lines({created, R"({"result":{"canceled":true}})"
                                           "\n"});
  store_client store(io.get_executor(), {.addresses = {server.address}});
  BOOST_TEST((watch(io, store).ended->code == errc::unavailable));
  server.response = json_response(503, "{}\n");
  const auto refused = watch(io, store);
  BOOST_TEST((refused.ended->code == errc::unavailable));
  BOOST_TEST(refused.sizes.empty());
}

BOOST_AUTO_TEST_CASE(a_watch_line_has_a_limit) {
  asio::io_context io;
  scripted_store server(io);
  server.response.stream = lines({created, std::string(5000, 'x')});
  store_client store(io.get_executor(), {.addresses = {server.address}, .answer_bytes = 4096});
  const auto seen = watch(io, store);
  BOOST_TEST(seen.sizes.size() == 1U);
  BOOST_TEST((seen.ended->code == errc::limit_exceeded));
}

BOOST_AUTO_TEST_CASE(a_silent_watch_ends) {
  asio::io_context io;
  scripted_store server(io);
  server.delay = seconds(60);
  store_client store(io.get_executor(),
                     {.addresses = {server.address}, .watch_idle = milliseconds(20)});
  BOOST_TEST((watch(io, store).ended->code == errc::timed_out));
}

// Guards against answers that are given up and asked for again although they are arriving.
BOOST_AUTO_TEST_CASE(a_slow_answer_is_waited_for_and_a_needless_one_is_cancelled) {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
  const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  const std::string body = R"({"store-revision":7,"events":[]})";
  const auto trickle = [&]() -> asio::awaitable<void> {
    auto socket = co_await acceptor.async_accept(asio::use_awaitable);
    std::string request;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                                    asio::use_awaitable);
    const std::string head =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(head), asio::use_awaitable);
    asio::steady_timer timer(io);
    for (const char c : body) {
      timer.expires_after(milliseconds(40));
      co_await timer.async_wait(asio::use_awaitable);
      co_await asio::async_write(socket, asio::buffer(&c, 1), asio::use_awaitable);
    }
  };
  const auto ignored = [](const std::exception_ptr&) {};
  store_client store(io.get_executor(), {.addresses = {address}, .protocol = item_protocol{}});
  // The body takes 32 pieces of 40 ms each, which is longer than the time-out.
  constexpr duration timeout = milliseconds(700);
  int parts = 0;
  auto call = std::make_shared<http_call>();
  call->on_progress = [&] { ++parts; };
  std::optional<result<poll_answer>> slow;
  asio::co_spawn(io, trickle(), ignored);
  store.poll(
      "", 1, duration::zero(), [&](auto answer) { slow = std::move(answer); }, timeout, call);
  while (!slow) io.run_one();
  BOOST_TEST_REQUIRE((slow && slow->has_value()));
  BOOST_TEST((*slow)->revision == 7U);
  BOOST_TEST(parts > 10);

  std::optional<result<poll_answer>> needless;
  auto cancelled = std::make_shared<http_call>();
  cancelled->on_progress = [&] { cancelled->cancel(); };
  asio::co_spawn(io, trickle(), ignored);
  store.poll(
      "", 1, duration::zero(), [&](auto answer) { needless = std::move(answer); }, timeout,
      cancelled);
  while (!needless) io.run_one();
  BOOST_TEST_REQUIRE(needless.has_value());
  BOOST_TEST(!needless->has_value());
  cancelled->on_progress = nullptr;
}

BOOST_AUTO_TEST_SUITE_END()
