// Cases about keys that two servers hold at once.
#include <random>

#include "cases.h"

namespace lab {
namespace {

// Sends safe requests with random keys, each on a connection of its own, until it is stopped.
class key_traffic {
 public:
  key_traffic(client_log& log, std::vector<entry_row> entries, std::vector<std::string> services,
              int threads) {
    for (int i = 0; i < threads; ++i) {
      workers_.emplace_back([this, &log, entries, services, i] {
        std::mt19937 random(static_cast<unsigned>(i + 1));
        while (!stop_) {
          const auto& at = entries[random() % entries.size()];
          const auto& service = services[random() % services.size()];
          const int key = static_cast<int>(random() % 65536);
          const auto id = new_request_id("c" + std::to_string(i));
          const auto sent = now_ms();
          const auto answer = call(
              at.callers, format_request("GET", service, std::to_string(key), id, 2500, key), 4000);
          log.note({{"ev", "client"},
                    {"t", sent},
                    {"request", id},
                    {"entry", at.name},
                    {"service", service},
                    {"key", key},
                    {"status", answer ? answer->status : 0},
                    {"took_ms", now_ms() - sent}});
          if (answer && answer->status == 200) ++served_[service];
          sleep_ms(20);
        }
      });
    }
    for (const auto& service : services) served_[service] = 0;
  }
  ~key_traffic() { stop(); }
  void stop() {
    stop_ = true;
    for (auto& one : workers_) {
      if (one.joinable()) one.join();
    }
  }

