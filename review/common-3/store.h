// A small stand-in of the platform's metadata store: items, watches, transactions and leases, as
// PROTOCOL.md describes them, and the drill of LETTER-news.md.
#pragma once

#include <boost/json.hpp>
#include <condition_variable>
#include <mutex>

#include "net.h"

namespace lab {

namespace json = boost::json;

inline std::string to_base64(std::string_view in) {
  static constexpr char digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    unsigned long bits = static_cast<unsigned char>(in[i]) << 16;
    if (i + 1 < in.size()) bits |= static_cast<unsigned char>(in[i + 1]) << 8;
    if (i + 2 < in.size()) bits |= static_cast<unsigned char>(in[i + 2]);
    out += digits[bits >> 18 & 63];
    out += digits[bits >> 12 & 63];
    out += i + 1 < in.size() ? digits[bits >> 6 & 63] : '=';
    out += i + 2 < in.size() ? digits[bits & 63] : '=';
  }
  return out;
}
inline std::string from_base64(std::string_view in) {
  std::string out;
  unsigned long bits = 0;
  int count = 0;
  for (const char c : in) {
    int value = -1;
    if (c >= 'A' && c <= 'Z') value = c - 'A';
    if (c >= 'a' && c <= 'z') value = c - 'a' + 26;
    if (c >= '0' && c <= '9') value = c - '0' + 52;
    if (c == '+') value = 62;
    if (c == '/') value = 63;
    if (value < 0) break;
    bits = bits << 6 | static_cast<unsigned long>(value);
    count += 6;
    if (count >= 8) {
      count -= 8;
      out += static_cast<char>(bits >> count & 255);
    }
  }
  return out;
}

class store {
 public:
  explicit store(std::uint64_t era) : era_(era), listener_([this](link& l) { serve(l); }) {
    std::thread([this] {
      while (true) {
        sleep_ms(20);
        expire();
      }
    }).detach();
  }
  std::uint16_t port() const { return listener_.port(); }

  // What the operator and the servers write. Returns the revision, the acknowledgement; 0 while the
  // store is away.
  std::uint64_t write(const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    if (away_) return 0;
    ++revision_;
    put(key, value, 0);
    heard_[key] = now_ms();
    changed_.notify_all();
    return revision_;
  }
  std::uint64_t remove(const std::string& key) {
    const std::lock_guard lock(mutex_);
    if (away_) return 0;
    ++revision_;
    erase(key);
    changed_.notify_all();
    return revision_;
  }
  std::string value_of(const std::string& key) {
    const std::lock_guard lock(mutex_);
    const auto it = items_.find(key);
    return it == items_.end() ? std::string() : it->second.value;
  }
  std::uint64_t revision() {
    const std::lock_guard lock(mutex_);
    return revision_;
  }

  // The drill: a copy is made, and later the store comes back from it.
  void copy() {
    const std::lock_guard lock(mutex_);
    copied_items_ = items_;
    copied_revision_ = revision_;
  }
  void set_away(bool away) {
    const std::lock_guard lock(mutex_);
    away_ = away;
    changed_.notify_all();
  }
  void restore() {
    const std::lock_guard lock(mutex_);
    items_.clear();
    for (const auto& [key, one] : copied_items_) {
      if (one.lease == 0) items_[key] = one;  // leases are gone, and their keys with them
    }
    leases_.clear();
    revision_ = copied_revision_;
    events_.clear();
    first_event_ = revision_;
    heard_.clear();
    ++era_;
    changed_.notify_all();
  }

 private:
  struct item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct event {
    std::string key;
    bool removed = false;
    item now;
    std::uint64_t revision = 0;
  };
  struct lease {
    long length = 0;
    long ends = 0;
  };

