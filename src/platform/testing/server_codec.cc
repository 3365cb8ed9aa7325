#include "platform/testing/server_codec.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <map>

#include "base/json.h"
#include "platform/etcd_codec.h"
#include "platform/platform_headers.h"

namespace plantainpaddle {
namespace {

namespace json = boost::json;

constexpr std::size_t max_call_bytes = 4 << 20;
constexpr std::size_t max_transaction_entries = 32;
constexpr std::string_view grant_order_target = "/api/grant";
constexpr std::string_view era_header = "Store-Era";
constexpr std::string_view release_order_target = "/api/release";
constexpr unsigned status_compacted = 410;
constexpr unsigned status_conflict = 412;

error bad_call(const std::string& detail) { return {errc::bad_input, step::store, "", detail}; }
error other_call(std::string_view target) {
  return {errc::not_found, step::store, "", "no such call: " + std::string(target)};
}

std::optional<std::uint64_t> parse_whole(std::string_view text) {
  std::uint64_t number = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
  const bool whole = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
  return whole ? std::optional(number) : std::nullopt;
}

std::string unescape(std::string_view text) {
  constexpr int hexadecimal = 16;
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned byte = 0;
    const auto digits = text.substr(i + 1 < text.size() ? i + 1 : text.size(), 2);
    const bool escaped =
        text[i] == '%' && digits.size() == 2 &&
        std::from_chars(digits.data(), digits.data() + 2, byte, hexadecimal).ec == std::errc();
    out += escaped ? static_cast<char>(byte) : text[i];
    if (escaped) i += 2;
  }
  return out;
}

using query_values = std::map<std::string, std::string, std::less<>>;

query_values parse_query(std::string_view query) {
  query_values values;
  while (!query.empty()) {
    const auto end = std::min(query.find('&'), query.size());
    const auto part = query.substr(0, end);
    const auto equals = std::min(part.find('='), part.size());
    const auto value = equals < part.size() ? part.substr(equals + 1) : std::string_view();
    values[unescape(part.substr(0, equals))] = unescape(value);
    query.remove_prefix(std::min(end + 1, query.size()));
  }
  return values;
}

result<any_item_call> parse_read(std::string_view path, const query_values& query) {
  const auto text = [&](std::string_view name) {
    const auto place = query.find(name);
    return place == query.end() ? std::string() : place->second;
  };
  if (path == "/api/kv-key") return any_item_call(item_call::get{text("key")});
  if (path == "/api/kv-range") {
    return any_item_call(item_call::range{text("prefix"), text("after")});
  }
  const auto after = parse_whole(text("after"));
  const auto wait_ms = parse_whole(text("wait-ms"));
  constexpr std::uint64_t longest_wait_ms = 30'000;
  if (!after || !wait_ms || *wait_ms > longest_wait_ms) {
    return bad_call("after, or wait-ms of at most 30000, is missing");
  }
  return any_item_call(item_call::watch{text("prefix"), *after, milliseconds(*wait_ms)});
}

// The objects of a list, each read by `read` with its own path for errors.
template <class Read>
void read_objects(object_reader& reader, std::string_view name, error_list& errors, Read read) {
  const auto* items = reader.array(name, false);
  if (items == nullptr) return;
  for (std::size_t i = 0; i < items->size(); ++i) {
    object_reader item((*items)[i], reader.path_of(name) + "[" + std::to_string(i) + "]",
                       step::store, errors);
    read(item);
    item.finish();
  }
}

result<any_item_call> parse_transaction(std::string_view body) {
  store_transaction read;
  error_list errors;
  const auto parsed = read_object(body, step::store, max_call_bytes, [&](object_reader& reader) {
    read_objects(reader, "expected-revision", errors, [&](object_reader& item) {
      read.conditions.push_back({item.text("key"), item.unsigned_integer("revision")});
    });
    read_objects(reader, "put-items", errors, [&](object_reader& item) {
      store_put put{item.text("key"), "", item.unsigned_integer("lease", 0)};
      auto value = decode_base64(item.text("value"));
      if (!value) item.fail("value", "base64 with padding is wanted");
      if (value) put.value = std::move(*value);
      read.puts.push_back(std::move(put));
    });
    read.removals = reader.texts("delete-keys", false);
  });
  if (!parsed) return parsed.error();
  if (!errors.empty()) return join_errors(errors);
  if (read.conditions.size() + read.puts.size() + read.removals.size() > max_transaction_entries) {
    return bad_call("more than 32 entries");
  }
  return any_item_call(std::move(read));
}

result<any_item_call> parse_lease_creation(std::string_view body) {
  std::optional<duration> ttl;
  const auto parsed = read_object(body, step::store, max_call_bytes, [&](object_reader& reader) {
    ttl = parse_duration(reader.text("ttl_time"));
  });
  if (!parsed) return parsed.error();
  if (!ttl) return bad_call("ttl_time: a time is wanted");
  return any_item_call(item_call::create_lease{*ttl});
}

json::object to_json(const served_item& served) {
  return {{"key", served.item.key},
          {"value", encode_base64(served.item.value)},
          {"revision", served.item.version},
          {"created", served.created},
          {"lease", served.lease}};
}

json::array to_json(const std::vector<served_item>& items) {
  json::array list;
  for (const auto& item : items) list.push_back(to_json(item));
  return list;
}

http_response answer(unsigned status, const json::object& body) {
  return json_response(status, json::serialize(body));
}

std::string kind_of(const route_row& row) {
  if (row.klass == request_class::upload) return "upload";
  return row.once ? "unsafe" : "safe";
}

json::object to_json(const declared_route& route) {
  json::object written{{"name", route.row.name},
                       {"host", route.row.host},
                       {"prefix", route.row.path_prefix},
                       {"route-type", kind_of(route.row)},
                       {"timeout", format_duration(route.row.timeout)},
                       {"target-latency", format_duration(route.policy.target_latency)},
                       {"priority", route.policy.priority},
                       {"max-attempts", route.policy.max_attempts}};
  if (route.targets.size() == 1) {
    written["service"] = route.targets.front().first.value;
    return written;
  }
  json::array parts;
  for (const auto& [service, weight] : route.targets) {
    parts.push_back(json::object{{"service", service.value}, {"weight", weight}});
  }
  written["traffic-split"] = std::move(parts);
  return written;
}

}  // namespace

