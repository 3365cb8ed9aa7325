// The commands of plantainpaddle-table. Each takes its arguments, without the program's name and
// with the command's own first, and gives the exit code.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace plantainpaddle {

struct table_command {
  std::string_view name;
  std::string_view usage;  // for the list of commands
  int (*run)(std::vector<std::string> arguments);
};

const std::vector<table_command>& table_commands();

// The commands that read a table file.
int run_check(std::vector<std::string> arguments);
int run_diff(std::vector<std::string> arguments);
int run_apply(std::vector<std::string> arguments);

}  // namespace plantainpaddle
