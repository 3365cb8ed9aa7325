#include "platform/platform_codec.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <set>

#include "base/json.h"
#include "http/address.h"
#include "platform/platform_headers.h"

namespace plantainpaddle {
namespace {

namespace json = boost::json;

constexpr std::size_t max_desired_state_bytes = 4 << 20;
constexpr std::size_t max_entry_bytes = 1 << 16;
constexpr std::uint32_t default_attempts = 3;      // of a route that names none
constexpr duration default_timeout = seconds(30);  // the same

error malformed(step at, const std::string& path, const std::string& detail) {
  return {errc::bad_input, at, "", path + ": " + detail};
}

// Members of an object that are wanted with a type; the first fault is kept.
class member_reader {
 public:
  member_reader(const json::value& value, std::string path, step at)
      : object_(value.if_object()), path_(std::move(path)), at_(at) {
    if (object_ == nullptr) fail("", "an object is wanted");
  }

  const json::value* find(std::string_view name) const {
    return object_ == nullptr ? nullptr : object_->if_contains(name);
  }
  std::string text(std::string_view name) {
    const auto* value = find(name);
    if (value != nullptr && value->is_string()) return std::string(value->get_string());
    fail(name, "a text is wanted");
    return {};
  }
  std::uint64_t whole(std::string_view name, std::optional<std::uint64_t> otherwise = {}) {
    const auto* value = find(name);
    if (value == nullptr && otherwise) return *otherwise;
    boost::system::error_code code;
    const auto number = value == nullptr ? 0 : value->to_number<std::uint64_t>(code);
    if (value == nullptr || code) fail(name, "a whole number is wanted");
    return number;
  }
  double number(std::string_view name) {
    const auto* value = find(name);
    boost::system::error_code code;
    const auto number = value == nullptr ? 0 : value->to_number<double>(code);
    if (value == nullptr || code) fail(name, "a number is wanted");
    return number;
  }
  duration time(std::string_view name, std::optional<duration> otherwise = {}) {
    const auto* value = find(name);
    if (value == nullptr && otherwise) return *otherwise;
    const auto read = value == nullptr || !value->is_string()
                          ? std::nullopt
                          : parse_duration(std::string_view(value->get_string()));
    if (!read) fail(name, "a time such as \"1500ms\" is wanted");
    return read.value_or(duration::zero());
  }
  bool flag(std::string_view name) {
    const auto* value = find(name);
    if (value == nullptr) return false;
    if (!value->is_bool()) fail(name, "true or false is wanted");
    return value->is_bool() && value->get_bool();
  }
  const json::array& list(std::string_view name) {
    static const json::array none;
    const auto* value = find(name);
    if (value != nullptr && value->is_array()) return value->get_array();
    fail(name, "a list is wanted");
    return none;
  }
  void fail(std::string_view name, const std::string& detail) {
    if (fault_) return;
    fault_ = malformed(at_, path_ + (name.empty() ? "" : "." + std::string(name)), detail);
  }
  const std::optional<error>& fault() const { return fault_; }
  std::string path(std::string_view name, std::size_t index) const {
    return path_ + "." + std::string(name) + "[" + std::to_string(index) + "]";
  }

