// Two passes: the first finds the request's lines and what they name, the second the latest line of
// the same instance about each of those names before the request's end. Linear in the lines.
#include "apps/why.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <map>
#include <optional>
#include <set>

namespace plantainpaddle {
namespace {

namespace json = boost::json;

struct log_record {
  std::string text;
  json::object members;
};

std::string text_member(const json::object& members, std::string_view name) {
  const auto* value = members.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::optional<log_record> read_line(const std::string& line) {
  const auto begin = line.find('{');
  if (begin == std::string::npos) return std::nullopt;
  boost::system::error_code code;
  auto value = json::parse(std::string_view(line).substr(begin), code);
  if (code || !value.is_object()) return std::nullopt;
  return log_record{line.substr(begin), std::move(value.as_object())};
}

// Who said it and about whom.
using subject = std::pair<std::string, std::string>;

}  // namespace

request_explanation explain_request(const std::vector<std::string>& lines, std::string_view id) {
  request_explanation found;
  std::vector<log_record> records;
  for (const auto& line : lines) {
    if (auto record = read_line(line)) {
      records.push_back(std::move(*record));
    } else if (!line.empty()) {
      ++found.unreadable;
    }
  }
  std::stable_sort(records.begin(), records.end(), [](const auto& a, const auto& b) {
    return text_member(a.members, "time") < text_member(b.members, "time");
  });
  std::set<subject> subjects;
  std::string end;
  for (const auto& record : records) {
    if (text_member(record.members, "request") != id) continue;
    found.told.push_back(record.text);
    end = text_member(record.members, "time");
    const auto instance = text_member(record.members, "instance");
    for (const auto* name : {"upstream", "service"}) {
      const auto subject_name = text_member(record.members, name);
      if (!subject_name.empty()) subjects.insert({instance, subject_name});
    }
  }
  std::map<subject, std::string> latest;
  for (const auto& record : records) {
    if (record.members.contains("request") || text_member(record.members, "time") > end) continue;
    const auto instance = text_member(record.members, "instance");
    for (const auto* name : {"upstream", "service"}) {
      const subject about{instance, text_member(record.members, name)};
      if (subjects.contains(about)) latest[about] = record.text;
    }
  }
  for (auto& [about, text] : latest) found.beliefs.push_back(std::move(text));
  return found;
}

}  // namespace plantainpaddle
