#include "platform/etcd_codec.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

#include "base/json.h"

namespace plantainpaddle {
namespace {

namespace json = boost::json;
namespace iterators = boost::archive::iterators;

constexpr std::size_t max_answer_bytes = 64 << 20;
constexpr std::string_view base64_digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

error bad_answer(const std::string& detail) {
  return error{errc::protocol, step::store, "", detail};
}

// A 64-bit number that stands as a text or, in some gateways, as a number. Absent: 0.
std::uint64_t number_member(const json::object& object, std::string_view name) {
  const auto* value = object.if_contains(name);
  if (value == nullptr) return 0;
  if (const auto* number = value->if_int64()) return static_cast<std::uint64_t>(*number);
  if (const auto* number = value->if_uint64()) return *number;
  std::uint64_t parsed = 0;
  if (const auto* text = value->if_string()) {
    std::from_chars(text->data(), text->data() + text->size(), parsed);
  }
  return parsed;
}

const json::object* object_member(const json::object& object, std::string_view name) {
  const auto* value = object.if_contains(name);
  return value == nullptr ? nullptr : value->if_object();
}

const json::array* array_member(const json::object& object, std::string_view name) {
  const auto* value = object.if_contains(name);
  return value == nullptr ? nullptr : value->if_array();
}

result<std::string> bytes_member(const json::object& object, std::string_view name) {
  const auto* value = object.if_contains(name);
  if (value == nullptr) return std::string();
  const auto* text = value->if_string();
  if (text == nullptr) return bad_answer(std::string(name) + " is not a text");
  return decode_base64(*text);
}

result<stored_value> read_value(const json::value& item) {
  const auto* object = item.if_object();
  if (object == nullptr) return bad_answer("a key-value pair is not an object");
  auto key = bytes_member(*object, "key");
  if (!key) return key.error();
  auto value = bytes_member(*object, "value");
  if (!value) return value.error();
  return stored_value{std::move(*key), std::move(*value), number_member(*object, "mod_revision")};
}

result<std::vector<stored_value>> read_values(const json::object& object) {
  std::vector<stored_value> values;
  const auto* items = array_member(object, "kvs");
  if (items == nullptr) return values;
  for (const auto& item : *items) {
    auto value = read_value(item);
    if (!value) return value.error();
    values.push_back(std::move(*value));
  }
  return values;
}

std::uint64_t header_revision(const json::object& object) {
  const auto* header = object_member(object, "header");
  return header == nullptr ? 0 : number_member(*header, "revision");
}

}  // namespace

// The iterators read whole groups, so that both ways work on a copy that is padded to them.
std::string encode_base64(std::string_view bytes) {
  using encoder =
      iterators::base64_from_binary<iterators::transform_width<std::string::const_iterator, 6, 8>>;
  const std::size_t padding = (3 - bytes.size() % 3) % 3;
  const std::string padded = std::string(bytes) + std::string(padding, '\0');
  std::string text(encoder(padded.begin()), encoder(padded.end()));
  text.replace(text.size() - padding, padding, padding, '=');
  return text;
}

result<std::string> decode_base64(std::string_view text) {
  using decoder =
      iterators::transform_width<iterators::binary_from_base64<std::string::const_iterator>, 8, 6>;
  const auto digits = text.substr(0, text.find_last_not_of('=') + 1);
  const std::size_t padding = text.size() - digits.size();
  if (text.size() % 4 != 0 || padding > 2 ||
      digits.find_first_not_of(base64_digits) != std::string_view::npos) {
    return bad_answer("not base64");
  }
  const std::string padded = std::string(digits) + std::string(padding, 'A');
  std::string bytes(decoder(padded.begin()), decoder(padded.end()));
  bytes.resize(bytes.size() - padding);
  return bytes;
}

std::string prefix_end(std::string prefix) {
  while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xff) prefix.pop_back();
  if (prefix.empty()) return std::string(1, '\0');
  prefix.back() = static_cast<char>(prefix.back() + 1);
  return prefix;
}

