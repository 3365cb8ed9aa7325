// Real processes under overload, a burst of silent connections, and drains under load. The last
// line is one JSON object.
//
//   scripts/bench overload [--seconds N]
//
// goodput_ratio is the slot time of the complete answers within the span of the load against the
// slot time there was; counter_p99_ratio the counter's p99 at twofold overload against its p99
// alone; sent_per_asked what reached upstreams for each request of a caller; cut_off the requests
// that a planned leave or a drain left without a complete answer.

#include <tclap/CmdLine.h>

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <future>
#include <iostream>
#include <thread>

#include "harness/bench.h"
#include "harness/cluster.h"
#include "harness/store_view.h"
#include "harness/web.h"
#include "load/checker.h"
#include "load/report.h"
#include "load/runner.h"

namespace plantainpaddle {
namespace {

namespace json = boost::json;

constexpr std::size_t slots = 3;
constexpr duration busy = milliseconds(20);
constexpr double counter_share = 0.3;  // of the capacity
constexpr double overload = 2;
constexpr duration fault_after = seconds(2);
constexpr duration drain_time = seconds(2);  // after which a draining upstream takes nothing new
constexpr std::string_view drained = "counter-desk-north-0";
constexpr std::string_view leaving = "east-0";

double to_s(duration d) { return std::chrono::duration<double>(d).count(); }

// One service, with counter look-ups and the nightly pull on the same upstreams.
cluster_layout make_layout() {
  cluster_layout layout = make_harrowgate_layout(2);
  layout.services.resize(1);
  service_table& desk = layout.services[0];
  for (auto& row : desk.upstreams) row.slots = slots;
  route_row pull = desk.routes[0];
  pull.name = "catalogue";
  pull.path_prefix = "/catalogue";
  pull.klass = request_class::bulk;
  pull.idempotent = true;
  desk.routes.push_back(pull);
  layout.upstream_settings = R"({"slots":3,"queue":16,"connections":130})";
  return layout;
}

double capacity(const cluster& system) {
  return static_cast<double>(system.upstreams.size() * slots) / to_s(busy);
}

load_plan make_plan(const cluster& system, duration length, double counter_rate, double bulk_rate) {
  load_plan plan = make_harrowgate_plan(system.targets(), length, 1, 1);
  plan.readiness = system.readiness();
  load_class counter = plan.classes[0];
  counter.rate = counter_rate;
  counter.zipf = 0;
  counter.hot_keys = 0;
  counter.busy = busy;
  load_class bulk = counter;
  bulk.name = "bulk";
  bulk.path = "/catalogue/{key}";
  bulk.rate = bulk_rate;
  plan.classes = {counter};
  if (bulk_rate > 0) plan.classes.push_back(bulk);
  return plan;
}

duration counter_p99(const std::vector<load_record>& records, duration span) {
  for (const auto& report : make_reports(records, span)) {
    if (report.name == "counter") return report.p99;
  }
  return duration{0};
}

std::uint64_t count(const std::vector<load_record>& records, load_outcome outcome) {
  return static_cast<std::uint64_t>(
      std::count_if(records.begin(), records.end(),
                    [&](const load_record& record) { return record.outcome == outcome; }));
}

// Complete answers up to the time at which the last request was sent.
std::uint64_t complete_in_time(const std::vector<load_record>& records) {
  duration last{0};
  for (const auto& record : records) last = std::max(last, record.scheduled);
  return static_cast<std::uint64_t>(
      std::count_if(records.begin(), records.end(), [&](const load_record& record) {
        return record.outcome == load_outcome::complete && record.end <= last;
      }));
}

// The first few requests that got no complete answer.
void print_incomplete(const std::vector<load_record>& records) {
  std::size_t left = 5;
  for (const auto& record : records) {
    if (record.outcome == load_outcome::complete) continue;
    std::cout << "    " << load_outcome_name(record.outcome) << ", status " << record.status
              << ", after " << to_s(record.end - record.scheduled) << " s: " << record.detail
              << '\n';
    if (--left == 0) return;
  }
}

// Requests that upstreams refused, by their counters.
std::uint64_t refused_by_upstreams(const cluster& system) {
  std::uint64_t sum = 0;
  for (const auto& [name, upstream] : system.upstreams) {
    const auto text = web_get(upstream.address, "/control/counters");
    if (!text) continue;
    const json::value counters = json::parse(*text);
    for (const auto* counter : {"not_run", "not_owner"}) {
      sum += counters.at(counter).to_number<std::uint64_t>();
    }
  }
  return sum;
}

struct overload_figures {
  double goodput_ratio = 0;
  double counter_p99_ratio = 0;
  double sent_per_asked = 0;
};

result<overload_figures> run_overload(cluster& system, duration length) {
  const double most = capacity(system);
  const auto alone = run_load(make_plan(system, length, most * counter_share, 0));
  const auto runs_before = system.runs();
  if (!runs_before) return runs_before.error();
  const std::uint64_t refused_before = refused_by_upstreams(system);
  load_plan plan =
      make_plan(system, length, most * counter_share, most * (overload - counter_share));
  plan.seed = 2;
  const auto records = run_load(plan);
  const auto runs = system.runs();
  if (!runs) return runs.error();
  std::cout << "alone:\n" << format_table(make_reports(alone, length));
  std::cout << "twofold overload:\n" << format_table(make_reports(records, length));
  overload_figures figures;
  figures.goodput_ratio = static_cast<double>(complete_in_time(records)) / (most * to_s(length));
  figures.counter_p99_ratio =
      to_s(counter_p99(records, length)) / std::max(1e-6, to_s(counter_p99(alone, length)));
  const std::uint64_t sent =
      runs->size() - runs_before->size() + refused_by_upstreams(system) - refused_before;
  figures.sent_per_asked = static_cast<double>(sent) / static_cast<double>(records.size());
  return figures;
}

struct silent_figures {
  duration most{0};
  std::uint64_t not_complete = 0;
};

// All open connections to upstreams go silent at once.
result<silent_figures> run_silent_burst(cluster& system, duration length) {
  load_plan plan = make_plan(system, length, capacity(system) * counter_share, 0);
  plan.seed = 3;
  auto load = std::async(std::launch::async, [&plan] { return run_load(plan); });
  std::this_thread::sleep_for(fault_after);
  std::optional<error> bad;
  for (const auto& [name, upstream] : system.upstreams) {
    const json::object fault{{"route", name}, {"mode", "forget"}, {"connections", "existing"}};
    if (!bad) bad = system.set_relay_fault(json::serialize(fault));
  }
  const auto records = load.get();
  if (bad) return *bad;
  const auto reports = make_reports(records, length);
  std::cout << "silent connections:\n" << format_table(reports);
  print_incomplete(records);
  return silent_figures{reports.back().most,
                        records.size() - count(records, load_outcome::complete)};
}

struct drain_figures {
  std::uint64_t cut_off = 0;
  std::uint64_t late_work = 0;  // runs at the draining upstream that began too late
};

// An upstream drains by its row, and an entry instance leaves.
result<drain_figures> run_drain(cluster& system, duration length) {
  load_plan plan = make_plan(system, length, capacity(system) * counter_share, 0);
  plan.seed = 4;
  auto load = std::async(std::launch::async, [&plan] { return run_load(plan); });
  std::this_thread::sleep_for(fault_after);
  const duration begun = monotonic_now().time_since_epoch();
  auto bad = edit_table(system.platform_address, "demo", service_id{"counter-desk"},
                        [](service_table& declared) {
                          for (auto& row : declared.upstreams) {
                            if (row.name.value == drained) row.state = upstream_state::drain;
                          }
                        });
  if (!bad) bad = system.list_instances(std::string(leaving));
  system.entries.at(std::string(leaving)).process->signal(SIGTERM);
  const auto records = load.get();
  if (bad) return *bad;
  std::cout << "drain and leave:\n" << format_table(make_reports(records, length));
  print_incomplete(records);
  drain_figures figures;
  figures.cut_off = records.size() - count(records, load_outcome::complete);
  const auto runs = system.runs();
  if (!runs) return runs.error();
  for (const auto& run : *runs) {
    if (run.upstream == drained && run.start > begun + drain_time) ++figures.late_work;
  }
  return figures;
}

int run(int argc, char** argv) {
  TCLAP::CmdLine command("Overload of real processes.", ' ', PLANTAINPADDLE_VERSION);
  TCLAP::ValueArg<int> length("s", "seconds", "length of each part", false, 8, "N", command);
  TCLAP::SwitchArg dispatcher("d", "dispatcher", "requests pass through dispatchers", command);
  command.parse(argc, argv);
  const std::string bin = program_folder(argv[0]);
  const std::string folder = make_log_folder();
  if (folder.empty()) return 1;
  std::cout << "logs in " << folder << '\n';
  const duration span = seconds(length.getValue());
  cluster_layout layout = make_layout();
  if (dispatcher.getValue()) layout.services[0].service.dispatch = dispatch_mode::dispatcher;
  const auto fail = [](const error& e) {
    std::cerr << to_string(e) << '\n';
    return 1;
  };
  const auto plain = cluster::start(layout, bin, folder + "/plain");
  if (!plain) return fail(plain.error());
  const auto loaded = run_overload(**plain, span);
  if (!loaded) return fail(loaded.error());
  const auto drains = run_drain(**plain, span);
  if (!drains) return fail(drains.error());
  layout.relayed_upstreams = true;
  const auto relayed = cluster::start(layout, bin, folder + "/relayed");
  if (!relayed) return fail(relayed.error());
  const auto silent = run_silent_burst(**relayed, span);
  if (!silent) return fail(silent.error());
  std::cout << json::serialize(json::object{{"goodput_ratio", loaded->goodput_ratio},
                                            {"counter_p99_ratio", loaded->counter_p99_ratio},
                                            {"sent_per_asked", loaded->sent_per_asked},
                                            {"cut_off", drains->cut_off},
                                            {"late_work", drains->late_work},
                                            {"silent_max_s", to_s(silent->most)},
                                            {"silent_not_complete", silent->not_complete}})
            << std::endl;
  return 0;
}

}  // namespace
}  // namespace plantainpaddle

int main(int argc, char** argv) {
  return plantainpaddle::run_bench(argc, argv, plantainpaddle::run);
}
