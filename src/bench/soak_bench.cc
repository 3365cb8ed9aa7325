// The fault soak behind scripts/soak: systems of processes with faults that follow from seeds. Exit
// code 1 if a promise was broken; the logs of such a seed are kept. Last line: one JSON object.

#include <tclap/CmdLine.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <filesystem>
#include <iostream>
#include <map>

#include "harness/bench.h"
#include "soak/plan.h"
#include "soak/run.h"

namespace plantainpaddle {
namespace {

struct totals {
  std::uint64_t requests = 0;
  std::uint64_t complete = 0;
  std::uint64_t around_stops = 0;
  std::map<std::string, std::uint64_t> broken;
  boost::json::array failed;

  void add(const soak_verdict& verdict) {
    requests += verdict.requests;
    complete += verdict.complete;
    around_stops += verdict.around_stops;
    for (const auto& [promise, count] : verdict.broken) broken[promise] += count;
  }
};

// False: a promise was broken, or the system didn't start.
bool play(const soak_options& options, const std::string& bin, totals& all) {
  const std::string folder = make_log_folder();
  const auto verdict = play_soak(draw_soak(options), bin, folder);
  std::cout << "seed " << options.seed << ": ";
  if (!verdict) {
    std::cout << to_string(verdict.error()) << "; logs in " << folder << std::endl;
    return false;
  }
  all.add(*verdict);
  std::cout << verdict->complete << " of " << verdict->requests << " complete, "
            << verdict->around_stops << " around planned stops";
  for (const auto& [promise, count] : verdict->broken) std::cout << ", " << promise << " " << count;
  std::cout << std::endl;
  for (const auto& note : verdict->notes) std::cout << "  " << note << '\n';
  for (const auto& finding : verdict->findings) std::cout << "  " << finding << '\n';
  if (verdict->clean()) {
    std::filesystem::remove_all(folder);
    return true;
  }
  std::cout << "  logs in " << folder << std::endl;
  return false;
}

int run(int argc, char** argv) {
  TCLAP::CmdLine command("Faults from seeds against whole systems of processes.", ' ',
                         PLANTAINPADDLE_VERSION);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "of the first run", false, 1, "N", command);
  TCLAP::ValueArg<std::uint64_t> runs("", "runs", "each with the next seed", false, 1, "N",
                                      command);
  TCLAP::ValueArg<int> length("", "length", "of a run's load", false, 20, "SECONDS", command);
  std::vector<std::string> names{"small", "full"};
  TCLAP::ValuesConstraint<std::string> sizes(names);
  TCLAP::ValueArg<std::string> size("", "size", "full: a few hundred processes", false, "small",
                                    &sizes, command);
  command.parse(argc, argv);
  totals all;
  for (std::uint64_t i = 0; i < runs.getValue(); ++i) {
    const soak_options options{
        .seed = seed.getValue() + i,
        .length = seconds(length.getValue()),
        .size = size.getValue() == "full" ? soak_size::full : soak_size::small};
    if (!play(options, program_folder(argv[0]), all)) all.failed.emplace_back(options.seed);
  }
  boost::json::object broken;
  for (const auto& [promise, count] : all.broken) broken[promise] = count;
  std::cout << boost::json::serialize(boost::json::object{{"seed", seed.getValue()},
                                                          {"runs", runs.getValue()},
                                                          {"requests", all.requests},
                                                          {"complete", all.complete},
                                                          {"around_stops", all.around_stops},
                                                          {"broken", broken},
                                                          {"failed_seeds", all.failed}})
            << std::endl;
  return all.failed.empty() ? 0 : 1;
}

}  // namespace
}  // namespace plantainpaddle

int main(int argc, char** argv) {
  return plantainpaddle::run_bench(argc, argv, plantainpaddle::run);
}
