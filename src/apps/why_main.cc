// plantainpaddle-why: what the logs say of a request.

#include <fstream>
#include <iostream>

#include "apps/command_line.h"
#include "apps/why.h"

namespace plantainpaddle {
namespace {

int run(const std::string& id, const std::vector<std::string>& files) {
  std::vector<std::string> lines;
  for (const auto& file : files) {
    std::ifstream in(file);
    if (!in) {
      std::cerr << file << ": can't be read\n";
      return exit_bad_input;
    }
    for (std::string line; std::getline(in, line);) lines.push_back(line);
  }
  const auto found = explain_request(lines, id);
  if (found.told.empty()) {
    std::cerr << "no line tells of request " << id << " in " << lines.size() << " lines\n";
    return exit_unavailable;
  }
  for (const auto& line : found.told) std::cout << line << '\n';
  if (!found.beliefs.empty()) std::cout << "known by then:\n";
  for (const auto& line : found.beliefs) std::cout << line << '\n';
  return exit_ok;
}

}  // namespace
}  // namespace plantainpaddle

int main(int argc, char** argv) {
  using namespace plantainpaddle;
  TCLAP::CmdLine command("What the logs of entry instances say of a request.", ' ',
                         PLANTAINPADDLE_VERSION);
  TCLAP::UnlabeledValueArg<std::string> id("id", "the request's id", true, "", "ID", command);
  TCLAP::UnlabeledMultiArg<std::string> files("files", "log files", true, "FILE", command);
  return run_command(command, {argv, argv + argc},
                     [&]() -> int { return run(id.getValue(), files.getValue()); });
}
