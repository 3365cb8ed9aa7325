// plantainpaddle-load: open-loop load on entry instances, with a check of every answer.

#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <sstream>

#include "apps/exit_codes.h"
#include "load/plan.h"
#include "load/report.h"
#include "load/runner.h"

namespace plantainpaddle {
namespace {

int run(int argc, char** argv) {
  TCLAP::CmdLine command("Open-loop load for plantainpaddle.", ' ', PLANTAINPADDLE_VERSION);
  TCLAP::ValueArg<std::string> file("p", "plan", "JSON plan file", true, "", "FILE", command);
  TCLAP::ValueArg<std::string> records_file("r", "records", "file for one line per request", false,
                                            "", "FILE", command);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "in place of the plan's", false, 0, "NUMBER",
                                      command);
  TCLAP::SwitchArg as_json("j", "json", "the report as one JSON object", command);
  TCLAP::SwitchArg check("", "check", "check the plan and exit", command);
  command.parse(argc, argv);

  std::ifstream in(file.getValue());
  if (!in) {
    std::cerr << file.getValue() << ": can't be read\n";
    return exit_bad_input;
  }
  std::ostringstream text;
  text << in.rdbuf();
  auto plan = parse_load_plan(text.str(), file.getValue());
  if (!plan) {
    std::cerr << to_string(plan.error()) << '\n';
    return exit_bad_input;
  }
  if (check.getValue()) return exit_ok;
  if (seed.isSet()) plan->seed = seed.getValue();
  const auto records = run_load(*plan);
  if (!records_file.getValue().empty()) {
    std::ofstream out(records_file.getValue());
    out << format_load_records(records);
    if (!out.flush()) {
      std::cerr << records_file.getValue() << ": can't be written\n";
      return exit_failed;
    }
  }
  const auto reports = make_reports(records, plan->length);
  std::cout << (as_json.getValue() ? format_json(reports) + "\n" : format_table(reports));
  constexpr auto wrong = static_cast<std::size_t>(load_outcome::wrong);
  return reports.back().outcomes[wrong] == 0 ? exit_ok : exit_failed;
}

}  // namespace
}  // namespace plantainpaddle

int main(int argc, char** argv) {
  using namespace plantainpaddle;
  try {
    return run(argc, argv);
  } catch (const TCLAP::ArgException& e) {
    std::cerr << e.error() << " for argument " << e.argId() << '\n';
    return exit_usage;
  }
}