  // The changes of one call share a revision.
  void put(const std::string& key, const std::string& value, std::uint64_t held_by) {
    auto& one = items_[key];
    one.revision = revision_;
    if (one.created == 0) one.created = revision_;
    one.value = value;
    one.lease = held_by;
    events_.push_back({key, false, one, revision_});
  }
  void erase(const std::string& key) {
    if (items_.erase(key) == 0) return;
    events_.push_back({key, true, {}, revision_});
  }
  void end_lease(std::uint64_t id) {
    std::vector<std::string> keys;
    for (const auto& [key, one] : items_) {
      if (one.lease == id) keys.push_back(key);
    }
    if (!keys.empty()) ++revision_;
    for (const auto& key : keys) erase(key);
    leases_.erase(id);
  }
  void expire() {
    const std::lock_guard lock(mutex_);
    if (away_) return;
    std::vector<std::uint64_t> ended;
    for (const auto& [id, one] : leases_) {
      if (now_ms() >= one.ends) ended.push_back(id);
    }
    for (const auto id : ended) end_lease(id);
    // A server's entry is removed after three heartbeats of silence.
    std::vector<std::string> silent;
    for (const auto& [key, one] : items_) {
      if (!key.starts_with("servers/")) continue;
      auto& heard = heard_[key];
      if (heard == 0) heard = now_ms();
      if (now_ms() - heard > entry_life_ms) silent.push_back(key);
    }
    for (const auto& key : silent) {
      ++revision_;
      erase(key);
      heard_.erase(key);
    }
    if (!ended.empty() || !silent.empty()) changed_.notify_all();
  }

