#include "entry/news_messages.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "base/json.h"
#include "platform/etcd_codec.h"

namespace plantainpaddle {

namespace json = boost::json;

namespace {

constexpr std::size_t max_request_bytes = 4096;
constexpr std::size_t max_answer_bytes = 4 << 20;
constexpr std::size_t max_registration_bytes = 4096;
constexpr std::int64_t max_time_us = 3'600'000'000;
constexpr double max_cores = 1e4;

bool is_ascii(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return static_cast<unsigned char>(c) < 0x80; });
}

json::object format_item(const news_item& item) {
  json::object formatted{{"key", item.key}, {"version", item.version}};
  if (item.removed) formatted["removed"] = true;
  if (item.value && is_ascii(*item.value)) formatted["value"] = *item.value;
  if (item.value && !is_ascii(*item.value)) formatted["base64"] = encode_base64(*item.value);
  return formatted;
}

news_item read_item(object_reader& reader) {
  news_item item{.key = reader.text("key"),
                 .version = reader.unsigned_integer("version"),
                 .removed = reader.boolean("removed", false),
                 .value = std::nullopt};
  // Neither a text nor base64: the value isn't sent.
  const std::string absent(1, '\0');
  const auto text = reader.text("value", absent);
  if (text != absent) item.value = text;
  const auto encoded = reader.text("base64", absent);
  if (encoded == absent) return item;
  const auto decoded = decode_base64(encoded);
  if (!decoded) {
    reader.fail("base64", decoded.error().detail);
  } else {
    item.value = *decoded;
  }
  return item;
}

feed_news read_feed(object_reader& reader) {
  return {.complete = reader.boolean("complete"),
          .revision = reader.unsigned_integer("revision"),
          .age = duration(reader.integer("age_us", 0, max_time_us))};
}

// Reads each element of an array member, which must be objects.
template <class Element, class Read>
std::vector<Element> read_elements(object_reader& reader, std::string_view name, error_list& errors,
                                   const Read& read) {
  std::vector<Element> elements;
  const auto* array = reader.array(name, true);
  if (array == nullptr) return elements;
  for (const auto& value : *array) {
    object_reader element(value, reader.path_of(name), step::peer, errors);
    elements.push_back(read(element));
    element.finish();
  }
  return elements;
}

std::vector<std::uint64_t> read_numbers(object_reader& reader, std::string_view name) {
  std::vector<std::uint64_t> numbers;
  const auto* array = reader.array(name, true);
  if (array == nullptr) return numbers;
  for (const auto& value : *array) {
    boost::system::error_code code;
    numbers.push_back(value.to_number<std::uint64_t>(code));
    if (code) reader.fail(name, "whole numbers are wanted");
  }
  return numbers;
}

}  // namespace

std::string format_news_request(const news_request& request) {
  json::object formatted{
      {"token", request.known.token},
      {"sequence", request.known.sequence},
      {"era", request.era},
      {"revisions", json::array(request.known.revisions.begin(), request.known.revisions.end())}};
  // Instances of earlier versions accept no request that has this member.
  if (!request.wanted.empty()) formatted["wanted"] = request.wanted;
  return json::serialize(formatted);
}

result<news_request> parse_news_request(std::string_view text) {
  news_request request;
  const auto parsed = read_object(text, step::peer, max_request_bytes, [&](object_reader& reader) {
    request.known.token = reader.unsigned_integer("token");
    request.known.sequence = reader.unsigned_integer("sequence");
    request.era = reader.unsigned_integer("era");
    request.known.revisions = read_numbers(reader, "revisions");
    request.wanted = reader.text("wanted", "");
  });
  if (!parsed) return parsed.error();
  return request;
}

std::string format_news_answer(const news_answer& answer) {
  json::array feeds;
  for (const auto& feed : answer.feeds) {
    feeds.push_back(
        json::object{{"complete", feed.complete},
                     {"revision", feed.revision},
                     {"age_us", std::clamp<std::int64_t>(feed.age.count(), 0, max_time_us)}});
  }
  json::array items;
  for (const auto& item : answer.items) {
    // No key that the router uses has other bytes.
    if (is_ascii(item.key)) items.push_back(format_item(item));
  }
  return json::serialize(
      json::object{{"token", answer.token},
                   {"sequence", answer.sequence},
                   {"era", answer.era},
                   {"held_us", std::clamp<std::int64_t>(answer.held.count(), 0, max_time_us)},
                   {"feeds", std::move(feeds)},
                   {"items", std::move(items)}});
}

result<news_answer> parse_news_answer(std::string_view text) {
  const auto value = parse_json(text, step::peer, max_answer_bytes);
  if (!value) return value.error();
  news_answer answer;
  error_list errors;
  object_reader reader(*value, "$", step::peer, errors);
  answer.token = reader.unsigned_integer("token");
  answer.sequence = reader.unsigned_integer("sequence");
  answer.era = reader.unsigned_integer("era");
  answer.held = duration(reader.integer("held_us", 0, max_time_us));
  answer.feeds = read_elements<feed_news>(reader, "feeds", errors, read_feed);
  answer.items = read_elements<news_item>(reader, "items", errors, read_item);
  reader.finish();
  if (!errors.empty()) return join_errors(errors);
  return answer;
}

std::string format_registration(const instance_registration& instance) {
  return json::serialize(json::object{
      {"address", instance.address}, {"domain", instance.domain.value}, {"cores", instance.cores}});
}

result<instance_registration> parse_registration(std::string name, std::string_view text) {
  instance_registration instance{.name = std::move(name)};
  const auto parsed =
      read_object(text, step::peer, max_registration_bytes, [&](object_reader& reader) {
        instance.address = reader.text("address");
        instance.domain.value = reader.text("domain");
        instance.cores = reader.number("cores", 0, max_cores);
      });
  if (!parsed) return parsed.error();
  return instance;
}

}  // namespace plantainpaddle
