#include "table/parse.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <set>

#include "table/row_json.h"

namespace plantainpaddle {
namespace {

namespace json = boost::json;

constexpr std::size_t max_rows = 4096;  // of one kind in one service, or services in a file

// Reads what a change did to one row. A row that the change added has no "before".
row_change read_row_change(const json::value& value, const std::string& path, error_list& errors) {
  row_change change;
  object_reader reader(value, path, step::table, errors);
  const std::string text = reader.text("row");
  const auto id = parse_row_id(text);
  if (!id) {
    reader.fail("row", "found \"" + text + "\", expected \"kind/name\"");
  } else if (const auto* before = reader.object("before", false)) {
    change.before = read_row(id->kind, *before, reader.path_of("before"), errors);
  }
  if (id) change.row = *id;
  reader.finish();
  return change;
}

change_note read_change(const json::value& value, const std::string& path, error_list& errors) {
  change_note note;
  object_reader reader(value, path, step::table, errors);
  note.revision.value = reader.unsigned_integer("revision");
  note.author = reader.text("author");
  note.at = duration(reader.integer("at_us", 0, std::numeric_limits<std::int64_t>::max()));
  note.summary = reader.text("summary", "");
  note.mark = reader.unsigned_integer("mark", 0);
  if (const auto* rows = reader.array("rows", false)) {
    for (std::size_t i = 0; i < rows->size(); ++i) {
      note.rows.push_back(read_row_change(
          (*rows)[i], reader.path_of("rows") + "[" + std::to_string(i) + "]", errors));
    }
  }
  reader.finish();
  return note;
}

template <class Row>
Row read_row_as(const json::value& value, const std::string& path, error_list& errors) {
  return std::get<Row>(read_row(kind_of<Row>, value, path, errors));
}

// Reads an array, each item with read_item. Whether names are unique is left to the caller.
template <class Row, class Read>
std::vector<Row> read_rows(object_reader& reader, std::string_view name, error_list& errors,
                           Read read_item) {
  std::vector<Row> rows;
  const auto* items = reader.array(name, false);
  if (items == nullptr) return rows;
  if (items->size() > max_rows) {
    reader.fail(name, "found " + std::to_string(items->size()) + " rows, at most " +
                          std::to_string(max_rows) + " are allowed");
    return rows;
  }
  for (std::size_t i = 0; i < items->size(); ++i) {
    rows.push_back(
        read_item((*items)[i], reader.path_of(name) + "[" + std::to_string(i) + "]", errors));
  }
  return rows;
}

template <class Row>
void check_names(const std::vector<Row>& rows, std::string_view kind, object_reader& reader) {
  std::set<std::string> names;
  for (const auto& row : rows) {
    const std::string name = row_name(row);
    if (!names.insert(name).second) reader.fail(kind, "found two rows named \"" + name + "\"");
  }
}

service_table read_service_table(const json::value& value, const std::string& path,
                                 error_list& errors) {
  service_table parsed;
  object_reader reader(value, path, step::table, errors);
  parsed.revision.value = reader.unsigned_integer("revision", 0);
  if (const auto* service = reader.object("service", true)) {
    parsed.service = read_row_as<service_row>(*service, reader.path_of("service"), errors);
  }
  parsed.upstreams =
      read_rows<upstream_row>(reader, "upstreams", errors, read_row_as<upstream_row>);
  parsed.routes = read_rows<route_row>(reader, "routes", errors, read_row_as<route_row>);
  parsed.limits = read_rows<limit_row>(reader, "limits", errors, read_row_as<limit_row>);
  parsed.history = read_rows<change_note>(reader, "history", errors, read_change);
  check_names(parsed.upstreams, "upstreams", reader);
  check_names(parsed.routes, "routes", reader);
  check_names(parsed.limits, "limits", reader);
  reader.finish();
  return parsed;
}

json::object to_json(const row_change& change) {
  json::object object{{"row", to_string(change.row)}};
  if (change.before) object["before"] = row_to_json(*change.before);
  return object;
}

json::object to_json(const change_note& note) {
  json::array rows;
  for (const auto& change : note.rows) rows.push_back(to_json(change));
  return {{"revision", note.revision.value}, {"author", note.author}, {"at_us", note.at.count()},
          {"summary", note.summary},         {"mark", note.mark},     {"rows", std::move(rows)}};
}

json::object to_json(const row_value& row) { return row_to_json(row); }

template <class Row>
json::array to_array(const std::vector<Row>& rows) {
  json::array items;
  for (const auto& row : rows) items.push_back(to_json(row));
  return items;
}

json::object to_json(const service_table& declared) {
  return {{"revision", declared.revision.value},       {"service", to_json(declared.service)},
          {"upstreams", to_array(declared.upstreams)}, {"routes", to_array(declared.routes)},
          {"limits", to_array(declared.limits)},       {"history", to_array(declared.history)}};
}

// Formats an array with one row per line, so that version control shows which rows changed.
template <class Row>
std::string format_lines(std::string_view name, const std::vector<Row>& rows) {
  std::string text = ",\n   \"" + std::string(name) + "\": [";
  for (std::size_t i = 0; i < rows.size(); ++i) {
    text += (i == 0 ? "\n     " : ",\n     ") + row_to_text(rows[i]);
  }
  return text + "]";
}

std::string format_lines(const service_table& declared) {
  return "  {\"revision\": " + std::to_string(declared.revision.value) +
         ",\n   \"service\": " + row_to_text(declared.service) +
         format_lines("upstreams", declared.upstreams) + format_lines("routes", declared.routes) +
         format_lines("limits", declared.limits) + "}";
}

}  // namespace

result<service_table> parse_service_table(std::string_view text) {
  const auto value = parse_json(text, step::table, max_table_bytes);
  if (!value) return value.error();
  error_list errors;
  service_table parsed = read_service_table(*value, "$", errors);
  if (!errors.empty()) return join_errors(errors);
  return parsed;
}

result<table> parse_table_file(std::string_view text) {
  const auto value = parse_json(text, step::table, max_table_bytes);
  if (!value) return value.error();
  error_list errors;
  table parsed;
  object_reader reader(*value, "$", step::table, errors);
  auto services = read_rows<service_table>(reader, "services", errors, read_service_table);
  reader.finish();
  for (auto& service : services) {
    const service_id name = service.service.name;
    if (!parsed.emplace(name, std::move(service)).second) {
      reader.fail("services", "found two services named \"" + name.value + "\"");
    }
  }
  if (!errors.empty()) return join_errors(errors);
  return parsed;
}

std::string format_service_table(const service_table& declared) {
  return json::serialize(to_json(declared));
}

std::string format_table_file(const table& declared) {
  std::string text = "{\"services\": [";
  bool first = true;
  for (const auto& [name, service] : declared) {
    text += (first ? "\n" : ",\n") + format_lines(service);
    first = false;
  }
  return text + "\n]}\n";
}

}  // namespace plantainpaddle