std::string format_range_request(const std::string& key, const std::string& range_end) {
  json::object body{{"key", encode_base64(key)}};
  if (!range_end.empty()) body["range_end"] = encode_base64(range_end);
  return json::serialize(body);
}

std::string format_swap_request(const std::string& key, std::uint64_t expected,
                                const std::string& value) {
  const std::string key_text = encode_base64(key);
  const json::object compare{{"key", key_text},
                             {"target", "MOD"},
                             {"result", "EQUAL"},
                             {"mod_revision", std::to_string(expected)}};
  const json::object put{{"request_put", {{"key", key_text}, {"value", encode_base64(value)}}}};
  const json::object get{{"request_range", {{"key", key_text}}}};
  return json::serialize(json::object{{"compare", json::array{compare}},
                                      {"success", json::array{put}},
                                      {"failure", json::array{get}}});
}

std::string format_watch_request(const std::string& prefix, std::uint64_t after_revision) {
  return json::serialize(json::object{{"create_request",
                                       {{"key", encode_base64(prefix)},
                                        {"range_end", encode_base64(prefix_end(prefix))},
                                        {"start_revision", std::to_string(after_revision + 1)}}}});
}

result<range_answer> parse_range_answer(std::string_view body) {
  const auto value = parse_json(body, step::store, max_answer_bytes);
  if (!value) return value.error();
  const auto* object = value->if_object();
  if (object == nullptr) return bad_answer("a range's answer is not an object");
  auto values = read_values(*object);
  if (!values) return values.error();
  return range_answer{std::move(*values), header_revision(*object)};
}

result<swap_answer> parse_swap_answer(std::string_view body) {
  const auto value = parse_json(body, step::store, max_answer_bytes);
  if (!value) return value.error();
  const auto* object = value->if_object();
  if (object == nullptr) return bad_answer("a transaction's answer is not an object");
  swap_answer answer;
  const auto* succeeded = object->if_contains("succeeded");
  answer.written = succeeded != nullptr && succeeded->is_bool() && succeeded->as_bool();
  if (answer.written) {
    answer.version = header_revision(*object);
    return answer;
  }
  const auto* responses = array_member(*object, "responses");
  if (responses == nullptr || responses->size() != 1 || !(*responses)[0].is_object()) {
    return bad_answer("a failed transaction's answer has no range");
  }
  const auto* range = object_member((*responses)[0].as_object(), "response_range");
  if (range == nullptr) return bad_answer("a failed transaction's answer has no range");
  auto values = read_values(*range);
  if (!values) return values.error();
  if (!values->empty()) {
    answer.version = values->front().version;
    answer.value = std::move(values->front().value);
  }
  return answer;
}

result<std::vector<watch_event>> parse_watch_line(std::string_view line) {
  const auto value = parse_json(line, step::store, max_answer_bytes);
  if (!value) return value.error();
  const auto* object = value->if_object();
  const auto* answer = object == nullptr ? nullptr : object_member(*object, "result");
  if (answer == nullptr) return bad_answer("a watch's line has no result");
  if (const auto* canceled = answer->if_contains("canceled");
      canceled != nullptr && canceled->is_bool() && canceled->as_bool()) {
    return error{errc::unavailable, step::store, "", "the watch was cancelled"};
  }
  std::vector<watch_event> events;
  const auto* items = array_member(*answer, "events");
  if (items == nullptr) return events;
  for (const auto& item : *items) {
    const auto* event = item.if_object();
    const auto* pair = event == nullptr ? nullptr : event->if_contains("kv");
    if (pair == nullptr) return bad_answer("a watch's event has no key");
    auto stored = read_value(*pair);
    if (!stored) return stored.error();
    const auto* type = event->if_contains("type");
    const bool removed = type != nullptr && type->is_string() && type->as_string() == "DELETE";
    events.push_back({removed, std::move(*stored)});
  }
  return events;
}

}  // namespace plantainpaddle
