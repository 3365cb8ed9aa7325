// Each attempt reads, looks for the proposal's own mark, merges, and swaps at the version read.
//
// Why it writes at most once: a write whose answer was lost either stands (its mark is in the
// history, which is looked at before anything else), or may still arrive. In the latter case it
// holds the version of the value that it was made from, so that it can only take effect while
// nothing else was written; the next attempt writes at that same version with the same mark, and
// the store takes one of the two.
#include "apps/commit.h"

#include <algorithm>

#include "table/parse.h"

namespace plantainpaddle {
namespace {

struct known_table {
  service_table table;
  std::uint64_t version = 0;  // 0: the service isn't there yet
};

result<known_table> read_table(const table_access& access, const service_id& service) {
  const auto stored = access.read(service);
  if (!stored) return stored.error();
  if (!*stored) return known_table{};
  auto read = parse_service_table((*stored)->value);
  if (!read) return read.error();
  return known_table{std::move(*read), (*stored)->version};
}

bool has_mark(const service_table& declared, std::uint64_t mark) {
  return std::any_of(declared.history.begin(), declared.history.end(),
                     [&](const change_note& note) { return note.mark == mark; });
}

error unsure(const error& last) {
  error e = last;
  e.code = errc::timed_out;
  e.detail += "; whether the change was written is unknown: look at the history";
  return e;
}

}  // namespace

result<commit_outcome> commit_edits(const table_access& access, const proposal& wanted) {
  bool may_be_written = false;
  error last{errc::timed_out, step::store, "", "others kept writing the table"};
  for (int attempt = 0; attempt < commit_attempts; ++attempt) {
    const auto known = read_table(access, wanted.service);
    if (!known) {
      last = known.error();
      access.pause();
      continue;
    }
    if (has_mark(known->table, wanted.by.mark)) return commit_outcome{known->table, true, {}};
    auto merged = merge_edits(wanted.base, known->table, wanted.edits);
    if (!merged.conflicts.empty()) {
      return commit_outcome{known->table, false, std::move(merged.conflicts)};
    }
    if (merged.edits.empty()) return commit_outcome{known->table, false, {}};
    auto next = accept_edits(known->table, merged.edits, wanted.by);
    if (!next) return next.error();
    const auto answer = access.swap(wanted.service, known->version, format_service_table(*next));
    if (answer && answer->written) return commit_outcome{std::move(*next), true, {}};
    if (!answer) {
      last = answer.error();
      may_be_written = true;
      access.pause();
    }
  }
  return may_be_written ? unsure(last) : last;
}

}  // namespace plantainpaddle
