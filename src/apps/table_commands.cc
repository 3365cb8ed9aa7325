#include "apps/table_commands.h"

#include <iostream>

#include "apps/command_line.h"
#include "apps/fleet.h"
#include "apps/table_change.h"
#include "apps/table_view.h"
#include "table/parse.h"
#include "table/row_json.h"

namespace plantainpaddle {
namespace {

using arguments = std::vector<std::string>;

constexpr duration status_timeout = seconds(1);

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

int show_items(const platform_address& address, const std::string& service) {
  auto state = platform_access(address).read_registry();
  if (!state) return fail(state.error());
  ask_instances(*state, status_timeout);
  const auto text = show_registry(*state, service);
  if (!text) return fail(text.error());
  std::cout << *text;
  return exit_ok;
}

int run_show(arguments given) {
  TCLAP::CmdLine command("Shows the table, and beside it what is in force.", ' ',
                         PLANTAINPADDLE_VERSION);
  platform_options where(command);
  TCLAP::SwitchArg as_json("j", "json", "print JSON", command);
  TCLAP::UnlabeledValueArg<std::string> service("service", "only this service", false, "",
                                                "SERVICE", command);
  return run_command(command, std::move(given), [&] {
    const auto where_to = where.address();
    if (where_to && where_to->form == platform_form::items) {
      return show_items(*where_to, service.getValue());
    }
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
  std::vector<column_edit> cells;
  cells.reserve(words.size() / 2);
  for (std::size_t i = 0; i < words.size(); i += 2) cells.push_back({words[i], words[i + 1]});
  auto changed = with_columns(row, cells);
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
