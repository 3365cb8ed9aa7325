#include "apps/table_view.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <ctime>
#include <tuple>

#include "apps/sheet.h"
#include "table/row_json.h"

namespace plantainpaddle {
namespace {

namespace json = boost::json;

// "weight=2 state=drain".
std::string row_text(const row_value& row) {
  std::string text;
  for (const auto& column : row_to_json(row)) {
    if (column.key() == "name") continue;
    text += (text.empty() ? "" : " ") + std::string(column.key()) + "=" + cell_text(column.value());
  }
  return text;
}

// The revision that last changed the row; without a note, any revision has it.
revision_number changed_at(const service_table& declared, const row_id& row) {
  const auto* note = last_change(declared, row);
  return note == nullptr ? revision_number{0} : note->revision;
}

std::size_t in_force(const service_table& declared, const row_id& row, const fleet_view& fleet) {
  return instances_at(fleet, declared.service.name, changed_at(declared, row));
}

std::string in_force_text(const service_table& declared, const row_id& row,
                          const fleet_view& fleet) {
  return std::to_string(in_force(declared, row, fleet)) + "/" +
         std::to_string(instances_seen(fleet));
}

std::vector<std::string> header_of(const row_value& row) {
  std::vector<std::string> header{std::string(kind_name(row_kind(row.index())))};
  for (const auto& column : row_to_json(row)) {
    if (column.key() != "name") header.emplace_back(column.key());
  }
  header.emplace_back("in force");
  return header;
}

std::vector<std::string> cells_of(const service_table& declared, const row_value& row,
                                  const fleet_view& fleet) {
  std::vector<std::string> cells{row_name(row)};
  for (const auto& column : row_to_json(row)) {
    if (column.key() != "name") cells.push_back(cell_text(column.value()));
  }
  cells.push_back(in_force_text(declared, id_of(row), fleet));
  return cells;
}

template <class Row>
std::string show_rows(const service_table& declared, const std::vector<Row>& rows,
                      const fleet_view& fleet) {
  if (rows.empty()) return "";
  sheet lines(header_of(rows.front()));
  for (const auto& row : rows) lines.add(cells_of(declared, row, fleet));
  return lines.text("  ") + "\n";
}

// The service has too many columns for one line: one a line.
std::string show_service(const service_table& declared, const fleet_view& fleet) {
  sheet lines({"service", "value"});
  for (const auto& column : row_to_json(declared.service)) {
    if (column.key() != "name") lines.add({std::string(column.key()), cell_text(column.value())});
  }
  lines.add({"in force", in_force_text(declared, id_of(declared.service), fleet)});
  return lines.text("  ") + "\n";
}

// "on 5 of 6 instances; revision 2 on south-2; no answer from north-1".
std::string show_spread(const service_table& declared, const fleet_view& fleet) {
  const service_id& name = declared.service.name;
  std::string text = "in force on " + std::to_string(instances_at(fleet, name, declared.revision)) +
                     " of " + std::to_string(fleet.instances.size()) + " instances";
  if (fleet.list_failure) return text + "; " + to_string(*fleet.list_failure);
  for (const auto& instance : fleet.instances) {
    if (!instance.status) {
      text += "; no answer from " + instance.info.name;
      continue;
    }
    const auto known = instance.status->tables.find(name);
    const auto revision = known == instance.status->tables.end() ? 0 : known->second.value;
    if (revision < declared.revision.value) {
      text += "; revision " + std::to_string(revision) + " on " + instance.info.name;
    }
  }
  return text;
}

template <class Row>
json::array rows_json(const service_table& declared, const std::vector<Row>& rows,
                      const fleet_view& fleet) {
  json::array items;
  for (const auto& row : rows) {
    json::object item = row_to_json(row);
    item["in_force"] = in_force(declared, id_of(row), fleet);
    items.push_back(std::move(item));
  }
  return items;
}

// The columns in which the sides differ; all of them for a side without the row to compare with.
std::string differing(const std::optional<row_value>& row,
                      const std::vector<const std::optional<row_value>*>& others) {
  if (!row) return "(no such row)";
  std::string text;
  for (const auto& column : row_to_json(*row)) {
    const bool differs = std::any_of(others.begin(), others.end(), [&](const auto* other) {
      return !*other || row_to_json(**other).at(column.key()) != column.value();
    });
    if (!differs || column.key() == "name") continue;
    text += (text.empty() ? "" : " ") + std::string(column.key()) + "=" + cell_text(column.value());
  }
  return text;
}

std::string show_edit(const std::string& path, const std::optional<row_value>& before,
                      const std::optional<row_value>& after) {
  if (!after) return "- " + path + "  " + row_text(*before) + "\n";
  if (!before) return "+ " + path + "  " + row_text(*after) + "\n";
  const json::object old_columns = row_to_json(*before);
  std::string text = "~ " + path;
  for (const auto& column : row_to_json(*after)) {
    const auto& old = old_columns.at(column.key());
    if (old == column.value()) continue;
    text += "  " + std::string(column.key()) + ": " + cell_text(old) + " -> " +
            cell_text(column.value());
  }
  return text + "\n";
}

std::string written_by(const row_conflict& conflict) {
  if (conflict.revision.value == 0) return "before the history begins";
  return "by " + conflict.author + " at revision " + std::to_string(conflict.revision.value) +
         ", " + show_time(conflict.at);
}

}  // namespace

std::string cell_text(const json::value& value) {
  if (const auto* text = value.if_string()) return std::string(*text);
  if (value.is_double()) return number_text(value.as_double());
  return json::serialize(value);
}

std::string show_time(duration since_1970) {
  const std::time_t time = std::chrono::duration_cast<seconds>(since_1970).count();
  std::tm parts{};
  gmtime_r(&time, &parts);
  char text[32];
  return {text, std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts)};
}

