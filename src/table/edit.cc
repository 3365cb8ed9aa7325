// Three-way merge by row. Each edited row has three values: base, which the editor saw; mine, which
// the editor wants; and theirs, which is in the store now:
//
//   mine == theirs   nothing to do
//   theirs == base   mine is applied
//   otherwise        a conflict
//
// No edit is lost, since a row is overwritten only if it still has the value that its editor saw.
// The base isn't stored: it is reconstructed by undoing the change notes, each of which has the
// rows' values from before the change.
//
// Cost: a merge takes O((rows + edits) log rows). Each row that is edited or undone is searched for
// linearly in its kind's list, and each conflict looks through the history for its author; tables
// have hundreds of rows.
#include "table/edit.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "table/parse.h"
#include "table/row_json.h"

namespace plantainpaddle {
namespace {

namespace json = boost::json;

error bad_input_error(std::string detail) {
  return error{errc::bad_input, step::table, "", std::move(detail)};
}

template <class Row>
void upsert_into(std::vector<Row>& rows, const Row& row) {
  const auto found =
      std::find_if(rows.begin(), rows.end(), [&](const Row& r) { return r.name == row.name; });
  if (found == rows.end()) {
    rows.push_back(row);
  } else {
    *found = row;
  }
}

template <class Row>
void remove_from(std::vector<Row>& rows, const std::string& name) {
  std::erase_if(rows, [&](const Row& r) { return row_name(r) == name; });
}

void upsert_row(service_table& declared, const row_value& row) {
  struct visitor {
    service_table& t;
    void operator()(const service_row& r) const { t.service = r; }
    void operator()(const upstream_row& r) const { upsert_into(t.upstreams, r); }
    void operator()(const route_row& r) const { upsert_into(t.routes, r); }
    void operator()(const limit_row& r) const { upsert_into(t.limits, r); }
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
    upsert_row(declared, *after);
  } else {
    remove_row(declared, row);
  }
}

std::optional<row_value> find_value(const std::map<row_id, row_value>& rows, const row_id& row) {
  const auto found = rows.find(row);
  if (found == rows.end()) return std::nullopt;
  return found->second;
}

std::string column_names(const json::object& columns) {
  std::string names;
  for (const auto& column : columns) {
    if (column.key() == "name") continue;
    names += (names.empty() ? "" : ", ") + std::string(column.key());
  }
  return names;
}

// Converts text to a value of the column's type. Text that isn't JSON becomes a string, which the
// row's checks reject.
json::value column_value(const json::value& before, std::string_view text) {
  if (before.is_string()) return json::value(json::string(text));
  boost::system::error_code code;
  json::value parsed = json::parse(text, code);
  return code ? json::value(json::string(text)) : parsed;
}

// Checks the columns that are fixed once the service exists: with another number of shards, keys
// would change shards while those have owners.
result<void> check_fixed_columns(const service_row& before, const service_row& after) {
  if (before.name != after.name) {
    return bad_input_error("row service/" + before.name.value + " can't be removed or renamed");
  }
  if (before.shards != after.shards || before.keyed != after.keyed) {
    return bad_input_error("service/" + before.name.value +
                           ": shards and keyed are fixed once the service exists; found " +
                           std::to_string(after.shards) + " shards, expected " +
                           std::to_string(before.shards) + " shards");
  }
  return {};
}

std::size_t encoded_size(const change_note& note) {
  static const std::size_t empty_size = format_service_table({}).size();
  service_table with_note;
  with_note.history.push_back(note);
  return format_service_table(with_note).size() - empty_size;
}

// Drops the oldest notes beyond max_history and max_history_bytes. A note that is too large by
// itself loses its rows; the older notes are dropped with them, since undo can't get past it.
void trim_history(std::vector<change_note>& history) {
  if (encoded_size(history.back()) > max_history_bytes) {
    change_note last = std::move(history.back());
    last.rows.clear();
    history = {std::move(last)};
    return;
  }
  std::size_t bytes = 0;
  std::size_t kept = 0;
  while (kept < history.size() && kept < max_history) {
    bytes += encoded_size(history[history.size() - 1 - kept]);
    if (bytes > max_history_bytes) break;
    ++kept;
  }
  history.erase(history.begin(), history.end() - static_cast<std::ptrdiff_t>(kept));
}

std::string default_summary(const std::vector<row_edit>& edits) {
  constexpr std::size_t max_named_rows = 3;
  std::string summary;
  for (std::size_t i = 0; i < edits.size() && i < max_named_rows; ++i) {
    summary += (i == 0 ? "" : ", ") + to_string(edits[i].row) + (edits[i].after ? "" : " removed");
  }
  if (edits.size() > max_named_rows) {
    summary += " and " + std::to_string(edits.size() - max_named_rows) + " more";
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
  return find_value(rows_of(declared), row);
}

result<row_value> with_columns(const row_value& row, const std::vector<column_edit>& edits) {
  json::object columns = row_to_json(row);
  const std::string path = to_string(id_of(row));
  for (const auto& edit : edits) {
    auto* value = columns.if_contains(edit.column);
    if (value == nullptr || edit.column == "name") {
      return bad_input_error(path + ": found column \"" + edit.column + "\", expected one of " +
                             column_names(columns));
    }
    *value = column_value(*value, edit.text);
  }
  error_list errors;
  // Serialized and parsed again: row_to_json() has unsigned numbers, which
  // object_reader::integer() doesn't accept, while the parser makes them signed.
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
    if (find_value(before, id) != row) edits[id] = row;
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
                 "revision " + std::to_string(revision.value) +
                     " doesn't exist yet, the store has revision " +
                     std::to_string(current.revision.value)};
  }
  service_table earlier = current;
  while (earlier.revision > revision) {
    const bool can_undo = !earlier.history.empty() &&
                          earlier.history.back().revision == earlier.revision &&
                          !earlier.history.back().rows.empty();
    if (!can_undo) {
      return error{errc::stale, step::table, "",
                   "revision " + std::to_string(revision.value) +
                       " is older than the history, which goes back to revision " +
                       std::to_string(earlier.revision.value) +
                       ": read the table again and repeat the edit"};
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
    const auto base_value = find_value(base_rows, edit.row);
    const auto current_value = find_value(current_rows, edit.row);
    if (current_value == edit.after) continue;
    if (current_value == base_value) {
      merged.edits.push_back(edit);
      continue;
    }
    row_conflict conflict{
        .row = edit.row, .base = base_value, .mine = edit.after, .theirs = current_value};
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
                                   change_note note) {
  if (edits.empty()) return current;
  if (note.author.empty() || note.author.size() > max_author_bytes) {
    return bad_input_error("author: found \"" + note.author + "\", expected 1 to " +
                           std::to_string(max_author_bytes) + " bytes");
  }
  service_table next = current;
  const auto before = rows_of(current);
  for (const auto& edit : edits) {
    note.rows.push_back({edit.row, find_value(before, edit.row)});
    apply_edit(next, edit.row, edit.after);
  }
  if (current.revision.value > 0) {
    if (const auto fixed = check_fixed_columns(current.service, next.service); !fixed) {
      return fixed.error();
    }
  }
  ++next.revision.value;
  note.revision = next.revision;
  if (note.summary.empty()) note.summary = default_summary(edits);
  next.history.push_back(std::move(note));
  trim_history(next.history);
  const std::string text = format_service_table(next);
  if (text.size() > max_table_bytes) {
    return error{errc::limit_exceeded, step::table, "",
                 "the table of " + next.service.name.value + " has " + std::to_string(text.size()) +
                     " bytes, at most " + std::to_string(max_table_bytes) + " are allowed"};
  }
  // The parser checks the rules between rows and columns; what it rejects must not reach the store.
  return parse_service_table(text);
}

}  // namespace plantainpaddle
