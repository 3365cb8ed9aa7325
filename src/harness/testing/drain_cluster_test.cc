// An instance is stopped while callers keep using it until its process is gone. What they and the
// upstreams saw is held against the promise: a request that was sent within the first half of the
// time for the stop, or read at all and passed on, gets its upstream's whole response.
#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <deque>
#include <filesystem>
#include <iostream>
#include <mutex>
#include <random>
#include <thread>

#include "harness/cluster.h"
#include "harness/loopback.h"
#include "http/address.h"
#include "platform/platform_headers.h"
#include "standin/answer_body.h"

using namespace plantainpaddle;

namespace {

using tcp = boost::asio::ip::tcp;

constexpr std::uint64_t seed = 20261206;
constexpr duration before_signal = seconds(1);
constexpr duration grace = seconds(6);
// Rule LOST excuses a request that its upstream still works on then, if it was sent in time.
constexpr duration last_sixth = grace * 5 / 6;
constexpr duration sent_in_time = seconds(3);
constexpr duration caller_time = seconds(4);  // that callers wait for a response
constexpr std::size_t answer_bytes = 400;

struct sent_request {
  std::string id;
  std::string habit;
  duration sent{0};  // host's monotonic clock
  duration end{0};
  int status = 0;  // 0: no response, or one that isn't whole
};

duration host_time() { return monotonic_now().time_since_epoch(); }

// How a caller uses its connections.
struct habit {
  std::string name;
  duration opens_after{0};  // from the caller's begin to its first connection
  duration waits{0};        // from the connection's begin to its first request
  duration pauses{0};       // between requests
  std::size_t pipelined = 1;
};

// A caller with one connection at a time. It is done when it can't connect any more.
class caller {
 public:
  caller(std::string target, habit uses, std::size_t number)
      : target_(std::move(target)),
        uses_(std::move(uses)),
        random_(seed + number),
        number_(number) {}

  void run(const std::atomic<bool>& stop) {
    std::this_thread::sleep_for(uses_.opens_after);
    while (!stop) {
      boost::asio::io_context io;
      tcp::socket socket(io);
      boost::system::error_code code;
      socket.connect(*parse_address(target_), code);
      if (code) return;
      const timeval limit{.tv_sec = caller_time / seconds(1), .tv_usec = 0};
      ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
      unread_.clear();
      std::this_thread::sleep_for(uses_.waits);
      while (!stop && use(socket)) std::this_thread::sleep_for(uses_.pauses);
    }
  }

  std::vector<sent_request> requests;

 private:
  // Sends requests and reads their responses; false if the connection has ended.
  bool use(tcp::socket& socket) {
    std::string text;
    const auto first = requests.size();
    for (std::size_t i = 0; i < uses_.pipelined; ++i) text += add_request();
    boost::system::error_code code;
    for (auto i = first; i < requests.size(); ++i) requests[i].sent = host_time();
    boost::asio::write(socket, boost::asio::buffer(text), code);
    bool open = !code;
    for (auto i = first; i < requests.size(); ++i) {
      if (open) open = read_response(socket, requests[i]);
      if (requests[i].end == duration(0)) requests[i].end = host_time();
    }
    return open;
  }

  std::string add_request() {
    constexpr std::uint32_t keys = 65536;
    constexpr std::uint32_t least_busy_ms = 200;
    constexpr std::uint32_t busy_spread_ms = 600;
    sent_request made{
        .id = "drain-" + std::to_string(number_) + "-" + std::to_string(requests.size()),
        .habit = uses_.name};
    const auto key = std::to_string(random_() % keys);
    const auto busy = duration(milliseconds(least_busy_ms + random_() % busy_spread_ms));
    std::string text = "GET /stock/" + key + " HTTP/1.1\r\nHost: localhost\r\n";
    const auto add = [&](std::string_view name, const std::string& value) {
      text.append(name).append(": ").append(value).append("\r\n");
    };
    add(platform_header_names.request_id, made.id);
    add(platform_key_header, key);
    add(standin_busy_header, std::to_string(busy.count()));
    add("Standin-Size", std::to_string(answer_bytes));
    requests.push_back(std::move(made));
    return text + "\r\n";
  }

  bool read_more(tcp::socket& socket) {
    std::array<char, 16384> bytes{};
    const auto size = ::recv(socket.native_handle(), bytes.data(), bytes.size(), 0);
    if (size <= 0) return false;
    unread_.append(bytes.data(), static_cast<std::size_t>(size));
    return true;
  }

  bool read_response(tcp::socket& socket, sent_request& request) {
    constexpr std::string_view length_name = "Content-Length: ";
    constexpr std::size_t status_at = 9;
    std::size_t head_end = std::string::npos;
    while ((head_end = unread_.find("\r\n\r\n")) == std::string::npos) {
      if (!read_more(socket)) return false;
    }
    const std::string head = unread_.substr(0, head_end + 4);
    const auto length_at = head.find(length_name);
    const std::size_t length = length_at == std::string::npos
                                   ? 0
                                   : std::stoul(head.substr(length_at + length_name.size()));
    while (unread_.size() < head.size() + length) {
      if (!read_more(socket)) return false;
    }
    unread_.erase(0, head.size() + length);
    request.end = host_time();
    request.status = std::stoi(head.substr(status_at, 3));
    return head.find("Connection: close") == std::string::npos;
  }