result<any_item_call> parse_item_call(const http_request& request) {
  const std::string_view target = request.target;
  const auto mark = std::min(target.find('?'), target.size());
  const auto path = target.substr(0, mark);
  const auto query = target.substr(std::min(mark + 1, target.size()));
  const bool post = request.method == "POST";
  if (request.method == "GET" &&
      (path == "/api/kv-key" || path == "/api/kv-range" || path == "/api/kv-watch")) {
    return parse_read(path, parse_query(query));
  }
  if (post && path == "/api/kv-txn") return parse_transaction(request.body);
  if (post && path == "/api/kv-lease") return parse_lease_creation(request.body);
  constexpr std::string_view renewal = "/api/kv-keep/";
  constexpr std::string_view end = "/api/kv-lease-end/";
  if (post && path.starts_with(renewal)) {
    if (const auto lease = parse_whole(path.substr(renewal.size()))) {
      return any_item_call(item_call::renew_lease{*lease});
    }
  }
  if (request.method == "DELETE" && path.starts_with(end)) {
    if (const auto lease = parse_whole(path.substr(end.size()))) {
      return any_item_call(item_call::end_lease{*lease});
    }
  }
  return other_call(target);
}

http_response format_item(const served_item& item) {
  auto body = to_json(item);
  body["store-revision"] = item.item.version;
  return answer(200, body);
}

http_response format_item_page(const std::vector<served_item>& items, std::uint64_t revision,
                               bool more) {
  return answer(200, {{"items", to_json(items)}, {"has-more", more}, {"store-revision", revision}});
}

