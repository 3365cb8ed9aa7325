#include "common/store.h"

#include <boost/json.hpp>
#include <cstdlib>

namespace review {
namespace {

namespace json = boost::json;

constexpr std::size_t page_items = 500;
constexpr std::string_view digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string to_base64(const std::string& bytes) {
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 | (j < count ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += j <= count ? digits[group >> (18 - 6 * j) & 63] : '=';
    }
  }
  return out;
}

std::string from_base64(std::string_view text) {
  std::string out;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char c : text) {
    const auto digit = digits.find(c);
    if (digit == std::string_view::npos) break;
    group = group << 6 | static_cast<std::uint32_t>(digit);
    bits += 6;
    if (bits < 8) continue;
    bits -= 8;
    out += static_cast<char>(group >> bits & 255);
  }
  return out;
}

std::string query_value(const std::string& target, const std::string& name) {
  const auto question = target.find('?');
  if (question == std::string::npos) return {};
  std::string rest = target.substr(question + 1);
  while (!rest.empty()) {
    const auto end = std::min(rest.find('&'), rest.size());
    const std::string pair = rest.substr(0, end);
    rest.erase(0, end + 1);
    if (!pair.starts_with(name + "=")) continue;
    std::string out;
    for (std::size_t i = name.size() + 1; i < pair.size(); ++i) {
      if (pair[i] == '%' && i + 2 < pair.size()) {
        out += static_cast<char>(std::strtol(pair.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        out += pair[i];
      }
    }
    return out;
  }
  return {};
}

std::int64_t parse_time(std::string_view text) {
  const double number = std::atof(std::string(text).c_str());
  return static_cast<std::int64_t>(text.ends_with("ms") ? number : number * 1000);
}

std::string respond(int status, const json::value& body) {
  return format_response(status, status == 200 ? "OK" : "Refused",
                         {{"Content-Type", "application/json"}, {"Store-Era", "1"}},
                         json::serialize(body));
}

}  // namespace

std::string store::add_caller() {
  auto made = std::make_unique<acceptor>("127.0.0.1", [this](connection& link) { serve(link); });
  const std::lock_guard lock(mutex_);
  listeners_.push_back(std::move(made));
  return listeners_.back()->address();
}

void store::put(const std::string& key, const std::string& value, std::uint64_t lease_id,
                std::uint64_t revision) {
  auto& state = items_[key];
  if (state.created == 0) state.created = revision;
  state.value = value;
  state.revision = revision;
  state.lease = lease_id;
  events_.push_back({key, false, state});
}

void store::remove(const std::string& key, std::uint64_t revision) {
  if (items_.erase(key) == 0) return;
  events_.push_back({key, true, {"", revision, 0, 0}});
}

// Removes the keys of leases that have ended.
void store::expire() {
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (now_ms() < it->second.until) {
      ++it;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, state] : items_) {
      if (state.lease == it->first) keys.push_back(key);
    }
    for (const auto& key : keys) remove(key, ++revision_);
    if (!keys.empty()) changed_.notify_all();
    it = leases_.erase(it);
  }
}

void store::write(const std::string& key, const std::string& value, std::int64_t lifetime_ms) {
  const std::lock_guard lock(mutex_);
  expire();
  std::uint64_t id = 0;
  if (lifetime_ms != 0) {
    auto& known = entry_leases_[key];
    if (known == 0 || !leases_.contains(known)) known = ++last_lease_;
    leases_[known] = {lifetime_ms, now_ms() + lifetime_ms};
    id = known;
  }
  put(key, value, id, ++revision_);
  changed_.notify_all();
}

std::string store::range(const std::string& prefix, const std::string& after) {
  json::array page;
  bool more = false;
  for (auto it = items_.lower_bound(std::max(prefix, after)); it != items_.end(); ++it) {
    if (!it->first.starts_with(prefix)) break;
    if (it->first <= after) continue;
    if (page.size() == page_items) {
      more = true;
      break;
    }
    page.push_back(json::object{{"key", it->first},
                                {"value", to_base64(it->second.value)},
                                {"revision", it->second.revision},
                                {"created", it->second.created},
                                {"lease", it->second.lease}});
  }
  return respond(200,
                 json::object{{"items", page}, {"has-more", more}, {"store-revision", revision_}});
}