  std::string target_;
  habit uses_;
  std::mt19937_64 random_;
  std::size_t number_;
  std::string unread_;
};

// Callers before the signal and during the drain, each connection in use until it is closed.
std::vector<habit> make_habits() {
  std::vector<habit> habits;
  for (int i = 0; i < 6; ++i) {
    habits.push_back({.name = "kept", .pauses = milliseconds(20 * i)});
    habits.push_back({.name = "pipelined", .pauses = milliseconds(15 * i), .pipelined = 3});
  }
  // Opened in the drain, first used some time later.
  for (int opened_ms = 100; opened_ms < 2600; opened_ms += 200) {
    for (int waits_ms : {300, 1100, 1900, 2300, 2500}) {
      habits.push_back({.name = "opened-late",
                        .opens_after = before_signal + milliseconds(opened_ms),
                        .waits = milliseconds(waits_ms)});
    }
  }
  // Opened before the signal, rarely used.
  for (int waits_ms = 1000; waits_ms < 6500; waits_ms += 500) {
    habits.push_back({.name = "opened-early", .waits = milliseconds(waits_ms)});
  }
  return habits;
}

struct fixture {
  fixture() {
    folder = (std::filesystem::temp_directory_path() /
              ("plantainpaddle-drain-" + std::to_string(getpid()) + "-" +
               boost::unit_test::framework::current_test_case().p_name.get()))
                 .string();
    std::filesystem::remove_all(folder);
    auto started = cluster::start(make_registered_layout(2), PLANTAINPADDLE_BIN_DIR, folder);
    BOOST_REQUIRE_MESSAGE(started.has_value(), (started ? "" : to_string(started.error())));
    system = std::move(*started);
  }

  struct later_signal {
    duration after{0};
    int number = 0;
  };

  // Stops one instance under load and checks what became of the requests.
  void stop_instance(const std::vector<later_signal>& series) {
    auto& entry = system->entries.at("east-0");
    std::deque<caller> callers;
    for (const auto& uses : make_habits()) {
      callers.emplace_back(entry.callers, uses, callers.size());
    }
    std::atomic<bool> stop{false};
    std::vector<std::thread> threads;
    threads.reserve(callers.size());
    for (auto& one : callers) threads.emplace_back([&one, &stop] { one.run(stop); });
    std::this_thread::sleep_for(before_signal);
    const auto signalled = host_time();
    entry.process->signal(SIGTERM);
    for (const auto& next : series) {
      std::this_thread::sleep_for(signalled + next.after - host_time());
      entry.process->signal(next.number);
    }
    BOOST_TEST((entry.process->wait(signalled + grace - host_time()) == std::optional<int>(0)));
    stop = true;
    for (auto& thread : threads) thread.join();
    check(callers, signalled);
  }

  void check(const std::deque<caller>& callers, duration signalled) const {
    const auto runs = system->runs();
    BOOST_REQUIRE(runs.has_value());
    std::size_t passed_on = 0;
    std::size_t lost = 0;
    std::size_t excused = 0;
    std::size_t in_drain = 0;
    for (const auto& from : callers) {
      for (const auto& request : from.requests) {
        const auto run = std::find_if(runs->begin(), runs->end(),
                                      [&](const auto& one) { return one.id == request.id; });
        if (run == runs->end()) continue;
        ++passed_on;
        if (request.sent > signalled) ++in_drain;
        if (request.status == 200) continue;
        const bool at_work = !run->end || *run->end - signalled >= last_sixth;
        if (at_work && request.sent - signalled <= sent_in_time) {
          ++excused;
          continue;
        }
        ++lost;
        const auto ms = [&](duration at) { return (at - signalled) / milliseconds(1); };
        std::cerr << "lost: " << request.id << " " << request.habit << " sent " << ms(request.sent)
                  << " ms, run begun " << ms(run->start) << " ms, ended "
                  << (run->end ? ms(*run->end) : 0) << " ms, at the caller " << ms(request.end)
                  << " ms with status " << request.status << '\n';
      }
    }
    std::cerr << boost::unit_test::framework::current_test_case().p_name.get() << ": " << passed_on
              << " requests passed on, " << in_drain << " of them in the drain, " << lost
              << " lost, " << excused << " excused\n";
    BOOST_TEST(lost == 0U);
    BOOST_TEST(in_drain > 10U);
  }

  std::string folder;
  std::unique_ptr<cluster> system;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(drain_with_processes)

// Guards against requests that are passed on in a drain and don't get their upstream's response,
// since they were taken too late.
BOOST_FIXTURE_TEST_CASE(one_signal_loses_no_request, fixture) { stop_instance({}); }

// Guards against a drain that a further signal cuts short.
BOOST_FIXTURE_TEST_CASE(a_series_of_signals_loses_no_request, fixture) {
  stop_instance({{milliseconds(300), SIGHUP},
                 {milliseconds(900), SIGTERM},
                 {milliseconds(1500), SIGHUP},
                 {milliseconds(1600), SIGTERM}});
}

BOOST_AUTO_TEST_SUITE_END()
