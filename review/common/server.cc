#include "common/server.h"

#include <boost/json.hpp>
#include <cstdlib>

namespace review {
namespace {

namespace json = boost::json;

constexpr std::size_t key_count = 65536;

std::int64_t parse_time(std::string_view text) {
  const double number = std::atof(std::string(text).c_str());
  return static_cast<std::int64_t>(text.ends_with("ms") ? number : number * 1000);
}

}  // namespace

void ledger::add(run done) {
  const std::lock_guard lock(mutex_);
  by_id_[done.id].push_back(runs_.size());
  runs_.push_back(std::move(done));
}

std::vector<run> ledger::runs() {
  const std::lock_guard lock(mutex_);
  return runs_;
}

std::vector<run> ledger::runs_of(const std::string& id) {
  const std::lock_guard lock(mutex_);
  std::vector<run> found;
  for (const auto index : by_id_[id]) found.push_back(runs_[index]);
  return found;
}

server::server(server_options options, ledger& runs, record& log)
    : options_(std::move(options)),
      runs_(runs),
      log_(log),
      born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count()),
      keys_(options_.sharded ? key_count : 0) {
  listener_ = std::make_unique<acceptor>("127.0.0.1", [this](connection& link) { serve(link); });
}

void server::stop() {
  if (listener_) listener_->stop();
}

std::string server::entry(std::uint64_t sequence) const {
  return json::serialize(json::object{{"service", options_.service},
                                      {"address", address()},
                                      {"zone", options_.zone},
                                      {"version", "v1"},
                                      {"max-concurrency", options_.slots},
                                      {"state", "ready"},
                                      {"warmup-left", "0ms"},
                                      {"sequence", sequence},
                                      {"born", born_}});
}

std::string server::stamp_for(const std::string& request_id) const {
  return "stamp-" + options_.id + "-" + request_id;
}

std::string server::body_for(const std::string& request_id) { return "booked " + request_id; }

bool server::holds(std::uint32_t key) {
  const std::lock_guard lock(mutex_);
  return now_ms() < keys_[key].until;
}

std::vector<hold> server::holds_of(std::uint32_t key) {
  const std::lock_guard lock(mutex_);
  auto found = keys_[key].past;
  if (keys_[key].until != 0 && !found.empty()) found.back().until = keys_[key].until;
  return found;
}

std::string server::format(const message& request, int status, const std::string& reason,
                           std::vector<field> fields, const std::string& body) {
  fields.push_back({"X-Plantainpaddle-Request-Id", request.find("x-plantainpaddle-request-id")});
  fields.push_back({"X-Plantainpaddle-Server-Load", std::to_string(running_) + "," +
                                                        std::to_string(waiting_) + "," +
                                                        std::to_string(options_.slots)});
  fields.push_back({"X-Plantainpaddle-Instance-Id", options_.id});
  return format_response(status, reason, fields, body);
}

// Grants and releases. The time of a grant counts from its arrival.
std::string server::order(const message& request) {
  const auto arrived = now_ms();
  const auto body = json::parse(request.body).as_object();
  const auto number = [&](const char* name) { return body.at(name).to_number<std::uint64_t>(); };
  const auto first = static_cast<std::uint32_t>(number("from"));
  const auto last = static_cast<std::uint32_t>(number("target"));
  const auto fence = number("fence");
  std::unique_lock lock(mutex_);
  if (request.target == "/api/grant") {
    for (auto key = first; key <= last; ++key) {
      if (keys_[key].seen > fence) {
        log_.line("%s refuses a grant of %u-%u, fence %llu", options_.id.c_str(), first, last,
                  static_cast<unsigned long long>(fence));
        return format_response(409, "Conflict", {}, "{}");
      }
    }
    const auto until = arrived + parse_time(body.at("hold_time").as_string());
    bool is_new = false;
    for (auto key = first; key <= last; ++key) {
      auto& state = keys_[key];
      const bool renewed = state.fence == fence && arrived < state.until;
      if (!renewed) {
        if (!state.past.empty() && state.until != 0) {
          state.past.back().until = std::min(state.until, arrived);
        }
        state.past.push_back({options_.id, key, key, fence, arrived, until});
        is_new = true;
      }
      state.seen = state.fence = fence;
      state.until = until;
    }
    if (is_new) {
      log_.line("%s is granted %u-%u, fence %llu, for %lld ms", options_.id.c_str(), first, last,
                static_cast<unsigned long long>(fence), static_cast<long long>(until - arrived));
    }
    return format_response(200, "OK", {{"Content-Type", "application/json"}}, "{}");
  }
  for (auto key = first; key <= last; ++key) {
    auto& state = keys_[key];
    state.seen = std::max(state.seen, fence);
    if (state.fence > fence || state.until == 0) continue;
    if (!state.past.empty()) state.past.back().until = std::min(state.until, arrived);
    state.until = 0;
  }
  log_.line("%s releases %u-%u, fence %llu", options_.id.c_str(), first, last,
            static_cast<unsigned long long>(fence));
  const auto is_running = [&] {
    for (auto key = first; key <= last; ++key) {
      if (keys_[key].running > 0) return true;
    }
    return false;
  };
  while (is_running()) freed_.wait_for(lock, std::chrono::milliseconds(50));
  return format_response(
      200, "OK", {{"X-Plantainpaddle-Handover", options_.id + "-" + std::to_string(arrived)}}, "");
}

