#include "harness/bench.h"

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>

namespace plantainpaddle {

namespace {
constexpr int bad_command_line = 2;
}

int run_bench(int argc, char** argv, const std::function<int(int, char**)>& run) {
  try {
    return run(argc, argv);
  } catch (const TCLAP::ArgException& e) {
    std::cerr << e.error() << " for argument " << e.argId() << '\n';
    return bad_command_line;
  }
}

std::string program_folder(const char* program) {
  return std::filesystem::absolute(program).parent_path().string();
}

std::string make_log_folder() {
  std::string folder = (std::filesystem::temp_directory_path() / "plantainpaddle-XXXXXX").string();
  return mkdtemp(folder.data()) == nullptr ? "" : folder;
}

}  // namespace plantainpaddle