std::string show_tables(const table& tables, const fleet_view& fleet) {
  std::string text;
  for (const auto& [name, declared] : tables) {
    text += name.value + ": revision " + std::to_string(declared.revision.value) + ", " +
            show_spread(declared, fleet) + "\n\n";
    text += show_service(declared, fleet);
    text += show_rows(declared, declared.upstreams, fleet);
    text += show_rows(declared, declared.routes, fleet);
    text += show_rows(declared, declared.limits, fleet);
  }
  return text;
}

std::string show_tables_json(const table& tables, const fleet_view& fleet) {
  json::array services;
  for (const auto& [name, declared] : tables) {
    json::object service = row_to_json(declared.service);
    service["in_force"] = in_force(declared, id_of(declared.service), fleet);
    services.push_back(json::object{{"revision", declared.revision.value},
                                    {"in_force", instances_at(fleet, name, declared.revision)},
                                    {"service", std::move(service)},
                                    {"upstreams", rows_json(declared, declared.upstreams, fleet)},
                                    {"routes", rows_json(declared, declared.routes, fleet)},
                                    {"limits", rows_json(declared, declared.limits, fleet)}});
  }
  return json::serialize(json::object{{"instances", fleet.instances.size()},
                                      {"instances_seen", instances_seen(fleet)},
                                      {"services", std::move(services)}}) +
         "\n";
}

std::string show_history(const table& tables) {
  sheet lines({"service", "revision", "time", "author", "rows"});
  for (const auto& [name, declared] : tables) {
    for (const auto& note : declared.history) {
      lines.add({name.value, std::to_string(note.revision.value), show_time(note.at), note.author,
                 note.summary});
    }
  }
  return lines.text("");
}

std::string show_history_json(const table& tables) {
  json::array notes;
  for (const auto& [name, declared] : tables) {
    for (const auto& note : declared.history) {
      notes.push_back(json::object{{"service", name.value},
                                   {"revision", note.revision.value},
                                   {"time", show_time(note.at)},
                                   {"author", note.author},
                                   {"summary", note.summary}});
    }
  }
  return json::serialize(notes) + "\n";
}

std::string show_edits(const service_id& service, const service_table& before,
                       const std::vector<row_edit>& edits) {
  std::string text;
  for (const auto& edit : edits) {
    text += show_edit(service.value + "/" + to_string(edit.row), find_row(before, edit.row),
                      edit.after);
  }
  return text;
}

std::string show_conflicts(const service_id& service, const std::vector<row_conflict>& conflicts) {
  std::string text;
  for (const auto& conflict : conflicts) {
    const auto& [mine, theirs, base] = std::tie(conflict.mine, conflict.theirs, conflict.base);
    text += "conflict: " + service.value + "/" + to_string(conflict.row) + "\n" +
            "  yours:  " + differing(mine, {&theirs, &base}) + "\n" +
            "  theirs: " + differing(theirs, {&mine, &base}) + " (" + written_by(conflict) + ")\n" +
            "  before: " + differing(base, {&mine, &theirs}) + "\n";
  }
  return text;
}

}  // namespace plantainpaddle
