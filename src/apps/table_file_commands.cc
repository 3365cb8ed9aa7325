#include <fstream>
#include <iostream>
#include <sstream>

#include "apps/command_line.h"
#include "apps/table_change.h"
#include "apps/table_commands.h"
#include "apps/table_view.h"
#include "table/parse.h"

namespace plantainpaddle {
namespace {

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

}  // namespace

int run_check(std::vector<std::string> given) {
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

int run_diff(std::vector<std::string> given) {
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

int run_apply(std::vector<std::string> given) {
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

}  // namespace plantainpaddle