http_response format_item_events(const std::vector<watch_event>& events, std::uint64_t revision) {
  json::array list;
  for (const auto& event : events) {
    list.push_back(event.removed ? json::object{{"key", event.value.key},
                                                {"revision", event.value.version},
                                                {"removed", true}}
                                 : to_json(served_item{event.value}));
  }
  return answer(200, {{"events", std::move(list)}, {"store-revision", revision}});
}

http_response format_compacted() {
  return format_item_error(status_compacted, "the history is gone");
}

http_response format_written(std::uint64_t revision) {
  return answer(200, {{"revision", revision}});
}

http_response format_conflict(const std::vector<served_item>& current) {
  return answer(status_conflict, {{"items", to_json(current)}});
}

http_response format_lease(const granted_lease& lease) {
  return answer(200, {{"lease", lease.id}, {"ttl_time", format_duration(lease.length)}});
}

http_response format_item_error(unsigned status, std::string_view why) {
  return answer(status, {{"error", why}});
}

void add_era(http_response& response, std::uint64_t era) {
  response.headers.push_back({std::string(era_header), std::to_string(era)});
}

bool is_range_order(std::string_view target) {
  return target == grant_order_target || target == release_order_target;
}

result<any_range_order> parse_range_order(const http_request& request) {
  if (request.method != "POST" || !is_range_order(request.target)) {
    return other_call(request.target);
  }
  const bool grants = request.target == grant_order_target;
  range_action::grant read;
  std::string hold;
  const auto parsed =
      read_object(request.body, step::grant, max_call_bytes, [&](object_reader& reader) {
        constexpr std::int64_t last_key = 65535;
        read.first = static_cast<std::uint32_t>(reader.integer("from", 0, last_key));
        read.last = static_cast<std::uint32_t>(reader.integer("target", read.first, last_key));
        read.fence.value = reader.unsigned_integer("fence");
        if (!grants) return;
        hold = reader.text("hold_time");
        read.handover = reader.text("handover", "");
      });
  if (!parsed) return parsed.error();
  if (!grants) {
    return any_range_order(
        range_action::release{.first = read.first, .last = read.last, .fence = read.fence});
  }
  const auto length = parse_duration(hold);
  if (!length) return bad_call("hold_time: a time is wanted");
  read.hold = *length;
  return any_range_order(read);
}

http_response format_release_answer(const std::string& handover) {
  auto answered = json_response(200, "{}");
  answered.headers.push_back({"X-Plantainpaddle-Handover", handover});
  return answered;
}

std::string format_registered_upstream(const registered_upstream& upstream,
                                       std::uint64_t sequence) {
  return json::serialize(json::object{{"service", upstream.service.value},
                                      {"address", upstream.address},
                                      {"zone", upstream.domain.value},
                                      {"version", "stand-in"},
                                      {"max-concurrency", upstream.slots},
                                      {"state", upstream.leaving ? "draining" : "ready"},
                                      {"warmup-left", format_duration(upstream.warm_up_left)},
                                      {"sequence", sequence},
                                      {"born", upstream.life}});
}

std::string format_desired_state(const desired_state& state) {
  json::array services;
  for (const auto& service : state.services) {
    services.push_back(json::object{{"name", service.name.value},
                                    {"health-path", "/healthz"},
                                    {"max-connections", service.connections},
                                    {"sharded", service.keyed}});
  }
  json::array routes;
  std::uint64_t body_limit = 0;
  for (const auto& route : state.routes) {
    routes.push_back(to_json(route));
    body_limit = std::max(body_limit, route.row.body_limit);
  }
  const json::object limits{{"max-header-bytes", state.limits.head_bytes},
                            {"max-body-bytes", body_limit},
                            {"header-timeout", format_duration(state.limits.head_time)},
                            {"idle-timeout", format_duration(state.limits.idle_time)}};
  return json::serialize(json::object{{"version", state.version},
                                      {"routes", std::move(routes)},
                                      {"services", std::move(services)},
                                      {"limits", limits}});
}

}  // namespace plantainpaddle
