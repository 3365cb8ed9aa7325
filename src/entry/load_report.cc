#include "entry/load_report.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "base/json.h"

namespace plantainpaddle {

namespace json = boost::json;

namespace {

constexpr std::size_t max_report_bytes = 1 << 20;
constexpr double max_requests = 1e6;  // per key and report

bool read_counts(const json::array& pairs, load_report_message& report) {
  for (const auto& item : pairs) {
    const auto* pair = item.if_array();
    if (pair == nullptr || pair->size() != 2) return false;
    boost::system::error_code bad_key;
    boost::system::error_code bad_count;
    const auto key = pair->at(0).to_number<std::uint32_t>(bad_key);
    const auto count = pair->at(1).to_number<std::uint32_t>(bad_count);
    if (bad_key || bad_count || count > max_requests) return false;
    report.keys.emplace_back(key, count);
  }
  return true;
}

json::array format_position(const record_position& position) {
  return {position.era, position.term, position.mark};
}

record_position read_position(object_reader& reader, std::string_view name) {
  record_position position;
  std::uint64_t* const members[] = {&position.era, &position.term, &position.mark};
  const auto* numbers = reader.array(name, true);
  if (numbers == nullptr) return position;
  bool good = numbers->size() == std::size(members);
  for (std::size_t i = 0; good && i < std::size(members); ++i) {
    boost::system::error_code code;
    *members[i] = numbers->at(i).to_number<std::uint64_t>(code);
    good = !code;
  }
  if (!good) reader.fail(name, "era, term and mark are wanted");
  return position;
}

// Reads pairs of an upstream and a positive number.
template <class Number>
bool read_by_upstream(const json::array& pairs, std::map<upstream_id, Number>& values) {
  for (const auto& item : pairs) {
    const auto* pair = item.if_array();
    if (pair == nullptr || pair->size() != 2 || !pair->at(0).is_string()) return false;
    boost::system::error_code code;
    const auto value = pair->at(1).to_number<Number>(code);
    if (code || !(value > 0)) return false;
    values[{std::string(pair->at(0).get_string())}] = value;
  }
  return true;
}

template <class Number>
json::array format_by_upstream(const std::map<upstream_id, Number>& values) {
  json::array pairs;
  for (const auto& [name, value] : values) pairs.push_back(json::array{name.value, value});
  return pairs;
}

// Reads an upstream, a number of answers, and their mean relative time from each item.
bool read_samples(const json::array& items, answer_samples& samples) {
  constexpr std::size_t figures = 3;
  if (items.size() > max_answer_samples) return false;
  for (const auto& item : items) {
    const auto* parts = item.if_array();
    if (parts == nullptr || parts->size() != figures || !parts->at(0).is_string()) return false;
    boost::system::error_code bad_answers;
    boost::system::error_code bad_time;
    const auto answers = parts->at(1).to_number<std::uint32_t>(bad_answers);
    const auto time = parts->at(2).to_number<double>(bad_time);
    if (bad_answers || bad_time || answers == 0 || !(time > 0)) return false;
    samples[{std::string(parts->at(0).get_string())}] = {answers, time};
  }
  return true;
}

json::array format_samples(const answer_samples& samples) {
  json::array items;
  for (const auto& [name, sample] : samples) {
    items.push_back(json::array{name.value, sample.answers, sample.relative_time});
  }
  return items;
}

}  // namespace

std::string format_load_report(const load_report_message& report) {
  json::array keys;
  for (const auto& [key, count] : report.keys) keys.push_back(json::array{key, count});
  json::object message{{"service", report.service.value},
                       {"address", report.address},
                       {"known", format_position(report.known)},
                       {"keys", std::move(keys)}};
  if (!report.limits.empty()) message["limits"] = format_by_upstream(report.limits);
  if (!report.leaving.empty()) message["leaving"] = format_by_upstream(report.leaving);
  if (!report.speeds.empty()) message["speeds"] = format_samples(report.speeds);
  return json::serialize(message);
}

std::string format_pushed_record(const pushed_record& pushed) {
  json::array unchanged;
  for (const auto index : pushed.record.unchanged) unchanged.emplace_back(index);
  return json::serialize(json::object{{"service", pushed.service.value},
                                      {"version", pushed.version},
                                      {"base", format_position(pushed.base)},
                                      {"unchanged", std::move(unchanged)},
                                      {"record", format_range_record(pushed.record.changes)}});
}

result<pushed_record> parse_pushed_record(std::string_view text) {
  pushed_record pushed;
  std::string record;
  const auto parsed = read_object(text, step::peer, max_report_bytes, [&](object_reader& reader) {
    pushed.service.value = reader.text("service");
    pushed.version = reader.unsigned_integer("version");
    pushed.base = read_position(reader, "base");
    record = reader.text("record");
    const auto* unchanged = reader.array("unchanged", true);
    if (unchanged == nullptr) return;
    for (const auto& item : *unchanged) {
      boost::system::error_code bad_index;
      const auto index = item.to_number<std::size_t>(bad_index);
      const bool rises = pushed.record.unchanged.empty() || index > pushed.record.unchanged.back();
      if (bad_index || !rises) return reader.fail("unchanged", "rising indexes are wanted");
      pushed.record.unchanged.push_back(index);
    }
  });
  if (!parsed) return parsed.error();
  auto read = parse_range_record(record);
  if (!read) return read.error();
  pushed.record.changes = std::move(*read);
  return pushed;
}

std::string format_known_record(const record_position& position) {
  return json::serialize(json::object{{"known", format_position(position)}});
}

result<record_position> parse_known_record(std::string_view text) {
  record_position position;
  const auto parsed = read_object(text, step::peer, max_report_bytes, [&](object_reader& reader) {
    position = read_position(reader, "known");
  });
  if (!parsed) return parsed.error();
  return position;
}

result<load_report_message> parse_load_report(std::string_view text) {
  load_report_message report;
  const auto parsed = read_object(text, step::peer, max_report_bytes, [&](object_reader& reader) {
    report.service.value = reader.text("service");
    report.address = reader.text("address");
    report.known = read_position(reader, "known");
    const auto* keys = reader.array("keys", true);
    if (keys != nullptr && !read_counts(*keys, report)) {
      reader.fail("keys", "pairs of key and count are wanted");
    }
    const auto* limits = reader.array("limits", false);
    if (limits != nullptr && !read_by_upstream(*limits, report.limits)) {
      reader.fail("limits", "pairs of upstream and rate are wanted");
    }
    const auto* leaving = reader.array("leaving", false);
    if (leaving != nullptr && !read_by_upstream(*leaving, report.leaving)) {
      reader.fail("leaving", "pairs of upstream and life are wanted");
    }
    const auto* speeds = reader.array("speeds", false);
    if (speeds != nullptr && !read_samples(*speeds, report.speeds)) {
      reader.fail("speeds", "upstreams with answers and relative time are wanted");
    }
  });
  if (!parsed) return parsed.error();
  return report;
}

}  // namespace plantainpaddle
