#include "apps/table_commands.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "apps/command_line.h"
#include "apps/commit.h"
#include "apps/fleet.h"
#include "apps/platform_access.h"
#include "apps/platform_options.h"
#include "apps/table_view.h"
#include "table/parse.h"
#include "table/review.h"
#include "table/row_json.h"

namespace plantainpaddle {
namespace {

using arguments = std::vector<std::string>;

constexpr duration status_timeout = seconds(1);
constexpr duration wait_pause = milliseconds(100);
constexpr int default_wait_seconds = 30;

int exit_code_of(const error& e) {
  if (e.code == errc::bad_input || e.code == errc::limit_exceeded) return exit_bad_input;
  if (e.code == errc::conflict || e.code == errc::stale) return exit_conflict;
  if (e.code == errc::unavailable || e.code == errc::timed_out) return exit_unavailable;
  return exit_failed;
}

int fail(const error& e) {
  std::cerr << to_string(e) << '\n';
  return exit_code_of(e);
}

error refused(std::string detail) {
  return error{errc::bad_input, step::table, "", std::move(detail)};
}

// "counter-desk/upstream/desk-1".
struct row_path {
  service_id service;
  row_id row;
};

result<row_path> parse_row_path(const std::string& text) {
  const auto slash = text.find('/');
  const auto row = slash == std::string::npos ? std::nullopt : parse_row_id(text.substr(slash + 1));
  if (!row || slash == 0) {
    return refused("found row \"" + text +
                   "\", service/kind/name is wanted, where kind is service, upstream, route or "
                   "limit");
  }
  return row_path{{text.substr(0, slash)}, *row};
}

std::string author_from_environment() {
  const char* user = std::getenv("USER");
  return user == nullptr ? "" : user;
}

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

service_table table_of(const table& tables, const service_id& service) {
  const auto place = tables.find(service);
  return place == tables.end() ? service_table{} : place->second;
}

bool print_conflicts(const std::vector<planned_change>& changes) {
  bool found = false;
  for (const auto& change : changes) {
    const auto merged = merge_edits(change.base, change.current, change.edits);
    std::cerr << show_conflicts(change.service, merged.conflicts);
    found = found || !merged.conflicts.empty();
  }
  return found;
}

// 0, or the exit code that refuses the changes: nothing is written if any of them can't be.
int review(const std::vector<planned_change>& changes, const change_options& options,
           bool count_moves) {
  if (options.author.getValue().empty()) {
    std::cerr << "--author NAME or the variable USER is wanted\n";
    return exit_usage;
  }
  if (print_conflicts(changes)) {
    std::cerr << "nothing was written: read the table anew and repeat your edit\n";
    return exit_conflict;
  }
  bool risky = false;
  for (const auto& change : changes) {
    const auto merged = merge_edits(change.base, change.current, change.edits);
    const auto next = accept_edits(change.current, merged.edits, options.note());
    if (!next) return fail(next.error());
    for (const auto& risk : review_change(change.current, *next)) {
      if (risk.kind == risk_kind::many_moves && !count_moves) continue;
      std::cerr << risk.text << '\n';
      risky = true;
    }
  }
  if (risky && !options.yes.getValue()) {
    std::cerr << "nothing was written: repeat with --yes if this is meant\n";
    return exit_needs_yes;
  }
  return exit_ok;
}

int wait_in_force(const platform_address& address,
                  const std::map<service_id, revision_number>& wanted, seconds limit) {
  const auto start = monotonic_now();
  while (true) {
    const auto fleet = gather_fleet(address.fleet, status_timeout);
    bool everywhere = !fleet.instances.empty();
    for (const auto& [service, revision] : wanted) {
      everywhere = everywhere && instances_at(fleet, service, revision) == fleet.instances.size();
    }
    const auto waited = std::chrono::duration_cast<milliseconds>(monotonic_now() - start);
    if (everywhere) {
      std::cout << "in force on " << fleet.instances.size() << " instances after " << waited.count()
                << " ms\n";
      return exit_ok;
    }
    if (waited >= limit) {
      std::cerr << "written, but not in force on all instances after " << limit.count()
                << " s: see plantainpaddle-status\n";
      return exit_failed;
    }
    std::this_thread::sleep_for(wait_pause);
  }
}

int commit_all(platform_access& platform, const platform_address& address,
               const std::vector<planned_change>& changes, const change_options& options) {
  std::map<service_id, revision_number> written;
  for (const auto& change : changes) {
    const proposal wanted{change.service, change.base, change.edits, options.note()};
    const auto outcome = commit_edits(platform.access(), wanted);
    if (!outcome) {
      std::cerr << change.service.value << ": ";
      return fail(outcome.error());
    }
    if (!outcome->conflicts.empty()) {
      std::cerr << show_conflicts(change.service, outcome->conflicts) << change.service.value
                << ": not written\n";
      return exit_conflict;
    }
    const auto revision = outcome->table.revision;
    written[change.service] = revision;
    std::cout << change.service.value << ": "
              << (outcome->changed ? "accepted as revision " : "already so at revision ")
              << revision.value;
    if (outcome->changed) {
      std::cout << ", by " << wanted.by.author << ", " << show_time(wanted.by.at);
    }
    std::cout << '\n';
  }
  if (!options.wait.getValue()) return exit_ok;
  return wait_in_force(address, written, seconds(options.timeout.getValue()));
}

// Reads the tables and hands them to use; what use gives is the exit code.
template <class Use>
int with_tables(platform_options& where, Use use) {
  const auto address = where.address();
  if (!address) {
    std::cerr << to_string(address.error()) << '\n';
    return exit_usage;
  }
  platform_access platform(*address);
  const auto tables = platform.read_tables();
  if (!tables) return fail(tables.error());
  return use(*tables, platform, *address);
}

result<table> keep_service(const table& tables, const std::string& name) {
  if (name.empty()) return tables;
  const auto place = tables.find({name});
  if (place == tables.end()) {
    std::string known;
    for (const auto& [service, unused] : tables) known += " " + service.value;
    return error{errc::not_found, step::table, "",
                 "found service \"" + name + "\", the table has:" + known};
  }
  return table{*place};
}

int run_show(arguments given) {
  TCLAP::CmdLine command("Shows the table, and beside it what is in force.", ' ',
                         PLANTAINPADDLE_VERSION);
  platform_options where(command);
  TCLAP::SwitchArg as_json("j", "json", "print JSON", command);
  TCLAP::UnlabeledValueArg<std::string> service("service", "only this service", false, "",
                                                "SERVICE", command);
  return run_command(command, std::move(given), [&] {
    return with_tables(where, [&](const table& tables, platform_access&, const auto& address) {
      const auto shown = keep_service(tables, service.getValue());
      if (!shown) return fail(shown.error());
      const auto fleet = gather_fleet(address.fleet, status_timeout);
      std::cout << (as_json.getValue() ? show_tables_json(*shown, fleet)
                                       : show_tables(*shown, fleet));
      return int{exit_ok};
    });
  });
}

int run_history(arguments given) {
  TCLAP::CmdLine command("Shows who changed what, and when.", ' ', PLANTAINPADDLE_VERSION);
  platform_options where(command);
  TCLAP::SwitchArg as_json("j", "json", "print JSON", command);
  TCLAP::UnlabeledValueArg<std::string> service("service", "only this service", false, "",
                                                "SERVICE", command);
  return run_command(command, std::move(given), [&] {
    return with_tables(where, [&](const table& tables, platform_access&, const auto&) {
      const auto shown = keep_service(tables, service.getValue());
      if (!shown) return fail(shown.error());
      std::cout << (as_json.getValue() ? show_history_json(*shown) : show_history(*shown));
      return int{exit_ok};
    });
  });
}

int print_row(const table& tables, const std::string& path_text, const std::string& column) {
  const auto path = parse_row_path(path_text);
  if (!path) return fail(path.error());
  const auto row = find_row(table_of(tables, path->service), path->row);
  if (!row) return fail({errc::not_found, step::table, "", path_text + ": no such row"});
  const auto columns = row_to_json(*row);
  if (column.empty()) {
    std::cout << row_to_text(*row) << '\n';
    return exit_ok;
  }
  const auto* cell = columns.if_contains(column);
  if (cell == nullptr) return fail(refused(path_text + ": no column \"" + column + "\""));
  std::cout << cell_text(*cell) << '\n';
  return exit_ok;
}

int run_get(arguments given) {
  TCLAP::CmdLine command(
      "Prints the table as a file for version control, or a service of it, or a row or a cell.",
      ' ', PLANTAINPADDLE_VERSION);
  platform_options where(command);
  TCLAP::UnlabeledMultiArg<std::string> what(
      "what", "a service, or a row as service/kind/name and maybe a column", false,
      "SERVICE | ROW COLUMN", command);
  return run_command(command, std::move(given), [&] {
    return with_tables(where, [&](const table& tables, platform_access&, const auto&) {
      arguments words = what.getValue();
      words.resize(2);
      if (words[0].find('/') != std::string::npos) return print_row(tables, words[0], words[1]);
      const auto shown = keep_service(tables, words[0]);
      if (!shown) return fail(shown.error());
      std::cout << format_table_file(*shown);
      return int{exit_ok};
    });
  });
}

result<row_value> set_columns(const service_id& service, const row_value& row,
                              const std::vector<std::string>& words) {
  if (words.empty() || words.size() % 2 != 0) {
    return refused("pairs of COLUMN VALUE are wanted after the row");
  }
  std::vector<cell_edit> cells;
  cells.reserve(words.size() / 2);
  for (std::size_t i = 0; i < words.size(); i += 2) cells.push_back({words[i], words[i + 1]});
  auto changed = with_cells(row, cells);
  if (changed) return changed;
  error e = changed.error();
  e.detail = service.value + "/" + e.detail;
  return e;
}

// Merges the one edit into the table, however it has changed since it was read.
int change_row(const table& tables, platform_access& platform, const platform_address& address,
               const row_path& path, std::optional<row_value> after,
               const change_options& options) {
  const auto current = table_of(tables, path.service);
  const std::vector<planned_change> changes{
      {path.service, current, current, {{path.row, std::move(after)}}}};
  if (const int refusal = review(changes, options, false); refusal != exit_ok) return refusal;
  return commit_all(platform, address, changes, options);
}

int run_set(arguments given) {
  TCLAP::CmdLine command("Sets cells of a row: set ROW COLUMN VALUE [COLUMN VALUE ...].", ' ',
                         PLANTAINPADDLE_VERSION);
  platform_options where(command);
  change_options options(command);
  TCLAP::UnlabeledValueArg<std::string> row("row", "service/kind/name", true, "", "ROW", command);
  TCLAP::UnlabeledMultiArg<std::string> cells("cells", "columns and values", true, "COLUMN VALUE",
                                              command);
  return run_command(command, std::move(given), [&] {
    return with_tables(where, [&](const table& tables, platform_access& platform,
                                  const auto& address) {
      const auto path = parse_row_path(row.getValue());
      if (!path) return fail(path.error());
      const auto before = find_row(table_of(tables, path->service), path->row);
      if (!before) {
        return fail({errc::not_found, step::table, "", row.getValue() + ": no such row; see add"});
      }
      const auto after = set_columns(path->service, *before, cells.getValue());
      if (!after) return fail(after.error());
      return change_row(tables, platform, address, *path, *after, options);
    });
  });
}

// A row of the kind with the columns that have no default still empty.
row_value empty_row(const row_id& id) {
  switch (id.kind) {
    case row_kind::service:
      return service_row{.name = {id.name}};
    case row_kind::upstream:
      return upstream_row{.name = {id.name}, .address = ":"};
    case row_kind::route:
      return route_row{.name = id.name, .path_prefix = "/"};
    case row_kind::limit:
      break;
  }
  return limit_row{.name = id.name, .tenant = {"*"}};
}

// Columns without a default; a row that lacks them is refused.
result<void> check_given(const row_id& row, const std::vector<std::string>& cells) {
  std::vector<std::string> needed;
  if (row.kind == row_kind::upstream) needed = {"address", "domain"};
  if (row.kind == row_kind::route) needed = {"path_prefix"};
  for (const auto& column : needed) {
    bool found = false;
    for (std::size_t i = 0; i < cells.size(); i += 2) found = found || cells[i] == column;
    if (!found) return refused(to_string(row) + "." + column + ": missing");
  }
  return {};
}

int run_add(arguments given) {
  TCLAP::CmdLine command(
      "Adds a row: add ROW [COLUMN VALUE ...]; other columns take their defaults.", ' ',
      PLANTAINPADDLE_VERSION);
  platform_options where(command);
  change_options options(command);
  TCLAP::UnlabeledValueArg<std::string> row("row", "service/kind/name", true, "", "ROW", command);
  TCLAP::UnlabeledMultiArg<std::string> cells("cells", "columns and values", false, "COLUMN VALUE",
                                              command);
  return run_command(command, std::move(given), [&] {
    return with_tables(where, [&](const table& tables, platform_access& platform,
                                  const auto& address) {
      const auto path = parse_row_path(row.getValue());
      if (!path) return fail(path.error());
      const auto current = table_of(tables, path->service);
      if (find_row(current, path->row)) {
        return fail(refused(row.getValue() + ": there is such a row; see set"));
      }
      const bool is_service = path->row.kind == row_kind::service;
      if (is_service ? path->row.name != path->service.value : current.revision.value == 0) {
        return fail(refused(path->service.value + ": no such service; add " + path->service.value +
                            "/service/" + path->service.value + " first"));
      }
      if (const auto checked = check_given(path->row, cells.getValue()); !checked) {
        return fail(checked.error());
      }
      const auto after = cells.getValue().empty()
                             ? result<row_value>(empty_row(path->row))
                             : set_columns(path->service, empty_row(path->row), cells.getValue());
      if (!after) return fail(after.error());
      return change_row(tables, platform, address, *path, *after, options);
    });
  });
}

int run_remove(arguments given) {
  TCLAP::CmdLine command("Removes a row.", ' ', PLANTAINPADDLE_VERSION);
  platform_options where(command);
  change_options options(command);
  TCLAP::UnlabeledValueArg<std::string> row("row", "service/kind/name", true, "", "ROW", command);
  return run_command(command, std::move(given), [&] {
    return with_tables(
        where, [&](const table& tables, platform_access& platform, const auto& address) {
          const auto path = parse_row_path(row.getValue());
          if (!path) return fail(path.error());
          if (!find_row(table_of(tables, path->service), path->row)) {
            return fail({errc::not_found, step::table, "", row.getValue() + ": no such row"});
          }
          return change_row(tables, platform, address, *path, std::nullopt, options);
        });
  });
}

result<table> read_table_file(const std::string& file) {
  std::ifstream in(file);
  if (!in) return refused(file + ": can't be read");
  std::ostringstream text;
  text << in.rdbuf();
  auto read = parse_table_file(text.str());
  if (read) return read;
  error e = read.error();
  e.detail = file + ": " + e.detail;
  return e;
}

int run_check(arguments given) {
  TCLAP::CmdLine command("Checks a table file without looking at the store.", ' ',
                         PLANTAINPADDLE_VERSION);
  TCLAP::UnlabeledValueArg<std::string> file("file", "table file", true, "", "FILE", command);
  return run_command(command, std::move(given), [&] {
    const auto declared = read_table_file(file.getValue());
    if (!declared) return fail(declared.error());
    for (const auto& [name, service] : *declared) {
      std::cout << name.value << ": " << service.upstreams.size() << " upstreams, "
                << service.routes.size() << " routes, " << service.limits.size() << " limits\n";
    }
    return int{exit_ok};
  });
}

// The changes that make the store's table out of the file's. Services that the file doesn't name
// stay as they are.
result<std::vector<planned_change>> plan_file(const table& declared, const table& tables,
                                              bool overwrite) {
  std::vector<planned_change> changes;
  for (const auto& [name, wanted] : declared) {
    planned_change change{.service = name, .current = table_of(tables, name)};
    const auto from = overwrite ? change.current.revision : wanted.revision;
    auto base = table_at(change.current, from);
    if (!base) {
      error e = base.error();
      e.detail = name.value + ": " + e.detail;
      return e;
    }
    change.base = std::move(*base);
    change.edits = diff_rows(change.base, wanted);
    changes.push_back(std::move(change));
  }
  return changes;
}

// plan_file's changes, after the file was read and the overwrite option taken into account.
template <class Use>
int with_plan(const std::string& file, bool overwrite, platform_options& where, Use use) {
  const auto declared = read_table_file(file);
  if (!declared) return fail(declared.error());
  return with_tables(
      where, [&](const table& tables, platform_access& platform, const platform_address& address) {
        const auto changes = plan_file(*declared, tables, overwrite);
        if (!changes) return fail(changes.error());
        return use(*changes, platform, address);
      });
}

void print_plan(const std::vector<planned_change>& changes) {
  for (const auto& change : changes) {
    const auto merged = merge_edits(change.base, change.current, change.edits);
    std::cout << show_edits(change.service, change.current, merged.edits);
  }
}

int run_diff(arguments given) {
  TCLAP::CmdLine command("Shows what apply would change.", ' ', PLANTAINPADDLE_VERSION);
  platform_options where(command);
  TCLAP::SwitchArg overwrite("", "overwrite", "as with apply --overwrite", command);
  TCLAP::UnlabeledValueArg<std::string> file("file", "table file", true, "", "FILE", command);
  return run_command(command, std::move(given), [&] {
    return with_plan(file.getValue(), overwrite.getValue(), where,
                     [&](const auto& changes, platform_access&, const auto&) {
                       print_plan(changes);
                       return int{print_conflicts(changes) ? exit_conflict : exit_ok};
                     });
  });
}

// Writes the table as it now stands back into the file, for the services that it names.
int write_back(platform_access& platform, const std::vector<planned_change>& changes,
               const std::string& file) {
  const auto tables = platform.read_tables();
  if (!tables) return fail(tables.error());
  table written;
  for (const auto& change : changes) written[change.service] = table_of(*tables, change.service);
  std::ofstream out(file, std::ios::trunc);
  out << format_table_file(written);
  out.close();
  if (out) return exit_ok;
  std::cerr << file << ": can't be written\n";
  return exit_failed;
}

int run_apply(arguments given) {
  TCLAP::CmdLine command(
      "Makes the store's table what the file says. Changes that others made since the file's "
      "revision stay; where they changed the same row, nothing is written.",
      ' ', PLANTAINPADDLE_VERSION);
  platform_options where(command);
  change_options options(command);
  TCLAP::SwitchArg overwrite(
      "", "overwrite", "the file goes before what others wrote since its revision; needs --yes",
      command);
  TCLAP::SwitchArg back("", "write-back", "then write the table, with its revision, into the file",
                        command);
  TCLAP::UnlabeledValueArg<std::string> file("file", "table file", true, "", "FILE", command);
  return run_command(command, std::move(given), [&] {
    return with_plan(file.getValue(), overwrite.getValue(), where,
                     [&](const auto& changes, platform_access& platform, const auto& address) {
                       print_plan(changes);
                       if (overwrite.getValue() && !options.yes.getValue()) {
                         std::cerr << "nothing was written: --overwrite needs --yes\n";
                         return int{exit_needs_yes};
                       }
                       int code = review(changes, options, true);
                       if (code == exit_ok) code = commit_all(platform, address, changes, options);
                       if (code == exit_ok && back.getValue()) {
                         code = write_back(platform, changes, file.getValue());
                       }
                       return code;
                     });
  });
}

}  // namespace

const std::vector<table_command>& table_commands() {
  static const std::vector<table_command> commands{
      {"show", "[SERVICE]               the table, and beside it what is in force", run_show},
      {"get", "[SERVICE | ROW [COLUMN]] the table as a file, a row, or a cell", run_get},
      {"set", "ROW COLUMN VALUE ...     set cells of a row", run_set},
      {"add", "ROW [COLUMN VALUE ...]   add a row", run_add},
      {"remove", "ROW                      remove a row", run_remove},
      {"check", "FILE                     check a table file", run_check},
      {"diff", "FILE                     what apply would change", run_diff},
      {"apply", "FILE                     make the table what the file says", run_apply},
      {"history", "[SERVICE]                who changed what, and when", run_history},
  };
  return commands;
}

}  // namespace plantainpaddle
