#include "platform/item_codec.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "base/json.h"
#include "platform/etcd_codec.h"

namespace plantainpaddle {
namespace {

namespace json = boost::json;

constexpr std::size_t max_answer_bytes = 16 << 20;

error bad_answer(const std::string& detail) { return {errc::protocol, step::store, "", detail}; }

result<json::object> parse_object(std::string_view body) {
  auto value = parse_json(body, step::store, max_answer_bytes);
  if (!value) return bad_answer(value.error().detail);
  if (!value->is_object()) return bad_answer("the answer is not an object");
  return std::move(value->as_object());
}

std::optional<std::uint64_t> number_member(const json::object& object, std::string_view name) {
  const auto* value = object.if_contains(name);
  if (value == nullptr) return std::nullopt;
  boost::system::error_code code;
  const auto number = value->to_number<std::uint64_t>(code);
  return code ? std::nullopt : std::optional(number);
}

// The store's counter stands as `store-revision` beside what was asked for; an item's own as
// `revision`.
result<std::uint64_t> store_revision(const json::object& object) {
  if (const auto revision = number_member(object, "store-revision")) return *revision;
  return bad_answer("store-revision is missing or no whole number");
}

std::optional<stored_value> read_item(const json::object& item) {
  const auto* key = item.if_contains("key");
  const auto* value = item.if_contains("value");
  const auto revision = number_member(item, "revision");
  if (key == nullptr || !key->is_string() || !revision) return std::nullopt;
  stored_value read{std::string(key->get_string()), "", *revision};
  if (value == nullptr || !value->is_string()) return std::nullopt;
  auto bytes = decode_base64(value->get_string());
  if (!bytes) return std::nullopt;
  read.value = std::move(*bytes);
  return read;
}

const json::array* array_member(const json::object& object, std::string_view name) {
  const auto* value = object.if_contains(name);
  return value == nullptr ? nullptr : value->if_array();
}

}  // namespace

std::string format_item_transaction(const store_transaction& transaction) {
  json::array conditions;
  for (const auto& c : transaction.conditions) {
    conditions.push_back(json::object{{"key", c.key}, {"revision", c.version}});
  }
  json::array puts;
  for (const auto& put : transaction.puts) {
    json::object item{{"key", put.key}, {"value", encode_base64(put.value)}};
    if (put.lease != 0) item["lease"] = put.lease;
    puts.push_back(std::move(item));
  }
  json::array removals;
  for (const auto& key : transaction.removals) removals.emplace_back(key);
  return json::serialize(json::object{{"expected-revision", std::move(conditions)},
                                      {"put-items", std::move(puts)},
                                      {"delete-keys", std::move(removals)}});
}

std::string format_lease_request(duration ttl) {
  return json::serialize(json::object{{"ttl_time", format_duration(ttl)}});
}

result<range_answer> parse_item_range(std::string_view body) {
  const auto object = parse_object(body);
  if (!object) return object.error();
  const auto revision = store_revision(*object);
  if (!revision) return revision.error();
  const auto* items = array_member(*object, "items");
  if (items == nullptr) return bad_answer("items is missing or no list");
  range_answer answer;
  answer.revision = *revision;
  const auto* more = object->if_contains("has-more");
  answer.more = more != nullptr && more->is_bool() && more->get_bool();
  for (const auto& item : *items) {
    const auto* read = item.if_object();
    const auto* key = read == nullptr ? nullptr : read->if_contains("key");
    if (key == nullptr || !key->is_string()) return bad_answer("an item has no key");
    answer.last_key = key->get_string();
    if (auto value = read_item(*read)) {
      answer.values.push_back(std::move(*value));
    } else {
      answer.unreadable.emplace_back(key->get_string());
    }
  }
  return answer;
}

result<std::optional<stored_value>> parse_item(std::string_view body) {
  const auto object = parse_object(body);
  if (!object) return object.error();
  auto value = read_item(*object);
  if (!value) return bad_answer("the item can't be read");
  return value;
}

result<poll_answer> parse_item_events(std::string_view body) {
  const auto object = parse_object(body);
  if (!object) return object.error();
  const auto revision = store_revision(*object);
  if (!revision) return revision.error();
  const auto* events = array_member(*object, "events");
  if (events == nullptr) return bad_answer("events is missing or no list");
  poll_answer answer{.revision = *revision};
  for (const auto& event : *events) {
    const auto* read = event.if_object();
    const auto* key = read == nullptr ? nullptr : read->if_contains("key");
    if (key == nullptr || !key->is_string()) return bad_answer("an event has no key");
    watch_event seen;
    seen.value.key = key->get_string();
    const auto* removed = read->if_contains("removed");
    auto item = read_item(*read);
    // A value that can't be read takes the place of the one before it.
    seen.removed = (removed != nullptr && removed->is_bool() && removed->get_bool()) || !item;
    if (!seen.removed) seen.value = std::move(*item);
    seen.value.version = number_member(*read, "revision").value_or(0);
    answer.events.push_back(std::move(seen));
  }
  return answer;
}

result<std::uint64_t> parse_item_revision(std::string_view body) {
  const auto object = parse_object(body);
  if (!object) return object.error();
  if (const auto revision = number_member(*object, "revision")) return *revision;
  return bad_answer("revision is missing or no whole number");
}

result<std::vector<stored_value>> parse_item_conflict(std::string_view body) {
  const auto object = parse_object(body);
  if (!object) return object.error();
  const auto* items = array_member(*object, "items");
  if (items == nullptr) return bad_answer("items is missing or no list");
  std::vector<stored_value> values;
  for (const auto& item : *items) {
    const auto* read = item.if_object();
    // Absent keys may stand as null, or as an item without a value.
    if (read == nullptr) continue;
    if (auto value = read_item(*read)) values.push_back(std::move(*value));
  }
  return values;
}

result<granted_lease> parse_item_lease(std::string_view body) {
  const auto object = parse_object(body);
  if (!object) return object.error();
  const auto id = number_member(*object, "lease");
  const auto* ttl = object->if_contains("ttl_time");
  const auto length = ttl == nullptr || !ttl->is_string()
                          ? std::nullopt
                          : parse_duration(std::string_view(ttl->get_string()));
  if (!id || !length) return bad_answer("lease or ttl_time can't be read");
  return granted_lease{*id, *length};
}

std::string escape_query(std::string_view text) {
  constexpr std::string_view plain =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";
  constexpr std::string_view digits = "0123456789ABCDEF";
  std::string out;
  for (const char c : text) {
    if (plain.find(c) != std::string_view::npos) {
      out += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    out += '%';
    out += digits[byte >> 4];
    out += digits[byte & 0xF];
  }
  return out;
}

}  // namespace plantainpaddle
