// Policy under load and faults, in virtual time, three ways: docs/POLICY.md says what is modelled.
//
//   policy_bench                    tables, then one JSON object
//   policy_bench --sweep placement  also: admission, joins; one JSON object a line
#include <tclap/CmdLine.h>

#include <boost/json.hpp>
#include <cstdio>
#include <iostream>

#include "bench/policy_placement.h"
#include "bench/policy_scenarios.h"
#include "bench/policy_sweep.h"

using namespace plantainpaddle;
using namespace plantainpaddle::bench;

namespace {

std::string text(way w) { return std::string(way_name(w)); }

void print_requests(const deployment& where, std::uint64_t seed) {
  std::printf("\n%s: share served in time and p99 in ms by class\n", where.name.c_str());
  std::printf("%-13s%-13s%-9s%8s%6s%7s%7s%16s%16s%16s%16s\n", "service", "scenario", "way",
              "goodput", "sent", "queued", "p99x", "counter", "order", "upload", "bulk");
  for (const auto& service : where.services) {
    per_class<double> calm_p99{};
    for (auto scenario : all_scenarios(service)) {
      scenario.seed = seed;
      for (const auto w : all_ways) {
        const auto f = run_requests(where, service, w, scenario, {});
        const double p99 = f.classes[0].p99_seconds;
        auto& calm = calm_p99[static_cast<std::size_t>(w)];
        if (calm == 0) calm = p99;
        std::printf("%-13s%-13s%-9s%8.3f%6.2f%7.0f%7.2f", service.name.c_str(),
                    scenario.name.c_str(), text(w).c_str(), f.goodput_ratio, f.sent / f.asked,
                    f.most_queued, p99 / calm);
        for (const auto& c : f.classes) {
          if (c.asked == 0) {
            std::printf("%16s", "-");
          } else {
            std::printf("%7.3f%9.1f", c.complete / c.asked, 1e3 * c.p99_seconds);
          }
        }
        std::printf("\n");
      }
    }
  }
}

boost::json::object print_placement(const deployment& where, way w, const char* name,
                                    const placement_policy& policy) {
  const auto f = run_placement(where, w, policy);
  std::printf("%-12s%-22s%9.3f%9.3f%9.3f%9.3f%9.4f%9.2f%9.3f%9.3f\n", where.name.c_str(), name,
              f.imbalance_mean, f.imbalance_p99, f.raw_imbalance, f.p99_over_mean, f.churn,
              f.churn_over_least, f.unavailable_s, f.lost_s);
  return {{"imbalance", f.imbalance_p99},
          {"imbalance_mean", f.imbalance_mean},
          {"churn", f.churn},
          {"churn_over_least", f.churn_over_least},
          {"unavailable_s", f.unavailable_s}};
}

void run_all(std::uint64_t seed) {
  const auto places = {harrowgate(), raselinka()};
  for (const auto& where : places) print_requests(where, seed);
  std::printf("\n%-12s%-22s%9s%9s%9s%9s%9s%9s%9s%9s\n", "placement", "way", "imb", "imb p99", "raw",
              "p99/mean", "churn/h", "x least", "unav s", "lost s");
  boost::json::object all;
  for (const auto& where : places) {
    boost::json::object ways;
    for (const auto w : all_ways) {
      auto figures = print_placement(where, w, text(w).c_str(), {.seed = seed});
      const auto f = run_overload(where, w, {}, seed);
      figures["counter_p99_ratio"] = f.counter_p99_ratio;
      figures["goodput_ratio"] = f.goodput_ratio;
      figures["sent_per_asked"] = f.sent_per_asked;
      ways[text(w)] = std::move(figures);
    }
    print_placement(where, way::ours, "ours, cells apart", {.between_cells = false, .seed = seed});
    all[where.name] = std::move(ways);
  }
  std::cout << boost::json::serialize(all) << std::endl;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine line("Policy under load and faults, in virtual time", ' ',
                        PLANTAINPADDLE_VERSION);
    TCLAP::ValueArg<std::string> sweep("", "sweep", "placement, admission or joins", false, "",
                                       "name", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "of the traces", false, default_seed, "number",
                                        line);
    line.parse(argc, argv);
    if (!sweep.isSet()) {
      run_all(seed.getValue());
    } else if (!run_sweep(sweep.getValue())) {
      std::cerr << "unknown sweep: " << sweep.getValue() << "\n";
      return 2;
    }
  } catch (const TCLAP::ArgException& e) {
    std::cerr << e.argId() << ": " << e.error() << "\n";
    return 2;
  }
  return 0;
}
