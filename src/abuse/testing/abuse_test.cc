// Callers that misuse an entry instance must not exhaust its memory or its descriptors, nor keep it
// from serving an ordinary request afterwards. Processes are real, on loopback. A case checks no
// times and no share of requests served.
//
// The settings are those of the smallest machine of the deployments (120 MB, 3,075 descriptors),
// and the number of callers is half of the 1,200 that were observed, all scaled down by about 0.4.
#include <unistd.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <iostream>
#include <thread>

#include "harness/cluster.h"
#include "harness/crowd.h"
#include "harness/loopback.h"
#include "harness/web.h"
#include "platform/platform_headers.h"
#include "standin/answer_body.h"

using namespace plantainpaddle;

namespace {

constexpr std::uint64_t memory_mb = 48;
constexpr std::size_t descriptors = 1230;
constexpr std::size_t callers = 600;
constexpr std::uint64_t body_limit = 1 << 20;
constexpr std::size_t head_limit = 16 << 10;
constexpr std::size_t complete_every = 8;  // one caller in so many completes what it sends
constexpr duration crowd_time = seconds(3);
constexpr duration answer_wait = seconds(20);  // only a fault reaches it

// Where the callers send their requests.
enum class place { with_route, without_route, ready_address };

cluster_layout small_layout() {
  auto layout = make_registered_layout(1);
  layout.domains = {"north"};
  for (auto& service : layout.services) service.upstreams.resize(1);
  for (auto& route : layout.desired->routes) route.row.body_limit = body_limit;
  layout.entry_bounds = R"({"memory_mb":)" + std::to_string(memory_mb) + R"(,"descriptors":)" +
                        std::to_string(descriptors) + "}";
  return layout;
}

// One system for all cases; each case has an entry process of its own.
cluster& shared_system() {
  static const auto started = [] {
    const std::string folder =
        std::filesystem::temp_directory_path() / ("abuse-test-" + std::to_string(::getpid()));
    auto made = cluster::start(small_layout(), PLANTAINPADDLE_BIN_DIR, folder);
    BOOST_REQUIRE(made.has_value());
    return std::move(*made);
  }();
  return *started;
}

std::string target_at(place where) {
  switch (where) {
    case place::with_route:
      return "/orders/1";
    case place::without_route:
      return "/nowhere/1";
    default:
      return std::string(platform_ready_target);
  }
}

std::string request_line(place where, std::string_view method) {
  static std::atomic<std::uint64_t> made{0};
  std::string text(method);
  text.append(" ").append(target_at(where)).append(" HTTP/1.1\r\nHost: localhost\r\n");
  text.append(platform_header_names.request_id).append(": abuse-");
  return text.append(std::to_string(++made)).append("\r\n");
}

bool is_complete(std::size_t caller) { return caller % complete_every == 0; }

// A body of legal size with a declared length; most callers leave out its last byte.
crowd_script declared_body(place where, std::size_t caller) {
  return {.first = request_line(where, "POST") + "Content-Length: " + std::to_string(body_limit) +
                   "\r\n\r\n",
          .unit = std::string(64 << 10, 'x'),
          .repeated = body_limit - 1,
          .last = is_complete(caller) ? "x" : ""};
}

// The same in chunks; most callers leave out the last chunk.
crowd_script chunked_body(place where, std::size_t caller) {
  constexpr std::size_t chunk = 1024;
  const std::string unit = "400\r\n" + std::string(chunk, 'x') + "\r\n";
  return {.first = request_line(where, "POST") + "Transfer-Encoding: chunked\r\n\r\n",
          .unit = unit,
          .repeated = (body_limit / chunk - 1) * unit.size(),
          .last = is_complete(caller) ? "0\r\n\r\n" : ""};
}

crowd_script oversized_body(place where, std::size_t caller) {
  constexpr std::uint64_t size = std::uint64_t{1} << 30;
  const bool chunked = caller % 2 == 0;
  const std::string unit = "10000\r\n" + std::string(64 << 10, 'x') + "\r\n";
  return {.first = request_line(where, "POST") +
                   (chunked ? "Transfer-Encoding: chunked\r\n\r\n"
                            : "Content-Length: " + std::to_string(size) + "\r\n\r\n"),
          .unit = unit,
          .repeated = size};
}

// A head of legal size whose fields have one character each; most callers leave out its end.
crowd_script short_fields(place where, std::size_t caller) {
  constexpr std::string_view field = "a:\r\n";
  const std::string first = request_line(where, "GET");
  constexpr std::size_t reserve = 8;
  const std::size_t fields = (head_limit - first.size() - reserve) / field.size();
  return {.first = first,
          .unit = std::string(field),
          .repeated = fields * field.size(),
          .last = is_complete(caller) ? "\r\n" : ""};
}

// Many requests on one connection, without reading. They share an id, since a caller sends it.
crowd_script pipelined_requests(place where, std::size_t) {
  constexpr std::uint64_t requests = 4000;
  std::string request =
      request_line(where, "GET") + std::string(standin_size_header) + ": 4000\r\n\r\n";
  const auto size = request.size() * requests;
  return {.unit = std::move(request), .repeated = size};
}

// A request for a long response.
crowd_script long_response(place where, std::size_t) {
  constexpr std::string_view response_bytes = "4000000";
  std::string request = request_line(where, "GET");
  request.append(standin_size_header).append(": ").append(response_bytes).append("\r\n\r\n");
  return {.first = std::move(request)};
}

// Half of a head, or half of a body.
crowd_script half_request(place where, std::size_t caller) {
  if (caller % 2 == 0) {
    return {.first = request_line(where, "GET") + "Accept: " + std::string(head_limit / 2, 'x')};
  }
  auto script = declared_body(where, caller);
  script.repeated /= 2;
  script.last = "";
  return script;
}

using script_maker = crowd_script (*)(place, std::size_t);

// One ordinary request gets its upstream's response.
bool serves_one(const running_entry& entry) {
  static const cluster_layout layout = small_layout();
  const auto& route = layout.desired->routes.front().row;
  const auto answer = web_call(entry.callers, make_registered_request(route, 1));
  return answer && answer->status == 200;
}

bool is_ready(const running_entry& entry) {
  return web_get(entry.operators, std::string(platform_ready_target)).has_value();
}

void misuse(place where, script_maker script, crowd_settings settings) {
  auto& system = shared_system();
  auto& entry = system.entries.begin()->second;
  entry.process.reset();
  BOOST_REQUIRE(!system.start_entry(entry.name));
  BOOST_REQUIRE(wait_until(answer_wait, [&] { return is_ready(entry) && serves_one(entry); }));
  const auto before = entry.process->peak_resident_bytes();
  settings.callers = callers;
  settings.script = [where, script](std::size_t caller) { return script(where, caller); };
  std::size_t most_descriptors = 0;
  {
    const bool at_ready_address = where == place::ready_address;
    crowd many(at_ready_address ? entry.operators : entry.callers, settings);
    const auto until = monotonic_now() + crowd_time;
    while (monotonic_now() < until) {
      std::this_thread::sleep_for(milliseconds(20));
      most_descriptors = std::max(most_descriptors, entry.process->open_descriptors());
    }
    if (!at_ready_address) BOOST_TEST(wait_until(answer_wait, [&] { return is_ready(entry); }));
    most_descriptors = std::max(most_descriptors, entry.process->open_descriptors());
    many.stop();
    std::cerr << boost::unit_test::framework::current_test_case().full_name() << ": "
              << many.connections() << " connections, " << (many.bytes_sent() >> 20)
              << " MB sent; ";
  }
  const auto peak = entry.process->peak_resident_bytes();
  std::cerr << "resident " << (before >> 20) << " MB, at most " << (peak >> 20) << " MB; at most "
            << most_descriptors << " descriptors\n";
  BOOST_TEST(entry.process->running());
  BOOST_TEST(peak <= memory_mb << 20);
  BOOST_TEST(most_descriptors <= descriptors);
  BOOST_TEST(wait_until(answer_wait, [&] { return serves_one(entry); }));
  BOOST_TEST(wait_until(answer_wait, [&] { return is_ready(entry); }));
}

void bodies_in_one_piece(place where) { misuse(where, declared_body, {.piece = body_limit}); }

void bodies_in_small_pieces(place where) {
  misuse(where, declared_body, {.piece = 4096, .pause = milliseconds(5)});
}

void bodies_in_chunks(place where) { misuse(where, chunked_body, {}); }

void bodies_over_the_limit(place where) { misuse(where, oversized_body, {}); }

void heads_of_short_fields(place where) { misuse(where, short_fields, {}); }

void pipelined_without_reading(place where) {
  misuse(where, pipelined_requests, {.read_piece = 0, .receive_buffer = 4096});
}

void slow_senders(place where) {
  misuse(where, declared_body, {.piece = 64, .pause = milliseconds(50)});
}

void slow_readers(place where) {
  misuse(where, long_response,
         {.read_piece = 64, .read_pause = milliseconds(100), .receive_buffer = 4096});
}

void requests_that_stop_half_way(place where) { misuse(where, half_request, {}); }

}  // namespace

