// A stand-in of the platform's metadata store, as PROTOCOL.md describes it.
//
// POST /lab/put?key=K&ttl-ms=N writes what operators and servers write (the value is the body; with
// a ttl the key goes when it isn't written again in time), POST /lab/delete?key=K removes it.
#pragma once

#include <boost/json.hpp>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <vector>

#include "http.h"

namespace lab {

namespace json = boost::json;

inline std::string encode_base64(const std::string& in) {
  static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    std::uint32_t n = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      n = n << 8 | (i + j < in.size() ? static_cast<unsigned char>(in[i + j]) : 0);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += i + j > in.size() ? '=' : digits[n >> (18 - 6 * j) & 63];
    }
  }
  return out;
}

inline std::string decode_base64(const std::string& in) {
  static const std::string digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  std::uint32_t n = 0;
  int bits = 0;
  for (const char c : in) {
    const auto at = digits.find(c);
    if (at == std::string::npos) break;
    n = n << 6 | static_cast<std::uint32_t>(at);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>(n >> bits & 255);
    }
  }
  return out;
}

inline std::string unescape(const std::string& in) {
  std::string out;
  for (std::size_t i = 0; i < in.size(); ++i) {
    if (in[i] == '%' && i + 2 < in.size()) {
      out += static_cast<char>(std::stoi(in.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += in[i];
    }
  }
  return out;
}

inline fields parse_query(const std::string& target) {
  fields out;
  const auto start = target.find('?');
  if (start == std::string::npos) return out;
  std::size_t at = start + 1;
  while (at < target.size()) {
    auto end = target.find('&', at);
    if (end == std::string::npos) end = target.size();
    const auto pair = target.substr(at, end - at);
    const auto equals = pair.find('=');
    if (equals != std::string::npos) {
      out[pair.substr(0, equals)] = unescape(pair.substr(equals + 1));
    }
    at = end + 1;
  }
  return out;
}

class store {
 public:
  void run(const std::string& address) {
    const int listener = listen_at(address);
    if (listener < 0) std::exit(2);
    std::thread([this] { expire_loop(); }).detach();
    accept_loop(listener, [this](int fd) { serve(fd); });
  }

 private:
  struct item {
    std::string value;
    std::uint64_t revision = 0, created = 0, lease = 0;
    std::int64_t gone_at = 0;  // 0: never
  };
  struct lease {
    std::int64_t ttl = 0, ends = 0;
  };
  struct change {
    std::string key;
    bool removed = false;
    item now;
    std::uint64_t revision = 0;
  };

  void expire_loop() {
    while (true) {
      sleep_ms(20);
      const std::lock_guard lock(mutex_);
      const auto now = now_ms();
      std::vector<std::string> gone;
      for (const auto& [id, one] : leases_) {
        if (now < one.ends) continue;
        for (const auto& [key, value] : items_) {
          if (value.lease == id) gone.push_back(key);
        }
      }
      for (auto it = leases_.begin(); it != leases_.end();) {
        it = now >= it->second.ends ? leases_.erase(it) : std::next(it);
      }
      for (const auto& [key, value] : items_) {
        if (value.gone_at != 0 && now >= value.gone_at) gone.push_back(key);
      }
      for (const auto& key : gone) {
        ++revision_;
        erase(key);
      }
      if (!gone.empty()) changed_.notify_all();
    }
  }

  void erase(const std::string& key) {
    if (items_.erase(key) == 0) return;
    log_.push_back({key, true, {}, revision_});
  }

  void write(const std::string& key, const std::string& value, std::uint64_t lease,
             std::int64_t gone_at) {
    auto [it, added] = items_.try_emplace(key);
    if (added) it->second.created = revision_;
    it->second.value = value;
    it->second.revision = revision_;
    it->second.lease = lease;
    it->second.gone_at = gone_at;
    log_.push_back({key, false, it->second, revision_});
  }

  json::object show(const std::string& key, const item& one) const {
    return {{"key", key},
            {"value", encode_base64(one.value)},
            {"revision", one.revision},
            {"created", one.created},
            {"lease", one.lease}};
  }

  void serve(int fd) {
    reader in(fd);
    message request;
    while (in.head(request) && in.body(request)) {
      const auto [status, body] = answer(request);
      if (!send_all(fd,
                    format_response(
                        status, {{"Content-Type", "application/json"}, {"Store-Era", "1"}}, body)))
        return;
    }
  }

  std::pair<int, std::string> answer(const message& request) {
    const auto path = request.target.substr(0, request.target.find('?'));
    auto query = parse_query(request.target);
    std::unique_lock lock(mutex_);
    if (path == "/lab/put") {
      ++revision_;
      const auto ttl = query.count("ttl-ms") != 0 ? std::stoll(query["ttl-ms"]) : 0;
      write(query["key"], request.body, 0, ttl == 0 ? 0 : now_ms() + ttl);
      changed_.notify_all();
      return {200, "{}"};
    }
    if (path == "/lab/delete") {
      ++revision_;
      erase(query["key"]);
      changed_.notify_all();
      return {200, "{}"};
    }
    if (path == "/api/kv-key") {
      const auto it = items_.find(query["key"]);
      if (it == items_.end()) return {404, "{}"};
      auto out = show(it->first, it->second);
      out["store-revision"] = revision_;
      return {200, json::serialize(out)};
    }
    if (path == "/api/kv-range") return {200, range(query["prefix"], query["after"])};
    if (path == "/api/kv-watch") {
      const auto prefix = query["prefix"];
      const std::uint64_t after = std::stoull(query["after"]);
      const auto until = std::chrono::steady_clock::now() +
                         std::chrono::milliseconds(std::stoll("0" + query["wait-ms"]));
      while (true) {
        json::array events;
        for (const auto& one : log_) {
          if (one.revision <= after || one.key.rfind(prefix, 0) != 0) continue;
          if (one.removed) {
            events.push_back(
                json::object{{"key", one.key}, {"revision", one.revision}, {"removed", true}});
          } else {
            events.push_back(show(one.key, one.now));
          }
        }
        const bool over = std::chrono::steady_clock::now() >= until;
        if (!events.empty() || over) {
          return {200, json::serialize(json::object{{"events", std::move(events)},
                                                    {"store-revision", revision_}})};
        }
        changed_.wait_until(lock, until);
      }
    }
    if (path == "/api/kv-txn") return transact(request.body);
    if (path == "/api/kv-lease") {
      const std::string ttl(json::parse(request.body).at("ttl_time").as_string());
      const double number = std::stod(ttl);
      const bool ms = ttl.size() > 2 && ttl.substr(ttl.size() - 2) == "ms";
      const auto length = static_cast<std::int64_t>(ms ? number : number * 1000);
      const auto id = ++last_lease_;
      leases_[id] = {length, now_ms() + length};
      return {200, json::serialize(json::object{{"lease", id}, {"ttl_time", ttl}})};
    }
    if (path.rfind("/api/kv-keep/", 0) == 0) {
      const auto it = leases_.find(std::stoull(path.substr(13)));
      if (it == leases_.end()) return {404, "{}"};
      it->second.ends = now_ms() + it->second.ttl;
      return {200,
              json::serialize(json::object{{"ttl_time", std::to_string(it->second.ttl) + "ms"}})};
    }
    if (path.rfind("/api/kv-lease-end/", 0) == 0) {
      const auto id = std::stoull(path.substr(18));
      if (leases_.erase(id) == 0) return {404, "{}"};
      std::vector<std::string> gone;
      for (const auto& [key, value] : items_) {
        if (value.lease == id) gone.push_back(key);
      }
      ++revision_;
      for (const auto& key : gone) erase(key);
      changed_.notify_all();
      return {200, "{}"};
    }
    return {404, "{}"};
  }

  std::string range(const std::string& prefix, const std::string& after) const {
    constexpr std::size_t page = 500;
    json::array out;
    bool more = false;
    for (auto it = items_.lower_bound(prefix);
         it != items_.end() && it->first.rfind(prefix, 0) == 0; ++it) {
      if (!after.empty() && it->first <= after) continue;
      if (out.size() == page) {
        more = true;
        break;
      }
      out.push_back(show(it->first, it->second));
    }
    return json::serialize(
        json::object{{"items", std::move(out)}, {"has-more", more}, {"store-revision", revision_}});
  }

  std::pair<int, std::string> transact(const std::string& body) {
    const auto call = json::parse(body).as_object();
    json::array current;
    bool holds = true;
    const auto list = [&](const char* name) {
      const auto* found = call.if_contains(name);
      return found == nullptr ? json::array() : found->as_array();
    };
    for (const auto& row : list("expected-revision")) {
      const std::string key(row.at("key").as_string());
      const auto it = items_.find(key);
      const auto wanted = row.at("revision").to_number<std::uint64_t>();
      holds = holds && wanted == (it == items_.end() ? 0 : it->second.revision);
      if (it != items_.end()) current.push_back(show(key, it->second));
    }
    if (!holds) return {412, json::serialize(json::object{{"items", std::move(current)}})};
    for (const auto& row : list("put-items")) {
      const auto* id = row.as_object().if_contains("lease");
      const auto number = id == nullptr ? 0 : id->to_number<std::uint64_t>();
      if (number != 0 && leases_.count(number) == 0) return {404, "{}"};
    }
    ++revision_;
    for (const auto& row : list("put-items")) {
      const auto* id = row.as_object().if_contains("lease");
      write(std::string(row.at("key").as_string()),
            decode_base64(std::string(row.at("value").as_string())),
            id == nullptr ? 0 : id->to_number<std::uint64_t>(), 0);
    }
    for (const auto& key : list("delete-keys")) erase(std::string(key.as_string()));
    changed_.notify_all();
    return {200, json::serialize(json::object{{"revision", revision_}})};
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 100, last_lease_ = 7000;
  std::map<std::string, item> items_;
  std::map<std::uint64_t, lease> leases_;
  std::deque<change> log_;
};

}  // namespace lab
