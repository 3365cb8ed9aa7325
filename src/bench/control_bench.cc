// Processor time, messages, bytes and memory of the control part of entry instances, as real
// processes, against the number of upstreams, cells, instances, shards and table changes. Prints a
// table and, as its last line, a JSON object with the points and the fitted slopes.
//
// Usage: control_bench [--seconds N] [--quick]

#include <tclap/CmdLine.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <filesystem>
#include <iostream>
#include <thread>

#include "base/json.h"
#include "entry/state_cache.h"
#include "harness/bench.h"
#include "harness/cluster.h"
#include "platform/store_client.h"
#include "table/parse.h"

namespace plantainpaddle {
namespace {

namespace json = boost::json;

constexpr std::size_t max_status_bytes = 8 << 20;

struct shape {
  std::uint32_t domains = 1;
  std::uint32_t entries = 3;  // in each domain
  std::uint32_t services = 1;
  std::uint32_t upstreams = 4;  // of each service in each domain
  std::uint32_t shards = 64;    // of each service
  double changes = 0;           // table changes a second
};

struct usage {
  double cpu_percent = 0;  // of a core
  double bytes = 0;        // a second, both directions
  double messages = 0;     // a second, both directions
  double resident_mb = 0;
};

struct point {
  shape at;
  usage mean;
  usage most;
};

service_table service_of(const shape& at, std::uint32_t number) {
  service_table declared;
  const std::string name = "s" + std::to_string(number);
  declared.service.name.value = name;
  declared.service.shards = at.shards;
  for (std::uint32_t d = 0; d < at.domains; ++d) {
    for (std::uint32_t u = 0; u < at.upstreams; ++u) {
      upstream_row row;
      row.domain.value = "d" + std::to_string(d);
      row.name.value = name + "-" + row.domain.value + "-" + std::to_string(u);
      declared.upstreams.push_back(std::move(row));
    }
  }
  declared.routes.push_back({.name = "all",
                             .host = name,
                             .path_prefix = "/",
                             .key_from = key_source::path_segment,
                             .key_name = "0"});
  return declared;
}

cluster_layout layout_of(const shape& at) {
  cluster_layout layout;
  layout.domains.clear();
  for (std::uint32_t d = 0; d < at.domains; ++d) layout.domains.push_back("d" + std::to_string(d));
  layout.entries_per_domain = at.entries;
  for (std::uint32_t s = 0; s < at.services; ++s) layout.services.push_back(service_of(at, s));
  return layout;
}

// What an entry instance has used since its start.
struct sample {
  double cpu_us = 0;
  double bytes = 0;
  double messages = 0;
};

std::optional<sample> read_sample(const cluster& system, const std::string& entry) {
  const auto status = parse_json(system.status(entry), step::read_answer, max_status_bytes);
  if (!status) return std::nullopt;
  const auto& control = status->at("control").as_object();
  const auto number = [&](std::string_view name) { return control.at(name).to_number<double>(); };
  return sample{number("cpu_us"), number("bytes_sent") + number("bytes_received"),
                number("messages_sent") + number("messages_received")};
}

// Writes the first service's table again, with the next revision. Others' writes don't matter here.
void change_table(const std::string& platform) {
  boost::asio::io_context io(1);
  store_client store(io.get_executor(), {{platform}});
  const std::string key = state_cache(std::string(cluster_name)).keys().table({"s0"});
  store.get(key, [&](const result<std::optional<stored_value>>& found) {
    if (!found || !*found) return;
    auto declared = parse_service_table((*found)->value);
    if (!declared) return;
    ++declared->revision.value;
    store.compare_and_swap(key, (*found)->version, format_service_table(*declared),
                           [](const result<swap_answer>&) {});
  });
  io.run();
}

point measure(cluster& system, const shape& at, duration span) {
  std::map<std::string, std::optional<sample>> before;
  for (const auto& [name, entry] : system.entries) before[name] = read_sample(system, name);
  const monotonic_time start = monotonic_now();
  const auto elapsed = [&] {
    return std::chrono::duration<double>(monotonic_now() - start).count();
  };
  double changed = 0;
  while (monotonic_now() < start + span) {
    if (elapsed() * at.changes > changed) {
      change_table(system.platform_address);
      ++changed;
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  const double total = elapsed();
  point made{at, {}, {}};
  for (auto& [name, entry] : system.entries) {
    const auto after = read_sample(system, name);
    if (!before[name] || !after) continue;
    const usage used{(after->cpu_us - before[name]->cpu_us) / total / 1e4,
                     (after->bytes - before[name]->bytes) / total,
                     (after->messages - before[name]->messages) / total,
                     static_cast<double>(entry.process->resident_bytes()) / 1e6};
    const double share = 1.0 / static_cast<double>(system.entries.size());
    made.mean.cpu_percent += used.cpu_percent * share;
    made.mean.bytes += used.bytes * share;
    made.mean.messages += used.messages * share;
    made.mean.resident_mb += used.resident_mb * share;
    made.most.cpu_percent = std::max(made.most.cpu_percent, used.cpu_percent);
    made.most.bytes = std::max(made.most.bytes, used.bytes);
    made.most.messages = std::max(made.most.messages, used.messages);
    made.most.resident_mb = std::max(made.most.resident_mb, used.resident_mb);
  }
  return made;
}

std::optional<point> run_shape(const shape& at, const std::string& programs, duration span) {
  const std::string folder = make_log_folder();
  if (folder.empty()) return std::nullopt;
  std::optional<point> made;
  if (auto system = cluster::start(layout_of(at), programs, folder)) {
    made = measure(**system, at, span);
  } else {
    std::cout << to_string(system.error()) << '\n';
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder, ignored);
  return made;
}

// What grows, with how to make a shape of that size.
struct series {
  std::string name;
  std::vector<double> sizes;
  shape (*at)(double size);
};

const std::vector<series>& all_series() {
  static const std::vector<series> all{
      {"upstreams",
       {2, 4, 8, 16},
       [](double n) { return shape{1, 3, 1, static_cast<std::uint32_t>(n), 64, 0}; }},
      {"cells",
       {1, 2, 4, 8},
       [](double n) { return shape{1, 3, static_cast<std::uint32_t>(n), 4, 64, 0}; }},
      {"instances",
       {3, 6, 12, 24},
       [](double n) { return shape{3, static_cast<std::uint32_t>(n) / 3, 1, 4, 64, 0}; }},
      {"shards",
       {64, 256, 1024, 4096},
       [](double n) { return shape{1, 3, 1, 4, static_cast<std::uint32_t>(n), 0}; }},
      {"changes", {0, 1, 2, 4}, [](double n) { return shape{1, 3, 1, 4, 64, n}; }},
  };
  return all;
}

// Least squares: value = base + slope * size.
struct line {
  double base = 0;
  double slope = 0;
};

line fit(const std::vector<double>& sizes, const std::vector<double>& values) {
  const auto n = static_cast<double>(sizes.size());
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    sx += sizes[i];
    sy += values[i];
    sxx += sizes[i] * sizes[i];
    sxy += sizes[i] * values[i];
  }
  const double divisor = n * sxx - sx * sx;
  const double slope = divisor == 0 ? 0 : (n * sxy - sx * sy) / divisor;
  return {(sy - slope * sx) / n, slope};
}

json::object to_json(const line& l) { return {{"base", l.base}, {"slope", l.slope}}; }

json::object to_json(const usage& u) {
  return {{"cpu_percent", u.cpu_percent},
          {"bytes_per_s", u.bytes},
          {"messages_per_s", u.messages},
          {"resident_mb", u.resident_mb}};
}

json::object summarize(const series& what, const std::vector<point>& points) {
  json::object out;
  json::array listed;
  std::map<std::string, std::vector<double>> columns;
  for (std::size_t i = 0; i < points.size(); ++i) {
    listed.push_back(json::object{{"size", what.sizes[i]},
                                  {"mean", to_json(points[i].mean)},
                                  {"most", to_json(points[i].most)}});
    columns["mean_cpu_percent"].push_back(points[i].mean.cpu_percent);
    columns["mean_bytes_per_s"].push_back(points[i].mean.bytes);
    columns["mean_messages_per_s"].push_back(points[i].mean.messages);
    columns["mean_resident_mb"].push_back(points[i].mean.resident_mb);
    columns["most_cpu_percent"].push_back(points[i].most.cpu_percent);
    columns["most_bytes_per_s"].push_back(points[i].most.bytes);
    columns["most_messages_per_s"].push_back(points[i].most.messages);
    columns["most_resident_mb"].push_back(points[i].most.resident_mb);
  }
  json::object slopes;
  const std::vector<double> sizes(what.sizes.begin(),
                                  what.sizes.begin() + static_cast<std::ptrdiff_t>(points.size()));
  for (const auto& [name, values] : columns) slopes[name] = to_json(fit(sizes, values));
  out["points"] = std::move(listed);
  out["fit"] = std::move(slopes);
  return out;
}

int run(const std::string& programs, int span_seconds, std::size_t most_sizes) {
  json::object out;
  bool complete = true;
  std::cout
      << "series      size   cpu%mean  cpu%most  bytes/s mean   most    msgs/s mean  MB most\n";
  for (const auto& what : all_series()) {
    std::vector<point> points;
    for (std::size_t i = 0; i < std::min(most_sizes, what.sizes.size()); ++i) {
      const auto made = run_shape(what.at(what.sizes[i]), programs, seconds(span_seconds));
      if (!made) {
        complete = false;
        break;
      }
      points.push_back(*made);
      const auto& p = points.back();
      std::printf("%-10s %6.0f %9.3f %9.3f %12.0f %8.0f %11.1f %9.1f\n", what.name.c_str(),
                  what.sizes[i], p.mean.cpu_percent, p.most.cpu_percent, p.mean.bytes, p.most.bytes,
                  p.mean.messages, p.most.resident_mb);
      std::fflush(stdout);
    }
    out[what.name] = summarize(what, points);
  }
  out["complete"] = complete;
  std::cout << json::serialize(out) << std::endl;
  return complete ? 0 : 1;
}

int run_from(int argc, char** argv) {
  TCLAP::CmdLine command("Slopes of the control part.", ' ', PLANTAINPADDLE_VERSION);
  TCLAP::ValueArg<int> span("", "seconds", "measured time of each point", false, 6, "N", command);
  TCLAP::SwitchArg quick("", "quick", "two sizes of each series", command);
  command.parse(argc, argv);
  return run(program_folder(argv[0]), span.getValue(), quick.getValue() ? 2 : 4);
}

}  // namespace
}  // namespace plantainpaddle

int main(int argc, char** argv) {
  return plantainpaddle::run_bench(argc, argv, plantainpaddle::run_from);
}
