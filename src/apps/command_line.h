// What all programs' command lines share: TCLAP without its own exits.
//
//   TCLAP::CmdLine command("What it does.", ' ', PLANTAINPADDLE_VERSION);
//   ...
//   return run_command(command, arguments, [&] { return work(); });
#pragma once

#include <tclap/CmdLine.h>

#include <iostream>
#include <string>
#include <vector>

#include "apps/exit_codes.h"

namespace plantainpaddle {

// Parses and runs work(), whose answer is the exit code. --help and --version: exit_ok.
template <class Work>
int run_command(TCLAP::CmdLine& command, std::vector<std::string> arguments, Work work) {
  command.setExceptionHandling(false);
  try {
    command.parse(arguments);
  } catch (const TCLAP::ArgException& e) {
    std::cerr << e.error() << ": " << e.argId() << "; see --help\n";
    return exit_usage;
  } catch (const TCLAP::ExitException& e) {
    return e.getExitStatus();
  }
  return work();
}

}  // namespace plantainpaddle
