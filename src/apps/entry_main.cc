// plantainpaddle-entry: one entry instance.

#include <boost/asio/io_context.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

#include "apps/command_line.h"
#include "base/heap.h"
#include "base/log.h"
#include "entry/control.h"
#include "entry/proxy.h"
#include "entry/range_instance.h"
#include "http/server.h"

namespace plantainpaddle {
namespace {

constexpr const char* settings_variable = "PLANTAINPADDLE_SETTINGS";
constexpr duration drain_time = seconds(20);
constexpr duration leave_time = seconds(3);
constexpr duration table_wait = seconds(10);  // then callers are served without a table
constexpr duration table_poll = milliseconds(20);

// Blocks SIGTERM and SIGINT in this thread and those that it starts; sigwait takes them.
sigset_t block_signals() {
  sigset_t set{};
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  return set;
}

// The operators' port, on a thread of its own.
class operators_port {
 public:
  operators_port(control_plane& control, const metrics& counters)
      : control_(control), counters_(counters) {}
  ~operators_port() {
    io_.stop();
    if (thread_.joinable()) thread_.join();
  }
  operators_port(const operators_port&) = delete;
  operators_port& operator=(const operators_port&) = delete;

  result<std::string> start(const std::string& address) {
    auto started =
        server_.listen(address, [this](http_request request) { return serve(std::move(request)); });
    if (started) thread_ = std::thread([this] { io_.run(); });
    return started;
  }

 private:
  boost::asio::awaitable<http_response> serve(http_request request) {
    if (request.target == "/metrics") {
      co_return http_response{
          200, {{"Content-Type", "text/plain"}}, counters_.prometheus_text(), {}};
    }
    if (request.target == "/status") co_return json_response(200, control_.describe());
    if (request.target == "/healthz") co_return json_response(200, "{}");
    if (request.target == "/readyz") {
      co_return json_response(control_.is_ready() ? 200 : 503, "{}");
    }
    co_return json_response(404, R"({"error":"no such page"})");
  }

  control_plane& control_;
  const metrics& counters_;
  boost::asio::io_context io_{1};
  http_server server_{io_.get_executor(), exposed_server_limits};
  std::thread thread_;
};

int failed(const error& e) {
  log_error(log_level::error, e);
  return exit_unavailable;
}

// Without a table every caller would be told that there is no such route.
void wait_for_table(control_plane& control) {
  const monotonic_time latest = monotonic_now() + table_wait;
  while (!control.is_ready() && monotonic_now() < latest) std::this_thread::sleep_for(table_poll);
}

// Where upstreams register themselves: everything on this thread.
int run_ranges(const entry_settings& settings, const std::string& file) {
  keep_heap_small();
  start_log({.level = settings.level, .instance = settings.name, .buffered = true});
  range_instance instance(settings, file);
  if (const auto started = instance.start(); !started) {
    log_error(log_level::error, started.error());
    flush_log();
    return exit_unavailable;
  }
  instance.run();
  return exit_ok;
}

int run(const entry_settings& settings) {
  start_log({.level = settings.level, .instance = settings.name});
  const sigset_t signals = block_signals();
  metrics counters;
  proxy traffic({.listen_callers = settings.listen_callers,
                 .listen_forward = settings.listen_forward,
                 .threads = settings.threads,
                 .instance = settings.name,
                 .domain = settings.domain},
                counters);
  control_plane control(
      settings, counters,
      {[&](std::shared_ptr<const routing_snapshot> snapshot) {
         traffic.set_snapshot(std::move(snapshot));
       },
       [&] { return traffic.limit_usage(); },
       [&](const instance_id& from, const std::vector<limit_use>& entries) {
         traffic.on_limit_usage(from, entries);
       },
       [&] { return traffic.take_shard_requests(); }, [&] { return traffic.queues(); },
       [&](const upstream_id& owner, const grant_order& order) {
         return traffic.handle_order(owner, order);
       }});
  if (const auto started = control.start(); !started) return failed(started.error());
  operators_port operators(control, counters);
  if (const auto started = operators.start(settings.listen_operators); !started) {
    return failed(started.error());
  }
  wait_for_table(control);
  if (const auto started = traffic.start(); !started) return failed(started.error());
  log_line(log_level::info, {.message = "serves callers at " + settings.listen_callers});
  int number = 0;
  sigwait(&signals, &number);
  // Requests in flight still need this instance's part of the ownership: first they, then the
  // cells.
  control.set_leaving();
  traffic.set_leaving();
  const bool drained = traffic.drain(drain_time);
  control.leave(leave_time);
  if (!drained) log_line(log_level::warning, {.message = "connections were left after the drain"});
  log_line(log_level::info, {.message = "stops"});
  return exit_ok;
}

}  // namespace
}  // namespace plantainpaddle

int main(int argc, char** argv) {
  using namespace plantainpaddle;
  TCLAP::CmdLine command("An entry instance of plantainpaddle.", ' ', PLANTAINPADDLE_VERSION);
  const char* from_environment = std::getenv(settings_variable);
  TCLAP::ValueArg<std::string> file(
      "s", "settings",
      "JSON settings file; without it, the one that " + std::string(settings_variable) + " names",
      from_environment == nullptr, from_environment == nullptr ? "" : from_environment, "FILE",
      command);
  TCLAP::SwitchArg check("", "check", "check the settings and exit", command);
  return run_command(command, {argv, argv + argc}, [&]() -> int {
    const auto settings = read_entry_settings(file.getValue());
    if (!settings) {
      std::cerr << to_string(settings.error()) << '\n';
      return exit_bad_input;
    }
    if (check.getValue()) return exit_ok;
    const bool ranges = settings->form == platform_form::items;
    return ranges ? run_ranges(*settings, file.getValue()) : run(*settings);
  });
}
