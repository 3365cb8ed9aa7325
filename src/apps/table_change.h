// A change of the table as plantainpaddle-table makes it: reviewed, refused with an exit code or
// written, and waited for.
//
//   change_options options(command);
//   ...
//   int code = review(changes, options, true);
//   if (code == exit_ok) code = commit_all(platform, address, changes, options);
#pragma once

#include <tclap/CmdLine.h>

#include <iostream>
#include <string>
#include <vector>

#include "apps/exit_codes.h"
#include "apps/platform_access.h"
#include "apps/platform_options.h"
#include "table/edit.h"

namespace plantainpaddle {

// Prints the error; the exit code for it.
int fail(const error& e);
error refused(std::string detail);  // errc::bad_input

inline constexpr int default_wait_seconds = 30;

std::string author_from_environment();  // $USER

// The options of the commands that change the table.
struct change_options {
  explicit change_options(TCLAP::CmdLine& command)
      : author("a", "author", "who makes the change; default: $USER", false,
               author_from_environment(), "NAME", command),
        summary("m", "message", "what the change is for", false, "", "TEXT", command),
        yes("y", "yes", "make the change also if it is large", command),
        wait("w", "wait", "wait until the change is in force on all instances", command),
        timeout("", "wait-seconds", "how long to wait", false, default_wait_seconds, "SECONDS",
                command) {}

  change_note note() const {
    change_note made;
    made.author = author.getValue();
    made.at = wall_time();
    made.summary = summary.getValue();
    made.mark = random_number() >> 1 | 1;  // not 0, and a JSON number that others read as signed
    return made;
  }

  TCLAP::ValueArg<std::string> author;
  TCLAP::ValueArg<std::string> summary;
  TCLAP::SwitchArg yes;
  TCLAP::SwitchArg wait;
  TCLAP::ValueArg<int> timeout;
};

// What a command proposes for one service, reviewed against what stands there now.
struct planned_change {
  service_id service;
  service_table base;
  service_table current;
  std::vector<row_edit> edits;
};

// The service's table; an empty one at revision 0 if there is none.
service_table table_of(const table& tables, const service_id& service);

// Prints all conflicts; whether there are any.
bool print_conflicts(const std::vector<planned_change>& changes);

// 0, or the exit code that refuses the changes: nothing is written if any of them can't be.
// count_moves: also if more shards move than the service's budget.
int review(const std::vector<planned_change>& changes, const change_options& options,
           bool count_moves);

// Writes the changes, one service after the other, and waits if the options say so.
int commit_all(platform_access& platform, const platform_address& address,
               const std::vector<planned_change>& changes, const change_options& options);

// Reads the tables and hands them to use; what use gives is the exit code.
template <class Use>
int with_tables(platform_options& where, Use use) {
  const auto address = where.address();
  if (!address) {
    std::cerr << to_string(address.error()) << '\n';
    return exit_usage;
  }
  if (address->form == platform_form::items) {
    return fail(
        refused("the desired state in the platform's store is its operator's: show reads "
                "it, only the platform's own tools change it"));
  }
  platform_access platform(*address);
  const auto tables = platform.read_tables();
  if (!tables) return fail(tables.error());
  return use(*tables, platform, *address);
}

}  // namespace plantainpaddle
