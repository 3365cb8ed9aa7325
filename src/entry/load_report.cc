#include "entry/load_report.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "base/json.h"

namespace plantainpaddle {

namespace json = boost::json;

namespace {

constexpr std::size_t max_report_bytes = 1 << 20;
constexpr double most_requests = 1e6;  // of one key in one report

}  // namespace

std::string format_load_report(const load_report_message& report) {
  json::array keys;
  for (const auto& [key, count] : report.keys) keys.push_back(json::array{key, count});
  return json::serialize(
      json::object{{"service", report.service.value}, {"keys", std::move(keys)}});
}

std::string format_pushed_record(const pushed_record& pushed) {
  return json::serialize(json::object{{"service", pushed.service.value},
                                      {"version", pushed.version},
                                      {"record", format_range_record(pushed.record)}});
}

result<pushed_record> parse_pushed_record(std::string_view text) {
  const auto value = parse_json(text, step::peer, max_report_bytes);
  if (!value) return value.error();
  error_list errors;
  object_reader reader(*value, "$", step::peer, errors);
  pushed_record pushed;
  pushed.service.value = reader.text("service");
  pushed.version = reader.unsigned_integer("version");
  const std::string record = reader.text("record");
  reader.finish();
  if (!errors.empty()) return join_errors(errors);
  auto read = parse_range_record(record);
  if (!read) return read.error();
  pushed.record = std::move(*read);
  return pushed;
}

result<load_report_message> parse_load_report(std::string_view text) {
  const auto value = parse_json(text, step::peer, max_report_bytes);
  if (!value) return value.error();
  error_list errors;
  object_reader reader(*value, "$", step::peer, errors);
  load_report_message report;
  report.service.value = reader.text("service");
  const auto* keys = reader.array("keys", true);
  reader.finish();
  if (!errors.empty()) return join_errors(errors);
  for (const auto& item : *keys) {
    const auto* pair = item.if_array();
    boost::system::error_code code;
    const bool whole = pair != nullptr && pair->size() == 2;
    const auto key = whole ? pair->at(0).to_number<std::uint32_t>(code) : 0;
    const auto count = whole && !code ? pair->at(1).to_number<std::uint32_t>(code) : 0;
    if (!whole || code || count > most_requests) {
      return error{errc::bad_input, step::peer, "", "$.keys: pairs of key and count are wanted"};
    }
    report.keys.emplace_back(key, count);
  }
  return report;
}

}  // namespace plantainpaddle
