// plantainpaddle-capacity: prints the tables of docs/CAPACITY.md from measured slopes, or renews
// the page.

#include <fstream>
#include <iostream>
#include <sstream>

#include "apps/capacity.h"
#include "apps/command_line.h"

namespace {

std::string read_file(const std::string& name) {
  std::ifstream in(name);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace

int main(int argc, char** argv) {
  using namespace plantainpaddle;
  TCLAP::CmdLine command("Capacity at the size to design for.", ' ', PLANTAINPADDLE_VERSION);
  TCLAP::ValueArg<std::string> folder("m", "measurements",
                                      "folder of control.json, path.json and failover.json", false,
                                      "docs/measurements", "FOLDER", command);
  TCLAP::ValueArg<std::string> page("w", "write", "renew the tables of this page", false, "",
                                    "PAGE", command);
  return run_command(command, {argv, argv + argc}, [&]() -> int {
    const std::string& from = folder.getValue();
    const auto slopes =
        parse_slopes(read_file(from + "/control.json"), read_file(from + "/path.json"),
                     read_file(from + "/failover.json"));
    if (!slopes) {
      std::cerr << from << ": " << to_string(slopes.error()) << '\n';
      return exit_bad_input;
    }
    const std::string tables = format_capacity(*slopes);
    if (page.getValue().empty()) {
      std::cout << tables;
      return exit_ok;
    }
    const auto made = replace_tables(read_file(page.getValue()), tables);
    if (!made) {
      std::cerr << page.getValue() << ": " << to_string(made.error()) << '\n';
      return exit_bad_input;
    }
    std::ofstream(page.getValue()) << *made;
    return exit_ok;
  });
}
