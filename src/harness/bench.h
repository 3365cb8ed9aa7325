// What the programs that start a cluster have in common.
#pragma once

#include <functional>
#include <string>

namespace plantainpaddle {

// Runs a bench that parses its command line by TCLAP; a bad one is told on standard error.
int run_bench(int argc, char** argv, const std::function<int(int, char**)>& run);

// The folder of a program, where the other programs are too.
std::string program_folder(const char* program);

// A new folder for logs and journals; empty if it can't be made.
std::string make_log_folder();

}  // namespace plantainpaddle
