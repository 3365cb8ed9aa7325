// A small deployment on loopback: the store's stand-in, servers, and entry instances that are
// started with the deploy file's command and settings rendered as its template has them.
#pragma once

#include <fcntl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <iostream>
#include <sstream>

#include "server.h"

namespace lab {

inline int free_port() {
  static std::set<int> used;
  while (true) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    ::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    ::close(fd);
    const int port = ntohs(at.sin_port);
    if (used.insert(port).second) return port;
  }
}

inline std::string free_address() { return "127.0.0.1:" + std::to_string(free_port()); }

struct service_row {
  std::string name, kind = "safe";
  bool sharded = false;
  std::string timeout = "5000ms";
  int connections = 120;
  int priority = 1;
};

struct server_row {
  std::string id, service, address;
  pid_t pid = -1;
};

struct entry_row {
  std::string name, callers, operators, peers;
  pid_t pid = -1;
};

class site {
 public:
  // `self` is this program, `entry` that of the deploy file.
  site(std::string self, std::string entry) : self_(std::move(self)), entry_(std::move(entry)) {
    char name[] = "/tmp/lab2-XXXXXX";
    folder_ = ::mkdtemp(name);
    began_ = now_ms();
  }
  ~site() {
    for (const auto pid : running_) ::kill(pid, SIGKILL);
    for (const auto pid : running_) ::waitpid(pid, nullptr, 0);
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  const std::string& folder() const { return folder_; }
  std::int64_t began() const { return began_; }
  const std::string& store_address() const { return store_; }
  std::string log_of(const std::string& id) const { return folder_ + "/" + id + ".log"; }

  // Fails with nothing if the program can't be started.
  pid_t start(const std::vector<std::string>& words, const std::string& output,
              const std::string& settings = "") {
    const pid_t pid = ::fork();
    if (pid == 0) {
      const int out = ::open(output.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      if (!settings.empty()) ::setenv("PLANTAINPADDLE_SETTINGS", settings.c_str(), 1);
      std::vector<char*> argv;
      for (const auto& word : words) argv.push_back(const_cast<char*>(word.c_str()));
      argv.push_back(nullptr);
      ::execv(argv[0], argv.data());
      ::_exit(127);
    }
    running_.insert(pid);
    return pid;
  }

  void kill(pid_t pid, int signal) {
    ::kill(pid, signal);
    if (signal != SIGKILL) return;
    ::waitpid(pid, nullptr, 0);
    running_.erase(pid);
  }

  // Whether the process has ended by itself.
  bool has_ended(pid_t pid) {
    int status = 0;
    if (running_.count(pid) == 0 || ::waitpid(pid, &status, WNOHANG) != pid) return false;
    running_.erase(pid);
    return true;
  }

  void start_store() {
    store_ = free_address();
    start({self_, "store", store_}, folder_ + "/store.out");
    for (int i = 0; i < 100 && connect_probe(store_) == false; ++i) sleep_ms(20);
  }

  void put(const std::string& key, const std::string& value) {
    call(store_,
         "POST /lab/put?key=" + key + " HTTP/1.1\r\nHost: s\r\nContent-Length: " +
             std::to_string(value.size()) + "\r\n\r\n" + value,
         2000);
  }

  void remove(const std::string& key) {
    call(store_,
         "POST /lab/delete?key=" + key + " HTTP/1.1\r\nHost: s\r\nContent-Length: 0\r\n\r\n", 2000);
  }

  // Each service has the route /NAME/ of host NAME.example.
  void put_config(const std::vector<service_row>& services) {
    json::array routes, rows;
    for (const auto& one : services) {
      routes.push_back(json::object{{"name", "r-" + one.name},
                                    {"host", one.name + ".example"},
                                    {"prefix", "/" + one.name + "/"},
                                    {"route-type", one.kind},
                                    {"timeout", one.timeout},
                                    {"target-latency", "1000ms"},
                                    {"priority", one.priority},
                                    {"service", one.name},
                                    {"max-attempts", 2}});
      json::object row{{"name", one.name},
                       {"health-path", "/healthz"},
                       {"max-connections", one.connections},
                       {"protocol", "h1"},
                       {"tls", false}};
      if (one.sharded) {
        row["sharded"] = true;
        row["warm"] = "5s";
        row["grants"] = "direct";
      }
      rows.push_back(std::move(row));
    }
    put("op/config", json::serialize(json::object{{"version", 7},
                                                  {"routes", std::move(routes)},
                                                  {"services", std::move(rows)},
                                                  {"limits",
                                                   {{"max-header-bytes", 16384},
                                                    {"max-body-bytes", 67108864},
                                                    {"header-timeout", "3000ms"},
                                                    {"idle-timeout", "15000ms"}}}}));
  }

  // `words` are further options of the server.
  server_row start_server(const std::string& id, const service_row& service,
                          const std::string& address, const std::vector<std::string>& words = {}) {
    server_row row{id, service.name, address, -1};
    std::vector<std::string> all{self_,
                                 "server",
                                 "listen=" + address,
                                 "id=" + id,
                                 "service=" + service.name,
                                 "store=" + store_,
                                 "log=" + log_of(id),
                                 std::string("sharded=") + (service.sharded ? "1" : "0")};
    all.insert(all.end(), words.begin(), words.end());
    row.pid = start(all, folder_ + "/" + id + ".out");
    return row;
  }

  entry_row start_entry(const std::string& name, const std::string& zone) {
    entry_row row{name, free_address(), free_address(), free_address(), -1};
    const auto file = folder_ + "/" + name + ".json";
    std::ofstream(file) << json::serialize(json::object{
        {"name", name},
        {"cluster", "main"},
        {"region", "r-1"},
        {"domain", zone},
        {"log_level", "debug"},
        {"listen", {{"callers", row.callers}, {"operators", row.operators}, {"peers", row.peers}}},
        {"platform",
         {{"form", "items"},
          {"store", {store_}},
          {"contracts", {"base", "drain", "config", "cost", "retry", "recover", "own", "platform"}},
          {"bounds",
           {{"drain", "2000ms"},
            {"apply", "2000ms"},
            {"shutdown", "6s"},
            {"hold_max", "10000ms"},
            {"lease_min", "1000ms"},
            {"retry_share", 0.2},
            {"retry_burst", 60},
            {"memory_mb", 260},
            {"descriptors", 4100},
            {"cores", 0.2}}}}}});
    row.pid = start({entry_}, folder_ + "/" + name + ".out", file);
    return row;
  }

  // The `pause` answers a readiness probe as the balancer sees it.
  static bool is_ready(const entry_row& row) {
    const auto answer = call(row.operators, "GET /api/readyz HTTP/1.1\r\nHost: r\r\n\r\n", 500);
    return answer && answer->status == 200;
  }

  static bool connect_probe(const std::string& address) {
    const int fd = connect_to(address);
    if (fd < 0) return false;
    ::close(fd);
    return true;
  }

 private:
  std::string self_, entry_, folder_, store_;
  std::int64_t began_ = 0;
  std::set<pid_t> running_;
};

// What clients saw, one JSON object a line.
class client_log {
 public:
  void note(json::object event) {
    if (!event.contains("t")) event["t"] = now_ms();
    const std::lock_guard lock(mutex_);
    lines_.push_back(std::move(event));
  }
  std::vector<json::object> take() {
    const std::lock_guard lock(mutex_);
    return lines_;
  }

 private:
  std::mutex mutex_;
  std::vector<json::object> lines_;
};

inline std::string new_request_id(const std::string& prefix) {
  static std::atomic<std::uint64_t> count{0};
  return prefix + "-" + std::to_string(++count);
}

inline std::string format_request(const std::string& method, const std::string& service,
                                  const std::string& path, const std::string& id, int deadline_ms,
                                  int key, const std::string& more = "",
                                  const std::string& body = "") {
  std::string out = method + " /" + service + "/" + path + " HTTP/1.1\r\nHost: " + service +
                    ".example\r\nX-Plantainpaddle-Request-Id: " + id +
                    "\r\nX-Plantainpaddle-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
  if (key >= 0) out += "X-Plantainpaddle-Shard-Key: " + std::to_string(key) + "\r\n";
  if (!body.empty()) out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return out + more + "\r\n" + body;
}

inline std::vector<json::object> read_log(const std::string& file) {
  std::vector<json::object> out;
  std::ifstream in(file);
  std::string line;
  while (std::getline(in, line)) {
    boost::system::error_code code;
    auto value = json::parse(line, code);
    if (!code && value.is_object()) out.push_back(value.as_object());
  }
  return out;
}

// Writes all events in the order of their times, relative to the begin of the case.
inline void write_record(const std::string& file, std::vector<json::object> events,
                         std::int64_t began, const std::vector<std::string>& verdict) {
  std::stable_sort(events.begin(), events.end(), [](const auto& a, const auto& b) {
    return a.at("t").template to_number<std::int64_t>() <
           b.at("t").template to_number<std::int64_t>();
  });
  std::ofstream out(file);
  for (auto& event : events) {
    event["t"] = event.at("t").to_number<std::int64_t>() - began;
    out << json::serialize(event) << '\n';
  }
  for (const auto& line : verdict) out << line << '\n';
}

}  // namespace lab