std::string store::watch(const std::string& prefix, std::uint64_t after, std::int64_t wait,
                         std::unique_lock<std::mutex>& lock) {
  if (after > revision_) return respond(410, json::object{});
  const auto until = now_ms() + std::min<std::int64_t>(wait, 30'000);
  while (true) {
    json::array found;
    for (const auto& each : events_) {
      if (each.state.revision <= after || !each.key.starts_with(prefix)) continue;
      json::object out{{"key", each.key}, {"revision", each.state.revision}};
      if (each.removed) {
        out["removed"] = true;
      } else {
        out["value"] = to_base64(each.state.value);
        out["created"] = each.state.created;
        out["lease"] = each.state.lease;
      }
      found.push_back(std::move(out));
    }
    const auto left = until - now_ms();
    if (!found.empty() || left <= 0 || stopped_) {
      return respond(200, json::object{{"events", found}, {"store-revision", revision_}});
    }
    changed_.wait_for(lock, std::chrono::milliseconds(std::min<std::int64_t>(left, 50)));
    expire();
  }
}

std::string store::transact(const std::string& body) {
  const auto call = json::parse(body).as_object();
  json::array current;
  bool holds = true;
  for (const auto& row : call.at("expected-revision").as_array()) {
    const std::string key(row.at("key").as_string());
    const auto wanted = row.at("revision").to_number<std::uint64_t>();
    const auto it = items_.find(key);
    holds = holds && wanted == (it == items_.end() ? 0 : it->second.revision);
    if (it == items_.end()) continue;
    current.push_back(json::object{{"key", key},
                                   {"value", to_base64(it->second.value)},
                                   {"revision", it->second.revision},
                                   {"created", it->second.created},
                                   {"lease", it->second.lease}});
  }
  if (!holds) {
    return respond(412, json::object{{"items", current}, {"store-revision", revision_}});
  }
  const auto lease_of = [](const json::value& row) {
    const auto* id = row.as_object().if_contains("lease");
    return id == nullptr ? 0 : id->to_number<std::uint64_t>();
  };
  const auto& puts = call.at("put-items").as_array();
  for (const auto& row : puts) {
    const std::string key(row.at("key").as_string());
    if (key.starts_with("op/") || key.starts_with("servers/")) return respond(403, json::object{});
    const auto id = lease_of(row);
    if (id != 0 && !leases_.contains(id)) return respond(404, json::object{});
  }
  const auto revision = ++revision_;
  for (const auto& row : puts) {
    const std::string key(row.at("key").as_string());
    put(key, from_base64(row.at("value").as_string()), lease_of(row), revision);
  }
  if (const auto* removals = call.if_contains("delete-keys")) {
    for (const auto& key : removals->as_array()) remove(std::string(key.as_string()), revision);
  }
  changed_.notify_all();
  return respond(200, json::object{{"revision", revision}});
}

std::string store::answer(const message& request) {
  std::unique_lock lock(mutex_);
  expire();
  const auto path = request.target.substr(0, request.target.find('?'));
  const auto id_of = [&](const std::string& prefix) -> std::uint64_t {
    return path.starts_with(prefix) ? std::strtoull(path.c_str() + prefix.size(), nullptr, 10) : 0;
  };
  if (path == "/api/kv-key") {
    const auto it = items_.find(query_value(request.target, "key"));
    if (it == items_.end()) return respond(404, json::object{});
    return respond(200, json::object{{"key", it->first},
                                     {"value", to_base64(it->second.value)},
                                     {"revision", it->second.revision},
                                     {"created", it->second.created},
                                     {"lease", it->second.lease},
                                     {"store-revision", revision_}});
  }
  if (path == "/api/kv-range") {
    return range(query_value(request.target, "prefix"), query_value(request.target, "after"));
  }
  if (path == "/api/kv-watch") {
    return watch(query_value(request.target, "prefix"),
                 std::strtoull(query_value(request.target, "after").c_str(), nullptr, 10),
                 std::atoll(query_value(request.target, "wait-ms").c_str()), lock);
  }
  if (path == "/api/kv-txn") return transact(request.body);
  if (path == "/api/kv-lease") {
    const auto ttl = parse_time(json::parse(request.body).at("ttl_time").as_string());
    leases_[++last_lease_] = {ttl, now_ms() + ttl};
    return respond(200,
                   json::object{{"lease", last_lease_}, {"ttl_time", std::to_string(ttl) + "ms"}});
  }
  if (const auto id = id_of("/api/kv-keep/"); id != 0) {
    const auto it = leases_.find(id);
    if (it == leases_.end()) return respond(404, json::object{});
    it->second.until = now_ms() + it->second.ttl;
    return respond(200, json::object{{"ttl_time", std::to_string(it->second.ttl) + "ms"}});
  }
  if (const auto id = id_of("/api/kv-lease-end/"); id != 0) {
    const auto it = leases_.find(id);
    if (it == leases_.end()) return respond(404, json::object{});
    it->second.until = 0;
    expire();
    return respond(200, json::object{{"revision", revision_}});
  }
  return respond(404, json::object{});
}

void store::serve(connection& link) {
  message request;
  while (link.read_head(request, false, 3'600'000) && link.read_body(request, 10'000)) {
    if (!link.send(answer(request))) return;
  }
}

void store::stop() {
  {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
  }
  changed_.notify_all();
  for (auto& each : listeners_) each->stop();
}

}  // namespace review
