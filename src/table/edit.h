// Edits of a service's table: made from one revision, merged row by row into a later one.
//
//   auto base = table_at(current, file.revision);                 // what the editor saw
//   auto merged = merge_edits(*base, current, diff_rows(*base, file));
//   if (!merged.conflicts.empty()) ...                            // both values, and who wrote
//   theirs auto next = accept_edits(current, merged.edits, {.author = "ana", .at = wall_time()});
//
// Pure functions. Edits of different rows merge; an edit of a row that somebody else changed since
// is reported with both values and never applied or dropped in silence. Revisions grow by one.
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
  std::optional<row_value> base;    // what the edit was made from
  std::optional<row_value> mine;    // what the edit wants
  std::optional<row_value> theirs;  // what stands there now
  revision_number revision;         // of the change that wrote theirs; 0: before the history
  std::string author;
  duration at{0};
  bool operator==(const row_conflict&) const = default;
};

struct merged_edits {
  std::vector<row_edit> edits;  // still to do; those that stand there already are left out
  std::vector<row_conflict> conflicts;
};

std::map<row_id, row_value> rows_of(const service_table& declared);
std::optional<row_value> find_row(const service_table& declared, const row_id& row);

// One column's new value as text: {"weight", "2.5"}.
struct column_edit {
  std::string column;
  std::string text;
};

// The row with the columns set, checked once all are. errc::bad_input names the columns.
result<row_value> with_columns(const row_value& row, const std::vector<column_edit>& cells);
result<row_value> with_column(const row_value& row, std::string_view column, std::string_view text);

// The edits that make one table's rows out of the other's, sorted by row.
std::vector<row_edit> diff_rows(const service_table& from, const service_table& to);

// The table as it was at a revision, by undoing the changes noted since. Revision 0: no rows at
// all. errc::stale: the history doesn't reach back so far, or the revision is yet to come.
result<service_table> table_at(const service_table& current, revision_number revision);

merged_edits merge_edits(const service_table& base, const service_table& current,
                         const std::vector<row_edit>& edits);

// The table with the edits, at the next revision, with a change note made from by. No edits: the
// table as it is. errc::bad_input: the outcome breaks a rule of the table.
result<service_table> accept_edits(const service_table& current, const std::vector<row_edit>& edits,
                                   change_note by);

// The latest note on a row; nullptr if the history has none.
const change_note* last_change(const service_table& declared, const row_id& row);

}  // namespace plantainpaddle
