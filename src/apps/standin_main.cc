// plantainpaddle-standin: stand-ins of the platform, of upstreams and of a faulty network, for
// tests and demonstrations.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

#include "apps/command_line.h"
#include "http/server.h"
#include "standin/platform.h"
#include "standin/relay.h"
#include "standin/upstream.h"

namespace plantainpaddle {
namespace {

// Runs what has started until SIGTERM; its address is the first line on standard output.
int serve(boost::asio::io_context& io, const result<std::string>& started) {
  if (!started) {
    std::cerr << to_string(started.error()) << '\n';
    return exit_unavailable;
  }
  std::cout << *started << std::endl;
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const auto&, int) { io.stop(); });
  io.run();
  return exit_ok;
}

int serve_platform(boost::asio::io_context& io, const std::string& listen,
                   const std::string& control) {
  platform_standin platform(io.get_executor());
  if (!control.empty()) {
    if (const auto started = platform.listen_control(control); !started) return serve(io, started);
  }
  return serve(io, platform.listen(listen));
}

int serve_relay(boost::asio::io_context& io, const std::string& listen) {
  fault_relay relay(io.get_executor());
  http_server control(io.get_executor());
  const auto handle = [&](http_request request) -> boost::asio::awaitable<http_response> {
    co_return relay.handle(request);
  };
  return serve(io, control.listen(listen, handle));
}

int run(int argc, char** argv) {
  TCLAP::CmdLine command("Stand-ins of the systems around plantainpaddle.", ' ',
                         PLANTAINPADDLE_VERSION);
  std::vector<std::string> kinds{"platform", "upstream", "relay"};
  TCLAP::ValuesConstraint<std::string> allowed(kinds);
  TCLAP::UnlabeledValueArg<std::string> kind("kind", "what to stand in for", true, "", &allowed,
                                             command);
  TCLAP::ValueArg<std::string> listen("l", "listen", "address", true, "", "IP:port", command);
  TCLAP::ValueArg<std::string> name("n", "name", "the upstream's name", false, "upstream", "NAME",
                                    command);
  TCLAP::ValueArg<std::string> service(
      "", "service", "the upstream's service, if no grant names it", false, "", "NAME", command);
  TCLAP::ValueArg<std::string> journal("", "journal", "file that the upstream's journal goes to",
                                       false, "", "FILE", command);
  TCLAP::ValueArg<std::string> settings("", "set",
                                        "the upstream's settings, as for POST /control/settings",
                                        false, "{}", "JSON", command);
  TCLAP::ValueArg<int> cold("", "cold-ms", "length of the upstream's cold start", false, 0, "MS",
                            command);
  TCLAP::ValueArg<std::string> control("", "control",
                                       "further address of the platform's control paths", false, "",
                                       "IP:port", command);
  TCLAP::ValueArg<std::string> registry(
      "", "register",
      "the platform stand-in's control address, at which the upstream registers itself; it then "
      "takes grants of key ranges",
      false, "", "IP:port", command);
  TCLAP::ValueArg<std::string> domain("", "domain", "the upstream's failure domain", false, "",
                                      "NAME", command);
  TCLAP::ValueArg<std::string> advertise("", "advertise",
                                         "the address with which the upstream registers itself",
                                         false, "", "IP:port", command);
  TCLAP::SwitchArg no_fence_check("", "no-fence-check", "the upstream checks no fences", command);
  return run_command(command, {argv, argv + argc}, [&]() -> int {
    boost::asio::io_context io(1);
    if (kind.getValue() == "platform") {
      return serve_platform(io, listen.getValue(), control.getValue());
    }
    if (kind.getValue() == "relay") return serve_relay(io, listen.getValue());
    upstream_options options{.name = name.getValue(),
                             .service = service.getValue(),
                             .journal_file = journal.getValue(),
                             .cold_start = milliseconds(cold.getValue()),
                             .check_fence = !no_fence_check.getValue(),
                             .registry = registry.getValue(),
                             .domain = domain.getValue(),
                             .advertise = advertise.getValue()};
    if (const auto bad = apply_settings(options, settings.getValue())) {
      std::cerr << to_string(*bad) << '\n';
      return exit_bad_input;
    }
    upstream_standin upstream(io.get_executor(), options);
    return serve(io, upstream.listen(listen.getValue()));
  });
}

}  // namespace
}  // namespace plantainpaddle

int main(int argc, char** argv) { return plantainpaddle::run(argc, argv); }
