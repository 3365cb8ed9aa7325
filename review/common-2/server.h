// A stand-in of a server, as PROTOCOL.md describes it: it registers itself, takes grants of keys if
// its service is sharded, runs requests, and writes down what it was granted and what it ran.
//
// Each line of its log is one JSON object: "ev" is up, grant, release, run, end or reject, "t" the
// machine's monotonic time in milliseconds.
#pragma once

#include <array>
#include <atomic>
#include <csignal>
#include <fstream>
#include <set>

#include "store.h"

namespace lab {

struct server_options {
  std::string listen, id, service, zone = "z-a", store, log;
  std::int64_t heartbeat = 1500;
  std::int64_t work = 20;        // milliseconds of a request
  std::int64_t body = 100;       // bytes of an answer
  std::int64_t pause_after = 0;  // bytes of a body after which it waits for pause_ms; 0: never
  std::int64_t pause_ms = 0;
  double cut = 0;  // share of its answers that it breaks off
  int slots = 6;
  bool sharded = true;
  bool registers = true;
};

class server {
 public:
  explicit server(server_options o) : options_(std::move(o)), log_(options_.log, std::ios::app) {
    born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
  }

  void run() {
    const int listener = listen_at(options_.listen);
    if (listener < 0) std::exit(2);
    note({{"ev", "up"}, {"address", options_.listen}});
    // SIGUSR1 cuts the server off from the store, SIGUSR2 joins it again.
    ::signal(SIGUSR1, [](int) { is_cut() = true; });
    ::signal(SIGUSR2, [](int) { is_cut() = false; });
    if (options_.registers) std::thread([this] { beat_loop(); }).detach();
    accept_loop(listener, [this](int fd) { serve(fd); });
  }

 private:
  struct key_state {
    std::uint64_t seen = 0, held = 0;
    std::int64_t until = 0;
    bool takes = false;
    int running = 0;
  };

  void note(json::object event) {
    event["t"] = now_ms();
    event["id"] = options_.id;
    event["service"] = options_.service;
    const std::lock_guard lock(log_mutex_);
    log_ << json::serialize(event) << std::endl;
  }

  static std::atomic<bool>& is_cut() {
    static std::atomic<bool> cut{false};
    return cut;
  }

  // The entry goes after three ping intervals of silence.
  void beat_loop() {
    for (std::uint64_t sequence = 1;; ++sequence) {
      const auto value = json::serialize(json::object{{"service", options_.service},
                                                      {"address", options_.listen},
                                                      {"zone", options_.zone},
                                                      {"version", "v1"},
                                                      {"max-concurrency", options_.slots},
                                                      {"state", "ready"},
                                                      {"warmup-left", "0ms"},
                                                      {"sequence", sequence},
                                                      {"born", born_}});
      const auto path = "/lab/put?key=servers/" + options_.id +
                        "&ttl-ms=" + std::to_string(3 * options_.heartbeat);
      if (!is_cut())
        call(options_.store,
             "POST " + path + " HTTP/1.1\r\nHost: s\r\nContent-Length: " +
                 std::to_string(value.size()) + "\r\n\r\n" + value,
             1000);
      sleep_ms(options_.heartbeat);
    }
  }

  void serve(int fd) {
    reader in(fd);
    message request;
    while (in.head(request)) {
      if (header_of(request, "expect") == "100-continue") {
        send_all(fd, "HTTP/1.1 100 Continue\r\n\r\n");
      }
      if (!in.body(request)) return;
      if (request.method == "POST" && request.target == "/api/grant") {
        if (!send_all(fd, grant(request))) return;
      } else if (request.method == "POST" && request.target == "/api/release") {
        if (!send_all(fd, release(request))) return;
      } else if (request.target == "/healthz") {
        if (!send_all(fd,
                      format_response(200, {{"X-Plantainpaddle-Instance-Id", options_.id}}, "")))
          return;
      } else if (!handle(fd, request)) {
        return;
      }
    }
  }

  // An order that names another server isn't for this one.
  bool is_for_another(const message& request) const {
    const auto expected = header_of(request, "x-plantainpaddle-expect-instance");
    return !expected.empty() && expected != options_.id;
  }

  std::string misdirected() const {
    return format_response(421, {{"X-Plantainpaddle-Instance-Id", options_.id}}, "");
  }

  std::string grant(const message& request) {
    if (!options_.sharded) return format_response(404, {}, "{}");
    if (is_for_another(request)) return misdirected();
    const auto order = json::parse(request.body).as_object();
    const auto from = order.at("from").to_number<std::size_t>();
    const auto target = order.at("target").to_number<std::size_t>();
    const auto fence = order.at("fence").to_number<std::uint64_t>();
    const std::string hold(order.at("hold_time").as_string());
    const auto ms = std::stoll(hold);
    const std::lock_guard lock(mutex_);
    const auto arrived = now_ms();
    bool accepted = true;
    for (auto key = from; key <= target; ++key) accepted = accepted && keys_[key].seen <= fence;
    if (accepted) {
      for (auto key = from; key <= target; ++key) {
        auto& state = keys_[key];
        state.seen = state.held = fence;
        state.until = arrived + ms;
        state.takes = true;
      }
    }
    note({{"ev", "grant"},
          {"from", from},
          {"target", target},
          {"fence", fence},
          {"hold_ms", ms},
          {"status", accepted ? 200 : 409}});
    return format_response(accepted ? 200 : 409, {}, "{}");
  }

