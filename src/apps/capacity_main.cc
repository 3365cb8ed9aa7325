// plantainpaddle-capacity: prints the tables of docs/CAPACITY.md from measured slopes, or renews
// the page.

#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <sstream>

#include "apps/capacity.h"
#include "apps/exit_codes.h"

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
  try {
    TCLAP::CmdLine command("Capacity at the size to design for.", ' ', PLANTAINPADDLE_VERSION);
    TCLAP::ValueArg<std::string> folder("m", "measurements",
                                        "folder of control.json, path.json and failover.json",
                                        false, "docs/measurements", "FOLDER", command);
    TCLAP::ValueArg<std::string> page("w", "write", "renew the tables of this page", false, "",
                                      "PAGE", command);
    command.parse(argc, argv);
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
  } catch (const TCLAP::ArgException& e) {
    std::cerr << e.error() << " for argument " << e.argId() << '\n';
    return exit_usage;
  }
}