std::string server::work(connection& link, message& request, int& status) {
  const auto id = request.find("x-plantainpaddle-request-id");
  const auto refuse = [&](int code, const std::string& reason) {
    status = code;
    return format(request, code, reason, {{"X-Plantainpaddle-Not-Executed", "1"}}, "");
  };
  const auto arrived = now_ms();
  const std::int64_t deadline =
      arrived + std::atoll(request.find("x-plantainpaddle-deadline-ms").c_str());
  const auto expected = request.find("x-plantainpaddle-expect-instance");
  const auto key_text = request.find("x-plantainpaddle-shard-key");
  const std::int64_t key = key_text.empty() ? -1 : std::atoll(key_text.c_str());
  // The body of a request that isn't begun at its head is read before it is looked at.
  if (!options_.begins_at_head && !link.read_body(request, deadline - now_ms())) return {};
  std::unique_lock lock(mutex_);
  if (id.empty()) return refuse(400, "Bad Request");
  if (!expected.empty() && expected != options_.id) return refuse(421, "Misdirected Request");
  const auto has_key = [&] {
    return !options_.sharded || (key >= 0 && now_ms() < keys_[static_cast<std::size_t>(key)].until);
  };
  if (!has_key()) return refuse(421, "Misdirected Request");
  if (running_ >= options_.slots) {
    if (waiting_ >= options_.queue) return refuse(503, "Service Unavailable");
    ++waiting_;
    while (running_ >= options_.slots && now_ms() < deadline) {
      freed_.wait_for(lock, std::chrono::milliseconds(20));
    }
    --waiting_;
    if (running_ >= options_.slots) return refuse(503, "Service Unavailable");
    if (!has_key()) return refuse(421, "Misdirected Request");
  }
  ++running_;
  if (key >= 0 && options_.sharded) ++keys_[static_cast<std::size_t>(key)].running;
  runs_.add({options_.id, id, key, now_ms()});
  lock.unlock();
  log_.line("%s runs %s, key %lld", options_.id.c_str(), id.c_str(), static_cast<long long>(key));
  bool whole = true;
  if (options_.begins_at_head) whole = link.read_body(request, deadline - now_ms());
  const auto until = std::min<std::int64_t>(deadline, now_ms() + options_.work_ms);
  sleep_ms(until - now_ms());
  lock.lock();
  const bool kept = has_key();
  --running_;
  if (key >= 0 && options_.sharded) --keys_[static_cast<std::size_t>(key)].running;
  freed_.notify_all();
  if (!whole) {
    log_.line("%s: the body of %s ended early", options_.id.c_str(), id.c_str());
    return {};
  }
  status = !kept ? 500 : (now_ms() >= deadline ? 504 : 200);
  return format(request, status, status == 200 ? "OK" : "Failed",
                {{"X-Plantainpaddle-Server-Stamp", stamp_for(id)}},
                status == 200 ? body_for(id) : "");
}

bool server::serve_one(connection& link, message& request, std::string& owed) {
  if (!link.read_head(request, false, 3'600'000)) return false;
  std::string text;
  if (request.target == "/api/grant" || request.target == "/api/release") {
    return link.read_body(request, 10'000) && link.send(order(request));
  }
  if (request.target == "/healthz") {
    const std::lock_guard lock(mutex_);
    return link.send(format(request, 200, "OK", {}, ""));
  }
  if (!owed.empty() && !link.send(std::exchange(owed, {}))) return false;
  int status = 0;
  text = work(link, request, status);
  if (text.empty()) return false;
  if (options_.extra) owed = options_.extra(request, status, text);
  if (options_.spoil) text = options_.spoil(request, status, std::move(text));
  const auto end = text.find("\r\n\r\n") + 4;
  if (options_.body_delay_ms == 0 || end == text.size()) return link.send(text);
  if (!link.send(std::string_view(text).substr(0, end))) return false;
  sleep_ms(options_.body_delay_ms);
  return link.send(std::string_view(text).substr(end));
}

void server::serve(connection& link) {
  message request;
  std::string owed;
  while (serve_one(link, request, owed)) {
  }
}

}  // namespace review