  std::string release(const message& request) {
    if (!options_.sharded) return format_response(404, {}, "{}");
    if (is_for_another(request)) return misdirected();
    const auto order = json::parse(request.body).as_object();
    const auto from = order.at("from").to_number<std::size_t>();
    const auto target = order.at("target").to_number<std::size_t>();
    const auto fence = order.at("fence").to_number<std::uint64_t>();
    {
      const std::lock_guard lock(mutex_);
      for (auto key = from; key <= target; ++key) {
        keys_[key].takes = false;
        keys_[key].seen = std::max(keys_[key].seen, fence);
      }
      note({{"ev", "release"}, {"from", from}, {"target", target}, {"fence", fence}});
    }
    while (true) {
      {
        const std::lock_guard lock(mutex_);
        int running = 0;
        for (auto key = from; key <= target; ++key) running += keys_[key].running;
        if (running == 0) break;
      }
      sleep_ms(2);
    }
    return format_response(200, {{"X-Plantainpaddle-Handover", "h-" + std::to_string(now_ms())}},
                           "");
  }

  // Whether the connection can be used again.
  bool handle(int fd, const message& request) {
    const auto id = header_of(request, "x-plantainpaddle-request-id");
    fields head{{"X-Plantainpaddle-Request-Id", id}};
    const auto reject = [&](int status, const char* why) {
      note({{"ev", "reject"}, {"request", id}, {"status", status}, {"why", why}});
      head["X-Plantainpaddle-Not-Executed"] = "1";
      return send_all(fd, format_response(status, head, ""));
    };
    if (id.empty()) return reject(400, "no id");
    if (is_for_another(request)) return send_all(fd, misdirected());
    std::size_t key = 0;
    if (options_.sharded) {
      key = std::stoul("0" + header_of(request, "x-plantainpaddle-shard-key")) & 65535;
      const std::lock_guard lock(mutex_);
      auto& state = keys_[key];
      if (!state.takes || now_ms() >= state.until) return reject(421, "doesn't hold the key");
      ++state.running;
    }
    int running;
    {
      const std::lock_guard lock(mutex_);
      running = ++running_;
    }
    note({{"ev", "run"},
          {"request", id},
          {"method", request.method},
          {"target", request.target},
          {"key", key},
          {"body", request.body.size()}});
    const bool gone = work(fd, work_of(request.target));
    {
      const std::lock_guard lock(mutex_);
      if (options_.sharded) --keys_[key].running;
      --running_;
    }
    note({{"ev", "end"}, {"request", id}, {"gone", gone}});
    if (gone) return false;
    head["X-Plantainpaddle-Server-Stamp"] = options_.id + "." + id;
    head["X-Plantainpaddle-Server-Load"] =
        std::to_string(running) + ",0," + std::to_string(options_.slots);
    const auto bytes = body_of(id, static_cast<std::size_t>(options_.body));
    const auto text = format_response(200, head, bytes);
    if (is_cut_off(id)) {
      note({{"ev", "cut"}, {"request", id}});
      send_all(fd, text.substr(0, text.size() - bytes.size() / 2));
      return false;
    }
    if (options_.pause_after == 0) return send_all(fd, text);
    const auto first = text.size() - bytes.size() + static_cast<std::size_t>(options_.pause_after);
    if (!send_all(fd, text.substr(0, first))) return false;
    sleep_ms(options_.pause_ms);
    return send_all(fd, text.substr(first));
  }

  // Follows from the request's id.
  bool is_cut_off(const std::string& id) const {
    constexpr double steps = 10000;
    const auto drawn = std::hash<std::string>{}(options_.id + "/" + id) % 10000;
    return static_cast<double>(drawn) < options_.cut * steps;
  }

  // A path that ends in "/w300" takes 300 ms, any other one the usual time.
  std::int64_t work_of(const std::string& target) const {
    const auto at = target.rfind("/w");
    const bool stated = at != std::string::npos && at + 2 < target.size() &&
                        std::isdigit(static_cast<unsigned char>(target[at + 2])) != 0;
    return stated ? std::stoll(target.substr(at + 2)) : options_.work;
  }

  // Works on a request, and drops it when its connection closes.
  static bool work(int fd, std::int64_t length) {
    const auto end = now_ms() + length;
    while (now_ms() < end) {
      pollfd wait{fd, POLLIN | POLLRDHUP, 0};
      const auto left = std::min<std::int64_t>(50, end - now_ms());
      if (left > 0 && ::poll(&wait, 1, static_cast<int>(left)) > 0 &&
          (wait.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0)
        return true;
    }
    return false;
  }

 public:
  // The bytes of an answer follow from the request's id.
  static std::string body_of(const std::string& id, std::size_t size) {
    std::string out;
    while (out.size() < size) out += id + "/" + std::to_string(out.size()) + ";";
    out.resize(size);
    return out;
  }

 private:
  server_options options_;
  std::int64_t born_ = 0;
  std::ofstream log_;
  std::mutex log_mutex_;
  std::mutex mutex_;
  std::array<key_state, 65536> keys_{};
  int running_ = 0;
};

}  // namespace lab
