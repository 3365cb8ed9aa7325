// Edits of a service's table: made from one revision, merged row by row into a later one.
//
//   auto base = table_at(current, file.revision);  // what the editor saw
//   auto merged = merge_edits(*base, current, diff_rows(*base, file));
//   if (!merged.conflicts.empty()) ...  // both values, and who wrote theirs
//   auto next = accept_edits(current, merged.edits, {.author = "ana", .at = wall_time()});
//
// Pure functions. Edits of different rows merge. An edit of a row that somebody else has changed in
// the meantime is reported with both values, and never applied or dropped silently. Each accepted
// change increments the revision by one.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "table/rows.h"

namespace plantainpaddle {

inline constexpr std::size_t max_history_bytes = 200'000;  // of the change notes of one service
inline constexpr std::size_t max_author_bytes = 64;

struct row_edit {
  row_id row;
  std::optional<row_value> after;  // none: the row is removed
  bool operator==(const row_edit&) const = default;
};

struct row_conflict {
  row_id row;
  std::optional<row_value> base;    // what the editor saw
  std::optional<row_value> mine;    // what the editor wants
  std::optional<row_value> theirs;  // what is in the store now
  revision_number revision;         // of the change that wrote theirs; 0 if the history has none
  std::string author;
  duration at{0};
  bool operator==(const row_conflict&) const = default;
};

struct merged_edits {
  std::vector<row_edit> edits;  // to be applied; those already in place are omitted
  std::vector<row_conflict> conflicts;
};

// All rows of a table, the service row included if it has a name.
std::map<row_id, row_value> rows_of(const service_table& declared);
std::optional<row_value> find_row(const service_table& declared, const row_id& row);

// One column's new value as text: {"weight", "2.5"}.
struct column_edit {
  std::string column;
  std::string text;
};

// Returns the row with the columns set. Columns are checked together after all are set.
// errc::bad_input: a column is unknown, or its value or their combination is not allowed.
result<row_value> with_columns(const row_value& row, const std::vector<column_edit>& edits);
result<row_value> with_column(const row_value& row, std::string_view column, std::string_view text);

// Returns the edits that turn the rows of one table into those of the other, sorted by row.
std::vector<row_edit> diff_rows(const service_table& from, const service_table& to);

// Returns the table as it was at a revision, by undoing the changes since. Revision 0 is the empty
// table. errc::stale: the history doesn't go back that far, or the revision doesn't exist yet.
result<service_table> table_at(const service_table& current, revision_number revision);

// Merges edits made from base into current, row by row.
merged_edits merge_edits(const service_table& base, const service_table& current,
                         const std::vector<row_edit>& edits);

// Returns the table with the edits applied, at the next revision. The note needs an author;
// revision, rows and an empty summary are filled in. Without edits the table is returned as it is.
// errc::bad_input: the author or the resulting table is not allowed. errc::limit_exceeded: the
// resulting table is larger than max_table_bytes.
result<service_table> accept_edits(const service_table& current, const std::vector<row_edit>& edits,
                                   change_note note);

// Returns the latest note that changed a row, or nullptr if the history has none.
const change_note* last_change(const service_table& declared, const row_id& row);

}  // namespace plantainpaddle
