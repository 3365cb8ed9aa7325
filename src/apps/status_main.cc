// plantainpaddle-status: the state of the whole system, what is wrong first.

#include <cstdio>
#include <iostream>

#include "apps/command_line.h"
#include "apps/platform_access.h"
#include "apps/status_view.h"

namespace plantainpaddle {
namespace {

constexpr duration status_timeout = seconds(1);

int exit_code_of(const std::vector<finding>& findings) {
  return is_well(findings) ? exit_ok : exit_failed;
}

int show_items(const platform_address& address) {
  auto state = platform_access(address).read_registry();
  if (!state) {
    std::cerr << to_string(state.error()) << '\n';
    return exit_unavailable;
  }
  ask_instances(*state, status_timeout);
  std::cout << show_registry_status(*state);
  return exit_code_of(find_registry_faults(*state));
}

// Exit code: exit_failed if anything is worse than a notice.
int show(const platform_address& address, bool as_json) {
  platform_access platform(address);
  const auto declared = platform.read_tables();
  const auto fleet = gather_fleet(address.fleet, status_timeout);
  const auto findings = find_faults(fleet, declared);
  std::cout << (as_json ? show_status_json(fleet, declared, findings)
                        : show_status(fleet, declared, findings));
  return exit_code_of(findings);
}

int run(std::vector<std::string> arguments) {
  TCLAP::CmdLine command("The state of the whole system: what is wrong first.", ' ',
                         PLANTAINPADDLE_VERSION);
  platform_options where(command);
  TCLAP::SwitchArg as_json("j", "json", "print JSON", command);
  return run_command(command, std::move(arguments), [&] {
    const auto address = where.address();
    if (!address) {
      std::cerr << to_string(address.error()) << '\n';
      return int{exit_usage};
    }
    if (address->form == platform_form::items) return show_items(*address);
    return show(*address, as_json.getValue());
  });
}

}  // namespace
}  // namespace plantainpaddle

int main(int argc, char** argv) {
  try {
    return plantainpaddle::run({argv, argv + argc});
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return plantainpaddle::exit_failed;
  }
}
