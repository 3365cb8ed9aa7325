// Servers, the operator, entry processes and clients of a case, and the record of what was seen.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <algorithm>
#include <condition_variable>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <mutex>
#include <set>

#include "store.h"

namespace lab {

// Lines of record.txt, with the milliseconds since the start.
class record {
 public:
  explicit record(const std::string& file) : out_(file) {}
  void add(const std::string& line) {
    const std::lock_guard lock(mutex_);
    out_ << now_ms() << " " << line << "\n" << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

// The desired state's parts that the cases use.
struct route_plan {
  std::string name, prefix, service, kind;
  std::string timeout = "12000ms";
  int priority = 1;
};
inline std::string desired_state(std::uint64_t version, const std::vector<route_plan>& routes,
                                 const std::vector<std::pair<std::string, bool>>& services,
                                 int connections) {
  json::array route_list;
  for (const auto& one : routes) {
    route_list.push_back(json::object{{"name", one.name},
                                      {"host", "shop.example"},
                                      {"prefix", one.prefix},
                                      {"route-type", one.kind},
                                      {"timeout", one.timeout},
                                      {"target-latency", "2000ms"},
                                      {"priority", one.priority},
                                      {"service", one.service},
                                      {"max-attempts", 2}});
  }
  json::array service_list;
  for (const auto& [name, sharded] : services) {
    json::object one{{"name", name},
                     {"health-path", "/healthz"},
                     {"max-connections", connections},
                     {"protocol", "h1"},
                     {"tls", false}};
    if (sharded) {
      one["sharded"] = true;
      one["warm"] = "5s";
      one["grants"] = "direct";
    }
    service_list.push_back(std::move(one));
  }
  return json::serialize(json::object{{"version", version},
                                      {"routes", std::move(route_list)},
                                      {"services", std::move(service_list)},
                                      {"limits",
                                       {{"max-header-bytes", 16384},
                                        {"max-body-bytes", 67108864},
                                        {"header-timeout", "3000ms"},
                                        {"idle-timeout", "15000ms"}}}});
}

struct arrival {
  long at = 0;
  std::string id, path, method;
  std::size_t body_bytes = 0;
  bool ended = false;  // the server finished its work and wrote the whole answer
};

// A server: one request at a time on a connection, `slots` requests at work, `queue` waiting.
class server {
 public:
  struct plan {
    std::string id, service, zone = "erie-yard";
    int slots = 6;
    int queue = 12;
    bool sharded = false;
    long beat_ms = 1000;
    long unread_ms = 0;  // an answer that stays unread for so long is cut off; 0: never
    std::function<long(const message&)> work_ms;
    std::function<std::string(const message&)> body;
  };

  server(store& kept_in, record& log, plan p)
      : store_(kept_in), log_(log), plan_(std::move(p)), listener_([this](link& l) { serve(l); }) {
    born_ = 1760000000000ULL + static_cast<std::uint64_t>(now_ms()) * 7 + listener_.port();
    std::thread([this] { beat_loop(); }).detach();
  }
  const std::string& id() const { return plan_.id; }
  std::string address() const { return "127.0.0.1:" + std::to_string(listener_.port()); }

  // Reports `draining`. Returns when the store accepted it.
  long drain() {
    leaving_ = true;
    while (report() == 0) sleep_ms(50);
    return now_ms();
  }
  // Ends: no further connection, and the open ones are closed with the work that is under way.
  void end() {
    if (ended_.exchange(true)) return;
    store_.remove("servers/" + plan_.id);
    listener_.stop();
    const std::lock_guard lock(mutex_);
    for (auto* open : open_) ::shutdown(open->fd(), SHUT_RDWR);
    free_.notify_all();
  }
  // It is partitioned from the store for so long. Requests and orders still reach it.
  void cut_from_store(long ms) {
    cut_until_ = now_ms() + ms;
    log_.add("server " + plan_.id + " is partitioned from the store");
  }
  // Whether it holds the key now.
  bool holds_key(int key) {
    const std::lock_guard lock(mutex_);
    return !ended_ && holds_now(key);
  }
  std::vector<arrival> arrivals() {
    const std::lock_guard lock(mutex_);
    return arrivals_;
  }
  int cut_off() {
    const std::lock_guard lock(mutex_);
    return cut_off_;
  }

 private:
  std::uint64_t report() {
    const json::object entry{{"service", plan_.service},
                             {"address", address()},
                             {"zone", plan_.zone},
                             {"version", "r1"},
                             {"max-concurrency", plan_.slots},
                             {"state", leaving_ ? "draining" : "ready"},
                             {"warmup-left", "0ms"},
                             {"sequence", ++sequence_},
                             {"born", born_}};
    return store_.write("servers/" + plan_.id, json::serialize(entry));
  }
  void beat_loop() {
    while (!ended_) {
      const bool reached = now_ms() >= cut_until_ && report() != 0;
      sleep_ms(reached ? plan_.beat_ms : 20);
    }
  }
  void serve(link& connection) {
    {
      const std::lock_guard lock(mutex_);
      open_.insert(&connection);
    }
    while (!ended_) {
      const auto request = connection.read(now_ms() + 10000, false);
      if (!request.whole || ended_) break;
      if (!answer(connection, request)) break;
      if (leaving_) break;
    }
    const std::lock_guard lock(mutex_);
    open_.erase(&connection);
  }
  header_list usual_headers(const message& request) {
    header_list out{{"X-Plantainpaddle-Instance-Id", plan_.id}};
    if (const auto id = request.header("X-Plantainpaddle-Request-Id"); !id.empty())
      out.emplace_back("X-Plantainpaddle-Request-Id", id);
    if (leaving_) {
      out.emplace_back("Connection", "close");
      out.emplace_back("Server-Leaving", "1");
    }
    return out;
  }
  bool refuse(link& connection, const message& request, int status) {
    auto headers = usual_headers(request);
    headers.emplace_back("X-Plantainpaddle-Not-Executed", "1");
    return connection.write(render("HTTP/1.1 " + std::to_string(status) + " x", headers, "{}"));
  }
  bool answer(link& connection, const message& request) {
    if (request.second == "/api/grant" || request.second == "/api/release")
      return order(connection, request);
    const auto expected = request.header("X-Plantainpaddle-Expect-Instance");
    if (!expected.empty() && expected != plan_.id) return refuse(connection, request, 421);
    if (request.second == "/healthz")
      return connection.write(render(leaving_ ? "HTTP/1.1 503 x" : "HTTP/1.1 200 OK",
                                     usual_headers(request), "{}"));
    std::size_t mine = 0;
    {
      std::unique_lock lock(mutex_);
      if (plan_.sharded && !holds(request)) {
        lock.unlock();
        return refuse(connection, request, 421);
      }
      if (running_ >= plan_.slots && waiting_ >= plan_.queue) {
        lock.unlock();
        return refuse(connection, request, 503);
      }
      mine = arrivals_.size();
      arrivals_.push_back({now_ms(), request.header("X-Plantainpaddle-Request-Id"), request.second,
                           request.first, request.body.size()});
      log_.add("server " + plan_.id + " gets " + arrivals_.back().id + " " + request.second);
      ++waiting_;
      free_.wait(lock, [&] { return running_ < plan_.slots || ended_; });
      --waiting_;
      if (ended_) return false;
      ++running_;
    }
    const long until = now_ms() + (plan_.work_ms ? plan_.work_ms(request) : 20);
    while (now_ms() < until && !ended_) sleep_ms(std::min(20L, until - now_ms()));
    bool done = !ended_;
    if (done) {
      auto headers = usual_headers(request);
      headers.emplace_back("X-Plantainpaddle-Server-Stamp", "stamp." + plan_.id + "." +
                                                                request.header("X-Plantainpaddle-Request-Id"));
      headers.emplace_back("X-Plantainpaddle-Server-Load",
                           std::to_string(running_) + "," + std::to_string(waiting_) + "," +
                               std::to_string(plan_.slots));
      const auto body = plan_.body ? plan_.body(request) : "done by " + plan_.id;
      done = connection.write(render("HTTP/1.1 200 OK", headers, body),
                              plan_.unread_ms == 0 ? 30000 : plan_.unread_ms);
      if (!done) connection.reset();
    }
    const std::lock_guard lock(mutex_);
    --running_;
    arrivals_[mine].ended = done;
    if (!done) ++cut_off_;
    log_.add("server " + plan_.id + (done ? " has answered " : " has cut off ") + arrivals_[mine].id);
    free_.notify_one();
    return done;
  }
  // Keys, as PROTOCOL.md says.
  struct hold {
    std::uint64_t fence = 0;
    long until = 0;
  };
  bool holds(const message& request) {
    return holds_now(std::atoi(request.header("X-Plantainpaddle-Shard-Key").c_str()));
  }
  bool holds_now(int key) const {
    const auto it = holds_.upper_bound(key);
    if (it == holds_.begin()) return false;
    const auto& [first, one] = *std::prev(it);
    return key <= one.first && now_ms() < one.second.until;
  }
  bool order(link& connection, const message& request) {
    const auto body = json::parse(request.body).as_object();
    const auto from = static_cast<int>(body.at("from").to_number<std::int64_t>());
    const auto to = static_cast<int>(body.at("target").to_number<std::int64_t>());
    const auto fence = body.at("fence").to_number<std::uint64_t>();
    const std::lock_guard lock(mutex_);
    if (request.second == "/api/release") {
      cut(from, to);
      note_fence(from, to, fence);
      log_.add("server " + plan_.id + " releases " + std::to_string(from) + " to " +
               std::to_string(to) + ", fence " + std::to_string(fence));
      return connection.write(render("HTTP/1.1 200 OK", usual_headers(request), ""));
    }
    for (int key = from; key <= to; ++key) {
      if (fences_[static_cast<std::size_t>(key)] > fence)
        return connection.write(render("HTTP/1.1 409 x", usual_headers(request), ""));
    }
    note_fence(from, to, fence);
    const auto text = std::string(body.at("hold_time").as_string());
    cut(from, to);
    holds_[from] = {to, {fence, now_ms() + std::atol(text.c_str())}};
    log_.add("server " + plan_.id + " is granted " + std::to_string(from) + " to " +
             std::to_string(to) + ", fence " + std::to_string(fence) + ", for " + text);
    return connection.write(render("HTTP/1.1 200 OK", usual_headers(request), ""));
  }
  void note_fence(int from, int to, std::uint64_t fence) {
    for (int key = from; key <= to; ++key) {
      auto& seen = fences_[static_cast<std::size_t>(key)];
      seen = std::max(seen, fence);
    }
  }
  // Takes the keys out of what is held.
  void cut(int from, int to) {
    std::map<int, std::pair<int, hold>> left;
    for (const auto& [first, one] : holds_) {
      if (one.first < from || first > to) {
        left[first] = one;
        continue;
      }
      if (first < from) left[first] = {from - 1, one.second};
      if (one.first > to) left[to + 1] = one;
    }
    holds_ = std::move(left);
  }

  store& store_;
  record& log_;
  plan plan_;
  std::uint64_t born_ = 0;
  std::atomic<std::uint64_t> sequence_{0};
  std::atomic<long> cut_until_{0};
  std::atomic<bool> leaving_{false};
  std::atomic<bool> ended_{false};
  std::mutex mutex_;
  std::condition_variable free_;
  std::set<link*> open_;
  int running_ = 0;
  int waiting_ = 0;
  int cut_off_ = 0;
  std::vector<arrival> arrivals_;
  std::map<int, std::pair<int, hold>> holds_;  // by the first key: the last one, and the hold
  std::vector<std::uint64_t> fences_ = std::vector<std::uint64_t>(65536, 0);
  listener listener_;
};

// The entry processes, started with the command of the deploy file and settings as its template
// makes them.
class entry {
 public:
  entry(const std::string& name, std::uint16_t store_port, const std::string& folder,
        const std::string& zone = "erie-yard", long bound_ms = 2500)
      : folder_(folder + "/" + name) {
    std::filesystem::create_directories(folder_);
    // A free port may be taken by another process before the entry listens there.
    for (int tries = 0; tries < 5; ++tries) {
      front_ = free_port();
      ready_ = free_port();
      peers_ = free_port();
      write_settings(name, store_port, zone, bound_ms);
      start();
      for (int i = 0; i < 100 && is_running() && !listens(); ++i) sleep_ms(10);
      if (is_running()) return;
    }
  }
  ~entry() { stop(); }
  std::uint16_t front() const { return front_; }
  bool is_ready() {
    const int fd = connect_to(ready_);
    if (fd < 0) return false;
    link asked(fd);
    asked.write(render("GET /api/readyz HTTP/1.1", {{"Host", "x"}, {"Connection", "close"}}, ""));
    return asked.read(now_ms() + 1000, true).status() == 200;
  }
  bool is_running() {
    if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) != 0) pid_ = -1;
    return pid_ > 0;
  }
  void stop() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  void start() {
    pid_ = ::fork();
    if (pid_ != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with the case
    const int out = ::open((folder_ + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    ::setenv("PLANTAINPADDLE_SETTINGS", (folder_ + "/settings.json").c_str(), 1);
    ::execl("target/bin/plantainpaddle-entry", "target/bin/plantainpaddle-entry", nullptr);
    ::_exit(127);
  }

 private:
  bool listens() {
    const int fd = connect_to(front_);
    if (fd >= 0) ::close(fd);
    return fd >= 0;
  }
  void write_settings(const std::string& name, std::uint16_t store_port, const std::string& zone,
                      long bound_ms) {
    const auto address = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
    const json::object settings{
        {"name", name},
        {"cluster", "main"},
        {"region", "great-lakes"},
        {"domain", zone},
        {"log_level", "debug"},
        {"listen",
         {{"callers", address(front_)}, {"operators", address(ready_)}, {"peers", address(peers_)}}},
        {"platform",
         {{"form", "items"},
          {"store", json::array{address(store_port)}},
          {"contracts", json::array{"base", "drain", "config", "cost", "retry", "recover", "own",
                                    "platform"}},
          {"bounds",
           {{"drain", std::to_string(bound_ms) + "ms"},
            {"apply", std::to_string(bound_ms) + "ms"},
            {"shutdown", "6s"},
            {"hold_max", "10000ms"},
            {"lease_min", "1000ms"},
            {"reuse_after", "2s"},
            {"retry_share", 0.2},
            {"retry_burst", 214},
            {"memory_mb", 260},
            {"descriptors", 4100},
            {"cores", 0.2}}}}}};
    std::ofstream(folder_ + "/settings.json") << json::serialize(settings) << "\n";
  }

  std::string folder_;
  std::uint16_t front_ = 0, ready_ = 0, peers_ = 0;
  pid_t pid_ = -1;
};

struct outcome {
  int status = 0;  // 0: none
  bool whole = false;
  bool stamped = false;
  std::string body;
  long sent_at = 0;
  long took = 0;
};

struct request_plan {
  std::string method = "GET", path, id, body;
  int key = -1;
  long budget_ms = 5000;
};

inline std::string request_text(const request_plan& plan) {
  header_list headers{{"Host", "shop.example"},
                      {"X-Plantainpaddle-Request-Id", plan.id},
                      {"X-Plantainpaddle-Deadline-Ms", std::to_string(plan.budget_ms)}};
  if (plan.key >= 0) headers.emplace_back("X-Plantainpaddle-Shard-Key", std::to_string(plan.key));
  return render(plan.method + " " + plan.path + " HTTP/1.1", headers, plan.body,
                plan.method != "GET");
}

// One client attempt on a new connection.
inline outcome ask(record& log, std::uint16_t port, const request_plan& plan) {
  outcome out;
  out.sent_at = now_ms();
  const int fd = connect_to(port);
  if (fd >= 0) {
    link own(fd);
    own.write(request_text(plan));
    const auto answer = own.read(now_ms() + plan.budget_ms, true);
    out.status = answer.status();
    out.whole = answer.whole;
    out.stamped = !answer.header("X-Plantainpaddle-Server-Stamp").empty();
    out.body = answer.body;
  }
  out.took = now_ms() - out.sent_at;
  log.add("client " + plan.id + " " + plan.method + " " + plan.path + " sent at " +
          std::to_string(out.sent_at) + " -> " + std::to_string(out.status) +
          (out.whole ? "" : " incomplete") + " after " + std::to_string(out.took) + " ms" +
          (out.stamped || out.body.size() > 300 ? "" : " " + out.body));
  return out;
}

inline std::string new_id(const std::string& kind) {
  static std::atomic<int> last{0};
  return kind + "-" + std::to_string(++last);
}

// What a case needs: a temporary folder, the record, and whether the disruption comes.
struct setting {
  std::string folder;  // of the case
  bool trouble = true;
  record log;
  std::string temporary;

  setting(const std::string& f, bool with_trouble)
      : folder(f), trouble(with_trouble), log(f + "/record.txt") {
    std::string name = "/tmp/review-3.XXXXXX";
    temporary = ::mkdtemp(name.data());
    log.add(trouble ? "with the disruption" : "without the disruption");
  }
  ~setting() {
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr) std::filesystem::remove_all(temporary, ignored);
  }
};

// False if they aren't all ready in time.
inline bool wait_ready(std::vector<std::unique_ptr<entry>>& entries, long limit_ms) {
  const long until = now_ms() + limit_ms;
  for (auto& one : entries) {
    while (!one->is_ready()) {
      if (now_ms() > until || !one->is_running()) return false;
      sleep_ms(50);
    }
  }
  return true;
}

}  // namespace lab
