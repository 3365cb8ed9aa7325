#include "load/record.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "base/json.h"

namespace plantainpaddle {
namespace {

constexpr std::size_t max_line_bytes = 64 << 10;
constexpr std::string_view names[] = {"complete", "not_run", "unknown", "wrong", "refused"};

result<load_record> read_record(std::string_view line) {
  const auto value = parse_json(line, step::read_answer, max_line_bytes);
  if (!value) return value.error();
  error_list errors;
  object_reader reader(*value, "$", step::read_answer, errors);
  constexpr auto most = std::numeric_limits<std::int64_t>::max();
  load_record record;
  record.id = reader.text("id");
  record.klass = reader.text("class");
  record.service = reader.text("service");
  record.shard = static_cast<std::uint32_t>(reader.unsigned_integer("shard"));
  record.once = reader.boolean("once");
  record.outcome = static_cast<load_outcome>(
      reader.choice("outcome", {names[0], names[1], names[2], names[3], names[4]}));
  record.status = static_cast<unsigned>(reader.unsigned_integer("status"));
  record.target = reader.text("target");
  record.upstream = reader.text("upstream");
  record.detail = reader.text("detail");
  record.scheduled = duration(reader.integer("scheduled", 0, most));
  record.end = duration(reader.integer("end", 0, most));
  reader.finish();
  if (!errors.empty()) return join_errors(errors);
  return record;
}

}  // namespace

std::string_view load_outcome_name(load_outcome outcome) {
  return names[static_cast<std::size_t>(outcome)];
}

std::string format_load_records(const std::vector<load_record>& records) {
  std::string out;
  for (const auto& record : records) {
    out +=
        boost::json::serialize(boost::json::object{{"id", record.id},
                                                   {"class", record.klass},
                                                   {"service", record.service},
                                                   {"shard", record.shard},
                                                   {"once", record.once},
                                                   {"outcome", load_outcome_name(record.outcome)},
                                                   {"status", record.status},
                                                   {"target", record.target},
                                                   {"upstream", record.upstream},
                                                   {"detail", record.detail},
                                                   {"scheduled", record.scheduled.count()},
                                                   {"end", record.end.count()}}) +
        "\n";
  }
  return out;
}

result<std::vector<load_record>> parse_load_records(std::string_view lines) {
  std::vector<load_record> records;
  while (!lines.empty()) {
    const auto end = lines.find('\n');
    auto record = read_record(lines.substr(0, end));
    if (!record) return record.error();
    records.push_back(std::move(*record));
    if (end == std::string_view::npos) break;
    lines.remove_prefix(end + 1);
  }
  return records;
}

}  // namespace plantainpaddle