 private:
  std::map<std::string, std::atomic<int>> served_;
  std::atomic<bool> stop_{false};
  std::vector<std::thread> workers_;
};

// Whether keys all over the service are served by all entries.
bool wait_until_served(const std::vector<entry_row>& entries,
                       const std::vector<std::string>& services, std::int64_t longest_ms) {
  const auto end = now_ms() + longest_ms;
  for (const auto& at : entries) {
    for (const auto& service : services) {
      for (int key = 0; key < 65536;) {
        if (now_ms() > end) return false;
        const auto answer =
            call(at.callers,
                 format_request("GET", service, "probe", new_request_id("p"), 1000, key), 2000);
        if (answer && answer->status == 200) {
          key += 4096;
        } else {
          sleep_ms(50);
        }
      }
    }
  }
  return true;
}

int finish(site& here, const std::vector<std::string>& ids, client_log& clients,
           const std::vector<std::string>& lines, const std::map<std::string, std::int64_t>& killed,
           const std::string& record) {
  constexpr std::int64_t longest_double_ms = 500;  // OWNER: "for over half a second"
  std::vector<json::object> events;
  for (const auto& id : ids) {
    for (auto& event : read_log(here.log_of(id))) events.push_back(std::move(event));
  }
  std::stable_sort(events.begin(), events.end(), [](const auto& a, const auto& b) {
    return a.at("t").template to_number<std::int64_t>() <
           b.at("t").template to_number<std::int64_t>();
  });
  const auto found = find_double_holds(events, killed, longest_double_ms);
  auto verdict = lines;
  for (const auto& one : found) {
    std::ostringstream text;
    text << "OWNER: service " << one.service << " keys " << one.first_key << ".." << one.last_key
         << " held by " << one.first << " (fence " << one.first_fence << ") and " << one.second
         << " (fence " << one.second_fence << ") from " << one.from - here.began() << " to "
         << one.to - here.began() << " ms, " << one.to - one.from << " ms";
    verdict.push_back(text.str());
  }
  verdict.push_back(found.empty() ? "the rule held" : "the rule was broken");
  for (auto& event : clients.take()) events.push_back(std::move(event));
  write_record(record, std::move(events), here.began(), verdict);
  for (std::size_t i = 0; i < verdict.size() && i < 12; ++i) std::cout << verdict[i] << '\n';
  return found.empty() ? 0 : 1;
}

}  // namespace

// Two services are divided by key. A server of the first crashes for good; 2.1 s later its address
// belongs to a new server of the second.
int play_reused_address(const std::string& self, const std::string& entry,
                        const std::string& record, bool trouble) {
  constexpr std::int64_t heartbeat_ms = 1500;
  constexpr std::int64_t reuse_after_ms = 2100;  // `reuse-after` is 2 s
  site here(self, entry);
  client_log clients;
  const service_row first{.name = "alpha", .sharded = true};
  const service_row second{.name = "beta", .sharded = true};
  here.start_store();
  here.put_config({first, second});
  const std::vector<std::string> usual{"heartbeat=" + std::to_string(heartbeat_ms)};
  std::vector<std::string> ids;
  std::vector<server_row> servers;
  const auto add = [&](const std::string& id, const service_row& service, const std::string& at) {
    servers.push_back(here.start_server(id, service, at, usual));
    ids.push_back(id);
  };
  for (int i = 1; i <= 6; ++i) add("a" + std::to_string(i), first, free_address());
  for (int i = 1; i <= 4; ++i) add("b" + std::to_string(i), second, free_address());
  std::vector<entry_row> entries;
  for (const char* zone : {"z-a", "z-b", "z-c"}) {
    entries.push_back(here.start_entry(std::string("edge-") + zone, zone));
  }
  if (!wait_until_served(entries, {"alpha", "beta"}, 30000)) {
    std::cout << "the deployment isn't served\n";
    return 2;
  }
  std::map<std::string, std::int64_t> killed;
  std::vector<std::string> lines;
  {
    key_traffic traffic(clients, entries, {"alpha", "beta"}, 12);
    sleep_ms(5000);
    const server_row gone = servers[0];
    here.kill(gone.pid, SIGKILL);
    killed[gone.id] = now_ms();
    lines.push_back("a1 at " + gone.address + " was killed at " +
                    std::to_string(now_ms() - here.began()) + " ms");
    sleep_ms(reuse_after_ms);
    add("b5", second, trouble ? gone.address : free_address());
    lines.push_back("b5 started at " + servers.back().address + " at " +
                    std::to_string(now_ms() - here.began()) + " ms");
    sleep_ms(9000);
  }
  for (const auto& one : entries) {
    if (here.has_ended(one.pid)) lines.push_back(one.name + " has ended by itself");
  }
  return finish(here, ids, clients, lines, killed, record);
}

// Two services are divided by key. Another writer's entry, which lacks a field, is of the first
// service and has the address of a server of the second.
int play_incomplete_entry(const std::string& self, const std::string& entry,
                          const std::string& record, bool trouble) {
  site here(self, entry);
  client_log clients;
  const service_row first{.name = "alpha", .sharded = true};
  const service_row second{.name = "beta", .sharded = true};
  here.start_store();
  here.put_config({first, second});
  const std::vector<std::string> usual{"heartbeat=1500"};
  std::vector<std::string> ids;
  std::vector<server_row> servers;
  const auto add = [&](const std::string& id, const service_row& service) {
    servers.push_back(here.start_server(id, service, free_address(), usual));
    ids.push_back(id);
  };
  for (int i = 1; i <= 4; ++i) add("b" + std::to_string(i), second);
  for (int i = 1; i <= 6; ++i) add("a" + std::to_string(i), first);
  std::vector<entry_row> entries;
  for (const char* zone : {"z-a", "z-b", "z-c"}) {
    entries.push_back(here.start_entry(std::string("edge-") + zone, zone));
  }
  if (!wait_until_served(entries, {"alpha", "beta"}, 30000)) {
    std::cout << "the deployment isn't served\n";
    return 2;
  }
  std::vector<std::string> lines;
  {
    key_traffic traffic(clients, entries, {"alpha", "beta"}, 12);
    sleep_ms(3000);
    if (trouble) {
      // There is no `version`.
      here.put("servers/x-1", json::serialize(json::object{{"service", "alpha"},
                                                           {"address", servers[0].address},
                                                           {"zone", "z-a"},
                                                           {"max-concurrency", 6},
                                                           {"state", "ready"},
                                                           {"warmup-left", "0ms"},
                                                           {"sequence", 1},
                                                           {"born", 1790000000000}}));
      lines.push_back("another writer's entry written at " +
                      std::to_string(now_ms() - here.began()) + " ms");
    }
    sleep_ms(8000);
  }
  for (const auto& one : entries) {
    if (here.has_ended(one.pid)) lines.push_back(one.name + " has ended by itself");
  }
  return finish(here, ids, clients, lines, {}, record);
}

}  // namespace lab
