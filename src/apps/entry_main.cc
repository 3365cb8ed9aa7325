// plantainpaddle-entry: one entry instance.

#include <tclap/CmdLine.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <thread>

#include "apps/exit_codes.h"
#include "base/log.h"
#include "entry/control.h"
#include "entry/proxy.h"
#include "http/server.h"

namespace plantainpaddle {
namespace {

constexpr duration drain_time = seconds(20);
constexpr duration leave_time = seconds(3);

int run(const entry_settings& settings) {
  start_log({settings.level, settings.name});
  metrics counters;
  proxy traffic({.listen_callers = settings.listen_callers,
                 .listen_forward = settings.listen_forward,
                 .threads = settings.threads,
                 .instance = settings.name,
                 .domain = settings.domain},
                counters);
  control_plane control(settings, counters,
                        {[&](std::shared_ptr<const routing_snapshot> snapshot) {
                           traffic.set_snapshot(std::move(snapshot));
                         },
                         [&] { return traffic.limit_usage(); },
                         [&](const instance_id& from, const std::vector<limit_use>& entries) {
                           traffic.on_limit_usage(from, entries);
                         }});
  boost::asio::io_context io;
  http_server operators(io.get_executor());
  const auto serve = [&](http_request request) -> boost::asio::awaitable<http_response> {
    if (request.target == "/metrics") {
      co_return http_response{
          200, {{"Content-Type", "text/plain"}}, counters.prometheus_text(), {}};
    }
    if (request.target == "/status") co_return json_response(200, control.describe());
    if (request.target == "/healthz") co_return json_response(200, "{}");
    if (request.target == "/readyz") co_return json_response(control.is_ready() ? 200 : 503, "{}");
    co_return json_response(404, R"({"error":"no such page"})");
  };
  for (const auto& started :
       {traffic.start(), control.start(), operators.listen(settings.listen_operators, serve)}) {
    if (!started) {
      log_error(log_level::error, started.error());
      return exit_unavailable;
    }
  }
  log_line(log_level::info, {.message = "serves callers at " + settings.listen_callers});
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const auto&, int) { io.stop(); });
  io.run();
  // Requests in flight still need this instance's part of the ownership: first they, then the
  // cells.
  control.set_leaving();
  std::thread operators_thread([&] {
    io.restart();
    io.run();
  });
  const bool drained = traffic.drain(drain_time);
  control.leave(leave_time);
  io.stop();
  operators_thread.join();
  if (!drained) log_line(log_level::warning, {.message = "connections were left after the drain"});
  log_line(log_level::info, {.message = "stops"});
  return exit_ok;
}

}  // namespace
}  // namespace plantainpaddle

int main(int argc, char** argv) {
  using namespace plantainpaddle;
  try {
    TCLAP::CmdLine command("An entry instance of plantainpaddle.", ' ', PLANTAINPADDLE_VERSION);
    TCLAP::ValueArg<std::string> file("s", "settings", "JSON settings file", true, "", "FILE",
                                      command);
    TCLAP::SwitchArg check("", "check", "check the settings and exit", command);
    command.parse(argc, argv);
    const auto settings = read_entry_settings(file.getValue());
    if (!settings) {
      std::cerr << to_string(settings.error()) << '\n';
      return exit_bad_input;
    }
    return check.getValue() ? exit_ok : run(*settings);
  } catch (const TCLAP::ArgException& e) {
    std::cerr << e.error() << " for argument " << e.argId() << '\n';
    return exit_usage;
  }
}