 private:
  const json::object* object_;
  std::string path_;
  step at_;
  std::optional<error> fault_;
};

result<declared_service> read_service(const json::value& value, const std::string& path) {
  member_reader reader(value, path, step::table);
  declared_service service;
  service.name.value = reader.text("name");
  service.connections = static_cast<std::uint32_t>(reader.whole("max-connections", 100));
  service.keyed = reader.flag("sharded");
  if (service.keyed) service.key_header = platform_key_header;
  if (reader.find("warmup-per-s") != nullptr) service.cold_rate = reader.number("warmup-per-s");
  if (reader.fault()) return *reader.fault();
  return service;
}

// The route's type says what may run twice, not the method.
void set_kind(declared_route& route, const std::string& kind) {
  route.row.idempotent = kind == "safe";
  route.row.once = !route.row.idempotent;
  constexpr duration interactive = seconds(2);  // shorter time-outs have somebody waiting
  if (kind == "upload") {
    route.row.klass = request_class::upload;
  } else if (kind == "safe") {
    route.row.klass =
        route.row.timeout < interactive ? request_class::counter : request_class::bulk;
  } else {
    route.row.klass = request_class::order;
  }
}

result<declared_route> read_route(const json::value& value, const std::string& path) {
  member_reader reader(value, path, step::table);
  declared_route route;
  route.row.name = reader.text("name");
  route.row.host = reader.text("host");
  route.row.path_prefix = reader.text("prefix");
  route.row.timeout = reader.time("timeout", default_timeout);
  route.policy.target_latency = reader.time("target-latency", duration::zero());
  route.policy.priority = static_cast<std::uint32_t>(reader.whole("priority", 0));
  route.policy.max_attempts =
      static_cast<std::uint32_t>(reader.whole("max-attempts", default_attempts));
  set_kind(route, reader.text("route-type"));
  if (reader.find("traffic-split") == nullptr) {
    route.targets.emplace_back(service_id{reader.text("service")}, 1);
  } else {
    const auto& parts = reader.list("traffic-split");
    for (std::size_t i = 0; i < parts.size(); ++i) {
      member_reader part(parts[i], reader.path("traffic-split", i), step::table);
      route.targets.emplace_back(service_id{part.text("service")}, part.number("weight"));
      if (part.fault()) return *part.fault();
    }
    if (parts.empty()) reader.fail("traffic-split", "at least one part is wanted");
  }
  if (reader.fault()) return *reader.fault();
  return route;
}

std::optional<error> read_limits(const json::value& value, desired_state& state,
                                 std::uint64_t& body_bytes) {
  member_reader reader(value, "$.limits", step::table);
  const caller_limits usual;
  state.limits.head_bytes = reader.whole("max-header-bytes", usual.head_bytes);
  state.limits.head_time = reader.time("header-timeout", usual.head_time);
  state.limits.idle_time = reader.time("idle-timeout", usual.idle_time);
  body_bytes = reader.whole("max-body-bytes", body_bytes);
  return reader.fault();
}

// A route that is divided by key needs it from the request.
void set_keys(desired_state& state, std::uint64_t body_bytes) {
  std::map<service_id, const declared_service*> services;
  for (const auto& service : state.services) services[service.name] = &service;
  for (auto& route : state.routes) {
    route.row.body_limit = body_bytes;
    for (const auto& [name, weight] : route.targets) {
      const auto place = services.find(name);
      if (place == services.end() || !place->second->keyed) continue;
      route.row.key_from = key_source::header;
      route.row.key_name = place->second->key_header;
    }
  }
}

}  // namespace

result<desired_state> parse_desired_state(std::string_view text) {
  const auto value = parse_json(text, step::table, max_desired_state_bytes);
  if (!value) return value.error();
  member_reader reader(*value, "$", step::table);
  desired_state state;
  state.version = reader.whole("version");
  const auto& services = reader.list("services");
  for (std::size_t i = 0; i < services.size(); ++i) {
    auto service = read_service(services[i], reader.path("services", i));
    if (!service) return service.error();
    state.services.push_back(std::move(*service));
  }
  const auto& routes = reader.list("routes");
  for (std::size_t i = 0; i < routes.size(); ++i) {
    auto route = read_route(routes[i], reader.path("routes", i));
    if (!route) return route.error();
    const bool states_priority = routes[i].as_object().contains("priority");
    state.ranked = state.ranked || (states_priority && route->policy.priority == 0);
    state.routes.push_back(std::move(*route));
  }
  std::uint64_t body_bytes = std::uint64_t{64} << 20;
  if (const auto* limits = reader.find("limits")) {
    if (auto fault = read_limits(*limits, state, body_bytes)) return *fault;
  }
  if (reader.fault()) return *reader.fault();
  set_keys(state, body_bytes);
  return state;
}

result<registered_upstream> parse_registered_upstream(std::string_view key, std::string_view text) {
  const auto at = step::instance_list;
  if (!key.starts_with(upstream_key_prefix)) return malformed(at, std::string(key), "no entry");
  const auto value = parse_json(text, at, max_entry_bytes);
  if (!value) return value.error();
  member_reader reader(*value, std::string(key), at);
  registered_upstream entry;
  entry.id.value = key.substr(upstream_key_prefix.size());
  entry.service.value = reader.text("service");
  entry.address = reader.text("address");
  entry.domain.value = reader.text("zone");
  entry.slots = static_cast<std::uint32_t>(reader.whole("max-concurrency"));
  const auto state = reader.text("state");
  entry.leaving = state == "draining";
  if (state != "ready" && state != "draining") reader.fail("state", "unknown");
  entry.warm_up_left = reader.time("warmup-left");
  reader.text("version");  // of its software; only there in whole entries
  entry.sequence = reader.whole("sequence");
  // A start's time in milliseconds: what tells two lives under one id apart.
  entry.life = reader.whole("born", 0);
  if (reader.fault()) return *reader.fault();
  if (entry.id.value.empty() || entry.slots == 0 || !parse_address(entry.address)) {
    return malformed(at, std::string(key), "no usable id, address or max-concurrency");
  }
  return entry;
}

http_request make_grant_request(const range_action::grant& order) {
  json::object body{{"from", order.first},
                    {"target", order.last},
                    {"fence", order.fence.value},
                    {"hold_time", format_duration(order.hold)}};
  if (!order.handover.empty()) body["handover"] = order.handover;
  return {"POST", "/api/grant", {{"Content-Type", "application/json"}}, json::serialize(body)};
}

http_request make_release_request(const range_action::release& order) {
  const json::object body{
      {"from", order.first}, {"target", order.last}, {"fence", order.fence.value}};
  return {"POST", "/api/release", {{"Content-Type", "application/json"}}, json::serialize(body)};
}

http_request make_identity_request(const instance_id& asking, std::uint64_t request,
                                   duration deadline) {
  const auto& names = platform_header_names;
  const auto left = std::chrono::ceil<milliseconds>(deadline).count();
  return {"GET",
          "/",
          {{std::string(names.request_id), std::to_string(request)},
           {std::string(names.deadline), std::to_string(left)},
           {std::string(names.expected_upstream), asking.value}},
          ""};
}

result<upstream_id> read_identity_answer(const http_response& answer) {
  constexpr unsigned misdirected = 421;
  const auto there = find_header(answer.headers, platform_header_names.answering_upstream);
  if (answer.status == misdirected && !there.empty()) return upstream_id{std::string(there)};
  return error{errc::protocol, step::grant, "",
               "no id of an upstream, status " + std::to_string(answer.status)};
}

result<grant_verdict> read_grant_answer(const http_response& answer) {
  constexpr unsigned accepted = 200;
  constexpr unsigned fence_too_low = 409;
  if (answer.status == accepted) return grant_verdict::accepted;
  if (answer.status == fence_too_low) return grant_verdict::fence_too_low;
  return error{errc::refused, step::grant, "", "status " + std::to_string(answer.status)};
}

result<std::string> read_release_answer(const http_response& answer) {
  constexpr unsigned released = 200;
  constexpr std::string_view handover_header = "X-Plantainpaddle-Handover";
  if (answer.status != released) {
    return error{errc::refused, step::grant, "", "status " + std::to_string(answer.status)};
  }
  return std::string(find_header(answer.headers, handover_header));
}

}  // namespace plantainpaddle
