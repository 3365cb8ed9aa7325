#include "base/json.h"

#include <boost/json/parse_options.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/stream_parser.hpp>
#include <charconv>
#include <limits>

namespace plantainpaddle {
namespace {

constexpr std::size_t max_json_depth = 16;
constexpr std::size_t max_abbreviated_bytes = 60;

std::string abbreviated(const boost::json::value& value) {
  std::string text = boost::json::serialize(value);
  if (text.size() > max_abbreviated_bytes) text = text.substr(0, max_abbreviated_bytes) + "...";
  return text;
}

std::string location(std::string_view text, std::size_t offset) {
  std::size_t line = 1;
  std::size_t column = 1;
  for (const char c : text.substr(0, offset)) {
    column = c == '\n' ? 1 : column + 1;
    line += c == '\n' ? 1 : 0;
  }
  return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

}  // namespace

std::string number_text(double number) {
  char text[32];
  const auto end = std::to_chars(text, text + sizeof text, number).ptr;
  return {text, end};
}

result<boost::json::value> parse_json(std::string_view text, step at, std::size_t max_bytes) {
  if (text.size() > max_bytes) {
    return error{errc::limit_exceeded, at, "",
                 "found " + std::to_string(text.size()) + " bytes of JSON, at most " +
                     std::to_string(max_bytes) + " are allowed"};
  }
  boost::json::parse_options options;
  options.max_depth = max_json_depth;
  boost::json::stream_parser parser({}, options);
  boost::system::error_code code;
  const std::size_t parsed = parser.write_some(text.data(), text.size(), code);
  if (!code) parser.finish(code);
  if (code) return error{errc::bad_input, at, "", location(text, parsed) + ": " + code.message()};
  if (text.find_first_not_of(" \t\r\n", parsed) != std::string_view::npos) {
    return error{errc::bad_input, at, "",
                 location(text, parsed) + ": unexpected text after the JSON value"};
  }
  return parser.release();
}

object_reader::object_reader(const boost::json::value& value, std::string path, step at,
                             error_list& errors)
    : object_(value.if_object()), path_(std::move(path)), step_(at), errors_(&errors) {
  if (object_ == nullptr) {
    errors_->push_back({errc::bad_input, step_, "",
                        path_ + ": found " + abbreviated(value) + ", expected an object"});
  }
}

std::string object_reader::path_of(std::string_view name) const {
  return path_ + "." + std::string(name);
}

void object_reader::fail(std::string_view name, std::string detail) {
  errors_->push_back({errc::bad_input, step_, "", path_of(name) + ": " + std::move(detail)});
}

const boost::json::value* object_reader::find(std::string_view name, bool required) {
  if (object_ == nullptr) return nullptr;
  seen_.insert(std::string(name));
  const boost::json::value* value = object_->if_contains(name);
  if (value == nullptr && required) fail(name, "missing");
  return value;
}

std::string object_reader::text(std::string_view name, std::optional<std::string> fallback) {
  const auto* value = find(name, !fallback);
  if (value == nullptr) return fallback.value_or("");
  if (const auto* text = value->if_string()) return std::string(*text);
  fail(name, "found " + abbreviated(*value) + ", expected a string");
  return "";
}

std::int64_t object_reader::integer(std::string_view name, std::int64_t min, std::int64_t max,
                                    std::optional<std::int64_t> fallback) {
  const auto* value = find(name, !fallback);
  if (value == nullptr) return fallback.value_or(min);
  if (const auto* number = value->if_int64(); number && *number >= min && *number <= max) {
    return *number;
  }
  fail(name, "found " + abbreviated(*value) + ", expected a whole number in [" +
                 std::to_string(min) + ", " + std::to_string(max) + "]");
  return min;
}

std::uint64_t object_reader::unsigned_integer(std::string_view name,
                                              std::optional<std::uint64_t> fallback) {
  const auto* value = find(name, !fallback);
  if (value == nullptr) return fallback.value_or(0);
  if (const auto* number = value->if_uint64()) return *number;
  if (const auto* number = value->if_int64(); number && *number >= 0) {
    return static_cast<std::uint64_t>(*number);
  }
  fail(name, "found " + abbreviated(*value) + ", expected a whole number of at least 0");
  return 0;
}

double object_reader::number(std::string_view name, double min, double max,
                             std::optional<double> fallback) {
  const auto* value = find(name, !fallback);
  if (value == nullptr) return fallback.value_or(min);
  boost::system::error_code code;
  const auto number = value->to_number<double>(code);
  if (!code && number >= min && number <= max) return number;
  fail(name, "found " + abbreviated(*value) + ", expected a number in [" + number_text(min) + ", " +
                 number_text(max) + "]");
  return min;
}

bool object_reader::boolean(std::string_view name, std::optional<bool> fallback) {
  const auto* value = find(name, !fallback);
  if (value == nullptr) return fallback.value_or(false);
  if (const auto* flag = value->if_bool()) return *flag;
  fail(name, "found " + abbreviated(*value) + ", expected true or false");
  return false;
}

std::size_t object_reader::choice(std::string_view name,
                                  const std::vector<std::string_view>& allowed,
                                  std::optional<std::size_t> fallback) {
  const auto* value = find(name, !fallback);
  if (value == nullptr) return fallback.value_or(0);
  std::string choices;
  for (std::size_t i = 0; i < allowed.size(); ++i) {
    if (const auto* text = value->if_string(); text && std::string_view(*text) == allowed[i]) {
      return i;
    }
    choices += (i == 0 ? "" : ", ") + std::string(allowed[i]);
  }
  fail(name, "found " + abbreviated(*value) + ", expected one of [" + choices + "]");
  return 0;
}

std::vector<std::string> object_reader::texts(std::string_view name, bool required) {
  std::vector<std::string> found;
  const auto* items = array(name, required);
  if (items == nullptr) return found;
  for (const auto& item : *items) {
    if (const auto* text = item.if_string()) {
      found.emplace_back(*text);
    } else {
      fail(name, "found " + abbreviated(item) + ", expected a string");
    }
  }
  return found;
}

const boost::json::array* object_reader::array(std::string_view name, bool required) {
  const auto* value = find(name, required);
  if (value == nullptr) return nullptr;
  if (const auto* items = value->if_array()) return items;
  fail(name, "found " + abbreviated(*value) + ", expected an array");
  return nullptr;
}

const boost::json::value* object_reader::object(std::string_view name, bool required) {
  const auto* value = find(name, required);
  if (value == nullptr) return nullptr;
  if (value->is_object()) return value;
  fail(name, "found " + abbreviated(*value) + ", expected an object");
  return nullptr;
}

void object_reader::finish() {
  if (object_ == nullptr) return;
  for (const auto& member : *object_) {
    if (!seen_.contains(std::string_view(member.key()))) fail(member.key(), "unknown name");
  }
}

error join_errors(const error_list& errors) {
  error joined = errors.front();
  for (std::size_t i = 1; i < errors.size(); ++i) joined.detail += "; " + errors[i].detail;
  return joined;
}

}  // namespace plantainpaddle