  static json::object show(const std::string& key, const item& one) {
    return {{"key", key},
            {"value", to_base64(one.value)},
            {"revision", one.revision},
            {"created", one.created},
            {"lease", one.lease}};
  }
  static std::string decode(std::string_view text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        out += static_cast<char>(std::strtol(std::string(text.substr(i + 1, 2)).c_str(), nullptr, 16));
        i += 2;
      } else {
        out += text[i];
      }
    }
    return out;
  }
  static std::map<std::string, std::string> query_of(const std::string& target) {
    std::map<std::string, std::string> out;
    auto at = target.find('?');
    while (at != std::string::npos) {
      const auto end = target.find('&', at + 1);
      const auto pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
      const auto equals = pair.find('=');
      if (equals != std::string::npos) out[pair.substr(0, equals)] = decode(pair.substr(equals + 1));
      at = end;
    }
    return out;
  }

  void serve(link& connection) {
    while (true) {
      const auto request = connection.read(now_ms() + 120000, false);
      if (!request.whole) return;
      const auto answer = handle(request);
      if (!answer) return connection.reset();
      if (!connection.write(*answer)) return;
    }
  }
  // Nothing while the store is away: the connection is reset.
  std::optional<std::string> handle(const message& request) {
    std::unique_lock lock(mutex_);
    if (away_) return std::nullopt;
    auto [status, body] = carry_out(request, lock);
    if (away_) return std::nullopt;
    return render("HTTP/1.1 " + std::to_string(status) + " x",
                  {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(era_)}},
                  json::serialize(body));
  }
  std::pair<int, json::object> carry_out(const message& request, std::unique_lock<std::mutex>& lock) {
    const auto path = request.second.substr(0, request.second.find('?'));
    auto query = query_of(request.second);
    if (path == "/api/kv-key") {
      const auto it = items_.find(query["key"]);
      if (it == items_.end()) return {404, {{"store-revision", revision_}}};
      auto out = show(it->first, it->second);
      out["store-revision"] = revision_;
      return {200, out};
    }
    if (path == "/api/kv-range") return {200, range(query["prefix"], query["after"])};
    if (path == "/api/kv-watch") return watch(query, lock);
    if (path == "/api/kv-txn") return transact(json::parse(request.body).as_object());
    if (path == "/api/kv-lease") {
      const auto body = json::parse(request.body).as_object();
      const std::string text(body.at("ttl_time").as_string());
      const double number = std::strtod(text.c_str(), nullptr);
      const long length = static_cast<long>(text.ends_with("ms") ? number : number * 1000);
      leases_[++last_lease_] = {length, now_ms() + length};
      return {200, {{"lease", last_lease_}, {"ttl_time", std::to_string(length) + "ms"}}};
    }
    if (path.starts_with("/api/kv-keep/")) {
      const auto it = leases_.find(std::strtoull(path.c_str() + 13, nullptr, 10));
      if (it == leases_.end()) return {404, {}};
      it->second.ends = now_ms() + it->second.length;
      return {200, {{"ttl_time", std::to_string(it->second.length) + "ms"}}};
    }
    if (path.starts_with("/api/kv-lease-end/")) {
      const auto id = std::strtoull(path.c_str() + 18, nullptr, 10);
      if (!leases_.contains(id)) return {404, {}};
      end_lease(id);
      changed_.notify_all();
      return {200, {}};
    }
    return {404, {}};
  }
  json::object range(const std::string& prefix, const std::string& after) {
    json::array out;
    bool more = false;
    for (auto it = items_.lower_bound(prefix); it != items_.end(); ++it) {
      if (!it->first.starts_with(prefix)) break;
      if (!after.empty() && it->first <= after) continue;
      if (out.size() >= 500) {
        more = true;
        break;
      }
      out.push_back(show(it->first, it->second));
    }
    return {{"items", std::move(out)}, {"has-more", more}, {"store-revision", revision_}};
  }
  std::pair<int, json::object> watch(std::map<std::string, std::string>& query,
                                     std::unique_lock<std::mutex>& lock) {
    const auto prefix = query["prefix"];
    const auto after = std::strtoull(query["after"].c_str(), nullptr, 10);
    const auto until =
        clock::now() + std::chrono::milliseconds(std::atol(query["wait-ms"].c_str()));
    const auto asked_in = era_;
    while (true) {
      if (away_) return {503, {}};
      if (era_ != asked_in || after > revision_ || after < first_event_) return {410, {}};
      json::array out;
      for (const auto& one : events_) {
        if (one.revision <= after || !one.key.starts_with(prefix)) continue;
        if (one.removed) {
          out.push_back(json::object{{"key", one.key}, {"revision", one.revision}, {"removed", true}});
        } else {
          out.push_back(show(one.key, one.now));
        }
      }
      if (!out.empty() || clock::now() >= until)
        return {200, {{"events", std::move(out)}, {"store-revision", revision_}}};
      changed_.wait_until(lock, until);
    }
  }
  std::pair<int, json::object> transact(const json::object& body) {
    const auto list = [&](const char* name) {
      const auto* found = body.if_contains(name);
      return found != nullptr && found->is_array() ? found->as_array() : json::array();
    };
    bool holds = true;
    json::array current;
    for (const auto& row : list("expected-revision")) {
      const std::string key(row.as_object().at("key").as_string());
      const auto it = items_.find(key);
      const auto there = it == items_.end() ? 0 : it->second.revision;
      holds = holds && there == row.as_object().at("revision").to_number<std::uint64_t>();
      if (it != items_.end()) current.push_back(show(key, it->second));
    }
    if (!holds) return {412, {{"items", std::move(current)}}};
    const auto lease_of = [](const json::value& row) {
      const auto* found = row.as_object().if_contains("lease");
      return found == nullptr ? 0 : found->to_number<std::uint64_t>();
    };
    for (const auto& row : list("put-items")) {
      if (lease_of(row) != 0 && !leases_.contains(lease_of(row))) return {404, {}};
    }
    ++revision_;
    for (const auto& row : list("put-items")) {
      put(std::string(row.as_object().at("key").as_string()),
          from_base64(row.as_object().at("value").as_string()), lease_of(row));
    }
    for (const auto& row : list("delete-keys")) erase(std::string(row.as_string()));
    changed_.notify_all();
    return {200, {{"revision", revision_}}};
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, item> items_;
  static constexpr long entry_life_ms = 3000;  // of servers that write every second
  std::map<std::string, long> heard_;           // when a server wrote its entry last
  std::map<std::string, item> copied_items_;
  std::uint64_t copied_revision_ = 0;
  std::vector<event> events_;
  std::uint64_t first_event_ = 0;
  std::uint64_t revision_ = 10;
  std::map<std::uint64_t, lease> leases_;
  std::uint64_t last_lease_ = 0;
  std::uint64_t era_;
  bool away_ = false;
  listener listener_;
};

}  // namespace lab
