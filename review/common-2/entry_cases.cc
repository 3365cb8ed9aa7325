// Cases from entries of KNOWN-RED.txt.
#include "cases.h"

namespace lab {
namespace {

bool is_served(const entry_row& at, const service_row& service, std::int64_t longest_ms) {
  const auto answer =
      call(at.callers, format_request("GET", service.name, "probe", new_request_id("p"), 2000, -1),
           longest_ms);
  return answer && answer->status == 200;
}

bool wait_until_served(const entry_row& at, const service_row& service) {
  const auto end = now_ms() + 20000;
  while (now_ms() < end) {
    if (is_served(at, service, 3000)) return true;
    sleep_ms(50);
  }
  return false;
}

std::int64_t resident_kb(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(in, line)) {
    if (line.rfind("VmRSS:", 0) == 0) return std::stoll(line.substr(6));
  }
  return 0;
}

}  // namespace

// Clients send many safe requests ahead on a connection and read no answer, while others connect
// anew for one ordinary request each. The route has the highest rank, so that instances admit
// requests by priority.
int play_unread_pipelines(const std::string& self, const std::string& entry,
                          const std::string& record, bool trouble) {
  constexpr int crowd = 1200;
  constexpr int ahead = 4000;
  constexpr std::int64_t crowd_ms = 25000;
  constexpr int newcomers = 8;             // RECOVER: "seven clients or more"
  constexpr std::int64_t quiet_ms = 3000;  // `quiet-period`
  constexpr std::int64_t memory_mb = 260;  // `memory-mb`
  site here(self, entry);
  client_log clients;
  const service_row service{.name = "sigma", .priority = 0};
  here.start_store();
  here.put_config({service});
  std::vector<std::string> ids;
  for (int i = 1; i <= 3; ++i) {
    ids.push_back("s" + std::to_string(i));
    here.start_server(ids.back(), service, free_address(), {"work=1", "body=4000"});
  }
  const auto at = here.start_entry("edge-z-a", "z-a");
  if (!wait_until_served(at, service)) {
    std::cout << "the deployment isn't served\n";
    return 2;
  }
  std::vector<std::thread> threads;
  std::atomic<bool> stop{false};
  if (trouble) {
    for (int i = 0; i < crowd; ++i) {
      threads.emplace_back([&, i] {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int small = 4096;
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
        const auto to = parse_endpoint(at.callers);
        if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
          ::close(fd);
          return;
        }
        std::string text;
        for (int j = 0; j < ahead; ++j) {
          text += format_request("GET", "sigma", "x",
                                 "u" + std::to_string(i) + "-" + std::to_string(j), 5000, -1);
        }
        std::size_t done = 0;
        while (!stop && done < text.size()) {
          pollfd wait{fd, POLLOUT, 0};
          if (::poll(&wait, 1, 100) <= 0) continue;
          const auto sent =
              ::send(fd, text.data() + done, std::min<std::size_t>(65536, text.size() - done),
                     MSG_NOSIGNAL | MSG_DONTWAIT);
          if (sent < 0 && errno != EAGAIN) break;
          if (sent > 0) done += static_cast<std::size_t>(sent);
        }
        while (!stop) sleep_ms(50);
        ::close(fd);
      });
    }
  }
  std::int64_t most_kb = 0;
  std::atomic<std::int64_t> last_taken{now_ms()};
  std::atomic<std::int64_t> last_ready{now_ms()};
  std::atomic<std::int64_t> longest_taken{0}, longest_ready{0};
  bool ended = false;
  const auto end = now_ms() + crowd_ms;
  const auto raise = [](std::atomic<std::int64_t>& most, std::int64_t value) {
    auto known = most.load();
    while (known < value && !most.compare_exchange_weak(known, value)) {
    }
  };
  std::vector<std::thread> others;
  others.emplace_back([&] {
    while (now_ms() < end) {
      const auto asked = now_ms();
      const bool ready = site::is_ready(at);
      raise(longest_ready, now_ms() - last_ready);
      if (ready) last_ready = now_ms();
      clients.note({{"ev", "ready"}, {"t", asked}, {"answered", ready}});
      sleep_ms(200);
    }
  });
  for (int i = 0; i < newcomers; ++i) {
    others.emplace_back([&] {
      while (now_ms() < end) {
        const auto id = new_request_id("n");
        const auto sent = now_ms();
        const auto answer =
            call(at.callers, format_request("GET", "sigma", "x", id, 2500, -1), 2500);
        raise(longest_taken, now_ms() - last_taken);
        if (answer) last_taken = now_ms();
        clients.note({{"ev", "newcomer"},
                      {"t", sent},
                      {"request", id},
                      {"status", answer ? answer->status : 0},
                      {"took_ms", now_ms() - sent}});
        sleep_ms(100);
      }
    });
  }
  while (now_ms() < end && !ended) {
    const auto kb = resident_kb(at.pid);
    most_kb = std::max(most_kb, kb);
    clients.note({{"ev", "resident"}, {"kb", kb}});
    ended = here.has_ended(at.pid);
    sleep_ms(100);
  }
  for (auto& one : others) one.join();
  stop = true;
  for (auto& one : threads) one.join();
  bool served = false;
  for (int i = 0; i < 20 && !served; ++i) {
    served = is_served(at, service, 1000);
    if (!served) sleep_ms(200);
  }
  const bool broken = ended || most_kb > memory_mb * 1024 || longest_taken > quiet_ms || !served;
  const std::vector<std::string> lines{
      "resident at most " + std::to_string(most_kb / 1024) + " MB, " + std::to_string(memory_mb) +
          " allowed",
      "the ready address was silent for up to " + std::to_string(longest_ready) + " ms",
      "no new connection got an answer of any kind for up to " + std::to_string(longest_taken) +
          " ms, while " + std::to_string(newcomers) + " clients tried",
      std::string("the process ") + (ended ? "has ended" : "lives"),
      std::string("an ordinary request afterwards: ") + (served ? "served" : "not served"),
      broken ? "RECOVER: the rule was broken" : "the rule held"};
  write_record(record, clients.take(), here.began(), lines);
  for (const auto& line : lines) std::cout << line << '\n';
  return broken ? 1 : 0;
}

}  // namespace lab
