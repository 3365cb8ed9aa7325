#include "standin/etcd_api.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

#include "platform/etcd_codec.h"

namespace plantainpaddle {

namespace json = boost::json;

namespace {

// A bad member throws boost::system::system_error, caught in etcd_call().
const json::object& member(const json::object& object, std::string_view name) {
  return object.at(name).as_object();
}

json::object to_json(const kv_entry& entry) {
  json::object out{{"key", encode_base64(entry.key)},
                   {"value", encode_base64(entry.value)},
                   {"create_revision", std::to_string(entry.created)},
                   {"mod_revision", std::to_string(entry.modified)},
                   {"version", std::to_string(entry.version)}};
  if (entry.lease != 0) out["lease"] = std::to_string(entry.lease);
  return out;
}

json::object range(const kv_store& store, const json::object& body) {
  const auto entries = store.range(etcd_bytes(body, "key"), etcd_bytes(body, "range_end"));
  const std::uint64_t limit = etcd_number(body, "limit");
  json::array found;
  for (const auto& entry : entries) {
    if (limit != 0 && found.size() >= limit) break;
    found.push_back(to_json(entry));
  }
  const bool more = found.size() < entries.size();
  return {{"header", etcd_header(store)},
          {"kvs", std::move(found)},
          {"more", more},
          {"count", std::to_string(entries.size())}};
}

bool put(kv_store& store, const json::object& body) {
  return store.put(etcd_bytes(body, "key"), etcd_bytes(body, "value"), etcd_number(body, "lease"));
}

json::object remove(kv_store& store, const json::object& body) {
  const auto count = store.remove(etcd_bytes(body, "key"), etcd_bytes(body, "range_end"));
  return {{"header", etcd_header(store)}, {"deleted", std::to_string(count)}};
}

template <class Value>
bool holds(std::string_view relation, const Value& found, const Value& wanted) {
  if (relation == "GREATER") return found > wanted;
  if (relation == "LESS") return found < wanted;
  if (relation == "NOT_EQUAL") return found != wanted;
  return found == wanted;
}

bool compare(const kv_store& store, const json::object& wanted) {
  static const kv_entry absent;
  const kv_entry* found = store.find(etcd_bytes(wanted, "key"));
  const kv_entry& entry = found == nullptr ? absent : *found;
  const auto text = [&](std::string_view name) -> std::string_view {
    const auto* value = wanted.if_contains(name);
    return value != nullptr && value->is_string() ? std::string_view(value->as_string())
                                                  : std::string_view();
  };
  const auto relation = text("result");
  const auto target = text("target");
  if (target == "VALUE") {
    return found != nullptr && holds(relation, entry.value, etcd_bytes(wanted, "value"));
  }
  if (target == "CREATE") {
    return holds(relation, entry.created, etcd_number(wanted, "create_revision"));
  }
  if (target == "MOD") return holds(relation, entry.modified, etcd_number(wanted, "mod_revision"));
  return holds(relation, entry.version, etcd_number(wanted, "version"));
}

// The operations of one branch. False: one of them was refused; those before it have run.
bool run_branch(kv_store& store, const json::object& body, std::string_view branch,
                json::array& responses) {
  const auto* operations = body.if_contains(branch);
  if (operations == nullptr) return true;
  for (const auto& item : operations->as_array()) {
    const auto& operation = item.as_object();
    if (operation.contains("request_put")) {
      if (!put(store, member(operation, "request_put"))) return false;
      responses.push_back(
          json::object{{"response_put", json::object{{"header", etcd_header(store)}}}});
    } else if (operation.contains("request_delete_range")) {
      responses.push_back(json::object{
          {"response_delete_range", remove(store, member(operation, "request_delete_range"))}});
    } else {
      responses.push_back(
          json::object{{"response_range", range(store, member(operation, "request_range"))}});
    }
  }
  return true;
}

http_response transaction(kv_store& store, const json::object& body) {
  const auto* compares = body.if_contains("compare");
  if (compares != nullptr && compares->as_array().size() > 1) {
    return etcd_error(400, "the stand-in takes one compare");
  }
  const bool succeeded = compares == nullptr || compares->as_array().empty() ||
                         compare(store, compares->as_array().at(0).as_object());
  json::array responses;
  if (!run_branch(store, body, succeeded ? "success" : "failure", responses)) {
    return etcd_error(400, "etcdserver: request is too large, or its lease is not found");
  }
  return json_response(200, json::serialize(json::object{{"header", etcd_header(store)},
                                                         {"succeeded", succeeded},
                                                         {"responses", std::move(responses)}}));
}

std::string seconds_text(duration length) { return std::to_string(length / seconds(1)); }

http_response lease_call(kv_store& store, std::string_view target, const json::object& body,
                         monotonic_time now) {
  const std::uint64_t id = etcd_number(body, "ID");
  if (target == "/v3/lease/grant") {
    const duration length = seconds(std::max<std::uint64_t>(1, etcd_number(body, "TTL")));
    const auto granted = store.grant_lease(id, length, now);
    if (granted == 0) return etcd_error(412, "etcdserver: lease already exists");
    return json_response(200, json::serialize(json::object{{"header", etcd_header(store)},
                                                           {"ID", std::to_string(granted)},
                                                           {"TTL", seconds_text(length)}}));
  }
  if (target == "/v3/lease/keepalive") {
    const auto length = store.keep_alive(id, now);
    const json::object kept{{"header", etcd_header(store)},
                            {"ID", std::to_string(id)},
                            {"TTL", seconds_text(length.value_or(duration{0}))}};
    return json_response(200, json::serialize(json::object{{"result", kept}}));
  }
  if (!store.revoke_lease(id)) return etcd_error(404, "etcdserver: requested lease not found");
  return json_response(200, json::serialize(json::object{{"header", etcd_header(store)}}));
}

}  // namespace

std::string etcd_bytes(const json::object& object, std::string_view name) {
  const auto* value = object.if_contains(name);
  if (value == nullptr || !value->is_string()) return "";
  const auto bytes = decode_base64(value->as_string());
  return bytes ? *bytes : "";
}

std::uint64_t etcd_number(const json::object& object, std::string_view name) {
  const auto* value = object.if_contains(name);
  std::uint64_t number = 0;
  if (value == nullptr) return number;
  if (value->is_int64()) return static_cast<std::uint64_t>(value->as_int64());
  if (value->is_string()) {
    const auto& text = value->as_string();
    std::from_chars(text.data(), text.data() + text.size(), number);
  }
  return number;
}

json::object etcd_header(const kv_store& store) {
  return {{"revision", std::to_string(store.revision())}};
}

json::object etcd_event(const kv_change& change) {
  return {{"type", change.removed ? "DELETE" : "PUT"}, {"kv", to_json(change.entry)}};
}

http_response etcd_error(unsigned status, std::string_view message) {
  return json_response(status,
                       json::serialize(json::object{{"error", message}, {"message", message}}));
}

call_kind kind_of_call(std::string_view target) {
  if (target == "/v3/kv/range" || target == "/v3/watch") return call_kind::read;
  if (target == "/v3/kv/put" || target == "/v3/kv/txn" || target == "/v3/kv/deleterange" ||
      target.starts_with("/v3/lease/")) {
    return call_kind::write;
  }
  return call_kind::unknown;
}

http_response etcd_call(kv_store& store, std::string_view target, const json::object& body,
                        monotonic_time now) {
  try {
    if (target == "/v3/kv/range") return json_response(200, json::serialize(range(store, body)));
    if (target == "/v3/kv/txn") return transaction(store, body);
    if (target.starts_with("/v3/lease/")) return lease_call(store, target, body, now);
    if (target == "/v3/kv/deleterange") {
      return json_response(200, json::serialize(remove(store, body)));
    }
    if (target == "/v3/kv/put") {
      if (!put(store, body)) {
        return etcd_error(400, "etcdserver: request is too large, or its lease is not found");
      }
      return json_response(200, json::serialize(json::object{{"header", etcd_header(store)}}));
    }
  } catch (const std::exception& e) {
    return etcd_error(400, e.what());
  }
  return etcd_error(404, "no such call");
}

}  // namespace plantainpaddle
