// Three-way merge by rows. For each edited row there are three values: the base that the editor
// saw, mine that the editor wants, and theirs that stands in the store:
//
//   mine == theirs   nothing to do
//   theirs == base   mine is applied
//   otherwise        a conflict
//
// This can't lose an edit: a row is only overwritten if it still is what its editor saw. The base
// isn't kept anywhere; it is found by undoing the change notes, each of which has the rows' values
// from before it. Costs: O(rows + noted rows) with a map of rows; tables have hundreds of rows.
#include "table/edit.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "table/parse.h"
#include "table/row_json.h"

namespace plantainpaddle {
namespace {

namespace json = boost::json;

error refused(std::string detail) {
  return error{errc::bad_input, step::table, "", std::move(detail)};
}

template <class Row>
void put_into(std::vector<Row>& rows, const Row& row) {
  const auto place =
      std::find_if(rows.begin(), rows.end(), [&](const Row& r) { return r.name == row.name; });
  if (place == rows.end()) {
    rows.push_back(row);
  } else {
    *place = row;
  }
}

template <class Row>
void remove_from(std::vector<Row>& rows, const std::string& name) {
  std::erase_if(rows, [&](const Row& r) { return row_name(r) == name; });
}

void put_row(service_table& declared, const row_value& row) {
  struct visitor {
    service_table& t;
    void operator()(const service_row& r) const { t.service = r; }
    void operator()(const upstream_row& r) const { put_into(t.upstreams, r); }
    void operator()(const route_row& r) const { put_into(t.routes, r); }
    void operator()(const limit_row& r) const { put_into(t.limits, r); }
  };
  std::visit(visitor{declared}, row);
}

void remove_row(service_table& declared, const row_id& row) {
  switch (row.kind) {
    case row_kind::service:
      declared.service = {};
      break;
    case row_kind::upstream:
      remove_from(declared.upstreams, row.name);
      break;
    case row_kind::route:
      remove_from(declared.routes, row.name);
      break;
    case row_kind::limit:
      remove_from(declared.limits, row.name);
      break;
  }
}

void apply_edit(service_table& declared, const row_id& row, const std::optional<row_value>& after) {
  if (after) {
    put_row(declared, *after);
  } else {
    remove_row(declared, row);
  }
}

std::optional<row_value> value_at(const std::map<row_id, row_value>& rows, const row_id& row) {
  const auto place = rows.find(row);
  if (place == rows.end()) return std::nullopt;
  return place->second;
}

std::string column_names(const json::object& columns) {
  std::string names;
  for (const auto& column : columns) {
    if (column.key() == "name") continue;
    names += (names.empty() ? "" : ", ") + std::string(column.key());
  }
  return names;
}

// The text as a value of the column's type.
json::value cell_value(const json::value& before, std::string_view text) {
  if (before.is_string()) return json::value(json::string(text));
  boost::system::error_code code;
  json::value parsed = json::parse(text, code);
  return code ? json::value(json::string(text)) : parsed;
}

// What is fixed once the service exists: keys would change shards under live owners.
result<void> check_fixed_columns(const service_row& before, const service_row& after) {
  if (before.name != after.name) {
    return refused("the row service/" + before.name.value + " can't be removed or renamed");
  }
  if (before.shards != after.shards || before.keyed != after.keyed) {
    return refused("service/" + before.name.value +
                   ": shards and keyed are fixed once the service exists; found " +
                   std::to_string(after.shards) + ", " + std::to_string(before.shards) +
                   " is allowed");
  }
  return {};
}

std::size_t size_of(const change_note& note) {
  static const std::size_t empty_size = format_service_table({}).size();
  service_table with_note;
  with_note.history.push_back(note);
  return format_service_table(with_note).size() - empty_size;
}

// Drops the oldest notes beyond the budgets. A note too large for the budget alone loses its rows,
// and with them all older notes lose their use.
void trim_history(std::vector<change_note>& history) {
  if (size_of(history.back()) > max_history_bytes) {
    change_note last = std::move(history.back());
    last.rows.clear();
    history = {std::move(last)};
    return;
  }
  std::size_t bytes = 0;
  std::size_t kept = 0;
  while (kept < history.size() && kept < max_history) {
    bytes += size_of(history[history.size() - 1 - kept]);
    if (bytes > max_history_bytes) break;
    ++kept;
  }
  history.erase(history.begin(), history.end() - static_cast<std::ptrdiff_t>(kept));
}

std::string default_summary(const std::vector<row_edit>& edits) {
  constexpr std::size_t named_rows = 3;
  std::string summary;
  for (std::size_t i = 0; i < edits.size() && i < named_rows; ++i) {
    summary += (i == 0 ? "" : ", ") + to_string(edits[i].row) + (edits[i].after ? "" : " removed");
  }
  if (edits.size() > named_rows) {
    summary += " and " + std::to_string(edits.size() - named_rows) + " more";
  }
  return summary;
}

}  // namespace

std::map<row_id, row_value> rows_of(const service_table& declared) {
  std::map<row_id, row_value> rows;
  const auto add = [&](const row_value& row) { rows.emplace(id_of(row), row); };
  if (!declared.service.name.value.empty()) add(declared.service);
  for (const auto& row : declared.upstreams) add(row);
  for (const auto& row : declared.routes) add(row);
  for (const auto& row : declared.limits) add(row);
  return rows;
}

std::optional<row_value> find_row(const service_table& declared, const row_id& row) {
  return value_at(rows_of(declared), row);
}

result<row_value> with_columns(const row_value& row, const std::vector<column_edit>& cells) {
  json::object columns = row_to_json(row);
  const std::string path = to_string(id_of(row));
  for (const auto& edit : cells) {
    auto* cell = columns.if_contains(edit.column);
    if (cell == nullptr || edit.column == "name") {
      return refused(path + ": found column \"" + edit.column +
                     "\", one of these is allowed: " + column_names(columns));
    }
    *cell = cell_value(*cell, edit.text);
  }
  error_list errors;
  // Through text, as unsigned numbers would otherwise not read back as what a file has.
  const json::value read_back = json::parse(json::serialize(columns));
  row_value changed = read_row(row_kind(row.index()), read_back, path, errors);
  if (!errors.empty()) return join_errors(errors);
  return changed;
}

result<row_value> with_column(const row_value& row, std::string_view column,
                              std::string_view text) {
  return with_columns(row, {{std::string(column), std::string(text)}});
}

std::vector<row_edit> diff_rows(const service_table& from, const service_table& to) {
  const auto before = rows_of(from);
  const auto after = rows_of(to);
  std::map<row_id, std::optional<row_value>> edits;
  for (const auto& [id, row] : after) {
    if (value_at(before, id) != row) edits[id] = row;
  }
  for (const auto& [id, row] : before) {
    if (!after.contains(id)) edits[id] = std::nullopt;
  }
  std::vector<row_edit> sorted;
  sorted.reserve(edits.size());
  for (auto& [id, row] : edits) sorted.push_back({id, std::move(row)});
  return sorted;
}

result<service_table> table_at(const service_table& current, revision_number revision) {
  if (revision.value == 0) return service_table{};
  if (revision > current.revision) {
    return error{errc::stale, step::table, "",
                 "revision " + std::to_string(revision.value) + " is yet to come, the store has " +
                     std::to_string(current.revision.value)};
  }
  service_table earlier = current;
  while (earlier.revision > revision) {
    const bool noted = !earlier.history.empty() &&
                       earlier.history.back().revision == earlier.revision &&
                       !earlier.history.back().rows.empty();
    if (!noted) {
      return error{errc::stale, step::table, "",
                   "revision " + std::to_string(revision.value) + " is older than the history (" +
                       std::to_string(earlier.revision.value) +
                       "): read the table anew and repeat the edit"};
    }
    for (const auto& change : earlier.history.back().rows) {
      apply_edit(earlier, change.row, change.before);
    }
    earlier.history.pop_back();
    --earlier.revision.value;
  }
  return earlier;
}

const change_note* last_change(const service_table& declared, const row_id& row) {
  for (auto note = declared.history.rbegin(); note != declared.history.rend(); ++note) {
    for (const auto& change : note->rows) {
      if (change.row == row) return &*note;
    }
  }
  return nullptr;
}

merged_edits merge_edits(const service_table& base, const service_table& current,
                         const std::vector<row_edit>& edits) {
  const auto base_rows = rows_of(base);
  const auto current_rows = rows_of(current);
  merged_edits merged;
  for (const auto& edit : edits) {
    const auto was = value_at(base_rows, edit.row);
    const auto is = value_at(current_rows, edit.row);
    if (is == edit.after) continue;
    if (is == was) {
      merged.edits.push_back(edit);
      continue;
    }
    row_conflict conflict{.row = edit.row, .base = was, .mine = edit.after, .theirs = is};
    if (const auto* note = last_change(current, edit.row)) {
      conflict.revision = note->revision;
      conflict.author = note->author;
      conflict.at = note->at;
    }
    merged.conflicts.push_back(std::move(conflict));
  }
  return merged;
}

result<service_table> accept_edits(const service_table& current, const std::vector<row_edit>& edits,
                                   change_note by) {
  if (edits.empty()) return current;
  if (by.author.empty() || by.author.size() > max_author_bytes) {
    return refused("author: found \"" + by.author + "\", 1 to " + std::to_string(max_author_bytes) +
                   " bytes are wanted");
  }
  service_table next = current;
  const auto before = rows_of(current);
  for (const auto& edit : edits) {
    by.rows.push_back({edit.row, value_at(before, edit.row)});
    apply_edit(next, edit.row, edit.after);
  }
  if (current.revision.value > 0) {
    if (const auto fixed = check_fixed_columns(current.service, next.service); !fixed) {
      return fixed.error();
    }
  }
  ++next.revision.value;
  by.revision = next.revision;
  if (by.summary.empty()) by.summary = default_summary(edits);
  next.history.push_back(std::move(by));
  trim_history(next.history);
  const std::string text = format_service_table(next);
  if (text.size() > max_table_bytes) {
    return error{errc::limit_exceeded, step::table, "",
                 "the table of " + next.service.name.value + " has " + std::to_string(text.size()) +
                     " bytes, at most " + std::to_string(max_table_bytes) + " are allowed"};
  }
  // The parser has the rules between rows and columns; what it refuses must not reach the store.
  return parse_service_table(text);
}

}  // namespace plantainpaddle