// Guards against exhaustion by requests that have a route.
BOOST_AUTO_TEST_SUITE(with_route)

BOOST_AUTO_TEST_CASE(bodies_in_one_piece_at_with_route) { bodies_in_one_piece(place::with_route); }
BOOST_AUTO_TEST_CASE(bodies_in_small_pieces_at_with_route) {
  bodies_in_small_pieces(place::with_route);
}
BOOST_AUTO_TEST_CASE(bodies_in_chunks_at_with_route) { bodies_in_chunks(place::with_route); }
BOOST_AUTO_TEST_CASE(bodies_over_the_limit_at_with_route) {
  bodies_over_the_limit(place::with_route);
}
BOOST_AUTO_TEST_CASE(heads_of_short_fields_at_with_route) {
  heads_of_short_fields(place::with_route);
}
BOOST_AUTO_TEST_CASE(pipelined_without_reading_at_with_route) {
  pipelined_without_reading(place::with_route);
}
BOOST_AUTO_TEST_CASE(slow_senders_at_with_route) { slow_senders(place::with_route); }
BOOST_AUTO_TEST_CASE(slow_readers_at_with_route) { slow_readers(place::with_route); }
BOOST_AUTO_TEST_CASE(requests_that_stop_half_way_at_with_route) {
  requests_that_stop_half_way(place::with_route);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against exhaustion by requests that are refused.
BOOST_AUTO_TEST_SUITE(without_route)

BOOST_AUTO_TEST_CASE(bodies_in_one_piece_at_without_route) {
  bodies_in_one_piece(place::without_route);
}
BOOST_AUTO_TEST_CASE(bodies_in_small_pieces_at_without_route) {
  bodies_in_small_pieces(place::without_route);
}
BOOST_AUTO_TEST_CASE(bodies_in_chunks_at_without_route) { bodies_in_chunks(place::without_route); }
BOOST_AUTO_TEST_CASE(bodies_over_the_limit_at_without_route) {
  bodies_over_the_limit(place::without_route);
}
BOOST_AUTO_TEST_CASE(heads_of_short_fields_at_without_route) {
  heads_of_short_fields(place::without_route);
}
BOOST_AUTO_TEST_CASE(pipelined_without_reading_at_without_route) {
  pipelined_without_reading(place::without_route);
}
BOOST_AUTO_TEST_CASE(slow_senders_at_without_route) { slow_senders(place::without_route); }
BOOST_AUTO_TEST_CASE(slow_readers_at_without_route) { slow_readers(place::without_route); }
BOOST_AUTO_TEST_CASE(requests_that_stop_half_way_at_without_route) {
  requests_that_stop_half_way(place::without_route);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against exhaustion through the ready address, whose limits are its own.
BOOST_AUTO_TEST_SUITE(ready_address)

BOOST_AUTO_TEST_CASE(bodies_in_one_piece_at_ready_address) {
  bodies_in_one_piece(place::ready_address);
}
BOOST_AUTO_TEST_CASE(bodies_in_small_pieces_at_ready_address) {
  bodies_in_small_pieces(place::ready_address);
}
BOOST_AUTO_TEST_CASE(bodies_in_chunks_at_ready_address) { bodies_in_chunks(place::ready_address); }
BOOST_AUTO_TEST_CASE(bodies_over_the_limit_at_ready_address) {
  bodies_over_the_limit(place::ready_address);
}
BOOST_AUTO_TEST_CASE(heads_of_short_fields_at_ready_address) {
  heads_of_short_fields(place::ready_address);
}
BOOST_AUTO_TEST_CASE(pipelined_without_reading_at_ready_address) {
  pipelined_without_reading(place::ready_address);
}
BOOST_AUTO_TEST_CASE(slow_senders_at_ready_address) { slow_senders(place::ready_address); }
BOOST_AUTO_TEST_CASE(slow_readers_at_ready_address) { slow_readers(place::ready_address); }
BOOST_AUTO_TEST_CASE(requests_that_stop_half_way_at_ready_address) {
  requests_that_stop_half_way(place::ready_address);
}

BOOST_AUTO_TEST_SUITE_END()
