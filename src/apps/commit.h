// Writes edits of one service's table into the store, however often others write in between and
// whatever answers get lost.
//
//   table_access access = ...;
//   auto outcome = commit_edits(access, {service, base, edits, {.author = "ana", .mark = nonce}});
//   if (outcome && outcome->conflicts.empty()) show(outcome->table.revision);
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "platform/store_client.h"
#include "table/edit.h"

namespace plantainpaddle {

// The store as the commit sees it; calls block.
struct table_access {
  std::function<result<std::optional<stored_value>>(const service_id&)> read;
  std::function<result<swap_answer>(const service_id&, std::uint64_t version,
                                    const std::string& value)>
      swap;
  std::function<void()> pause;  // between attempts after an error
};

struct proposal {
  service_id service;
  service_table base;  // what the edits were made from
  std::vector<row_edit> edits;
  change_note by;  // author, time, summary; mark must be unique to this proposal and not 0
};

struct commit_outcome {
  service_table table;  // as it stands in the store; with conflicts: unchanged by this proposal
  bool changed = false;
  std::vector<row_conflict> conflicts;
};

inline constexpr int commit_attempts = 10;

// errc::timed_out: the attempts are used up and a write may yet take effect; the detail says so.
result<commit_outcome> commit_edits(const table_access& access, const proposal& wanted);

}  // namespace plantainpaddle
