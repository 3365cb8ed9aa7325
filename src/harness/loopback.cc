#include "harness/loopback.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <thread>

namespace plantainpaddle {
namespace {

constexpr int first_port = 24'000;
constexpr int last_port = 27'999;
constexpr duration poll_period = milliseconds(50);

// A port of the range that nobody listens on or has reserved. Several benches at once start at
// different places. The socket stays bound, without listening, as long as this program runs: it
// keeps others from the port while the process that uses it is being restarted.
int reserve_port() {
  static int next = first_port + getpid() * 613 % (last_port - first_port);
  for (int i = first_port; i <= last_port; ++i) {
    next = next == last_port ? first_port : next + 1;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(next));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
      // Processes that set the option too may listen on the port.
      const int on = 1;
      setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
      return next;
    }
    close(fd);
  }
  return 0;
}

}  // namespace

std::string free_address() { return "127.0.0.1:" + std::to_string(reserve_port()); }

std::string read_file(const std::string& name) {
  std::ifstream in(name);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

bool wait_until(duration most, const std::function<bool()>& done) {
  const monotonic_time until = monotonic_now() + most;
  while (monotonic_now() < until) {
    if (done()) return true;
    std::this_thread::sleep_for(poll_period);
  }
  return done();
}

}  // namespace plantainpaddle
