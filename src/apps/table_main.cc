// plantainpaddle-table: the operators' table from the command line.

#include <algorithm>
#include <cstdio>
#include <iostream>

#include "apps/exit_codes.h"
#include "apps/table_commands.h"

namespace plantainpaddle {
namespace {

void print_usage(std::ostream& out) {
  out << "plantainpaddle-table COMMAND ...; COMMAND --help says more. ROW is service/kind/name, "
         "as counter-desk/upstream/desk-1.\n";
  for (const auto& command : table_commands()) {
    std::string name(command.name);
    name.resize(10, ' ');
    out << "  " << name << command.usage << '\n';
  }
}

int run(std::vector<std::string> arguments) {
  const std::string first = arguments.empty() ? "" : arguments.front();
  if (first == "--version") {
    std::cout << "plantainpaddle-table " << PLANTAINPADDLE_VERSION << '\n';
    return exit_ok;
  }
  if (first == "--help" || first == "-h") {
    print_usage(std::cout);
    return exit_ok;
  }
  for (const auto& command : table_commands()) {
    if (command.name != first) continue;
    arguments.front() = "plantainpaddle-table " + first;
    return command.run(std::move(arguments));
  }
  std::cerr << "found command \"" << first << "\"\n";
  print_usage(std::cerr);
  return exit_usage;
}

}  // namespace
}  // namespace plantainpaddle

int main(int argc, char** argv) {
  try {
    return plantainpaddle::run({argv + 1, argv + argc});
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return plantainpaddle::exit_failed;
  }
}
