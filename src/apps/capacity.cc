#include "apps/capacity.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <cmath>
#include <functional>
#include <iomanip>
#include <sstream>

#include "base/json.h"
#include "ownership/cell_record.h"

namespace plantainpaddle {
namespace {

namespace json = boost::json;

constexpr std::size_t max_measurement_bytes = 4 << 20;
constexpr std::string_view begin_marker = "<!-- tables: begin -->\n";
constexpr std::string_view end_marker = "<!-- tables: end -->\n";

// Budgets of the letter, per node.
constexpr double control_cpu_budget_percent = 3.2;
constexpr double control_bytes_budget = 18'000;
constexpr double control_memory_budget_mb = 32;
// Of the whole fleet, of the store.
constexpr double store_writes_budget = 300;
constexpr double store_reads_budget = 2000;

// Sizes of what is stored and sent, from the formats.
constexpr double record_bytes_per_shard = 14;  // "[65535,15,123],"
constexpr double record_head_bytes = 400;      // names of assigner, standbys and upstreams
constexpr double table_bytes_per_upstream = 150;
constexpr double seconds_per_day = 86400;
constexpr double watchers_per_domain = 2;
// Of the most loaded instance: cells fall on instances by hash, so that some get several.
constexpr double most_cells_per_instance = 4;

result<const json::object*> object_at(const json::value& value, std::string_view name) {
  const auto* object = value.if_object();
  const auto* member = object == nullptr ? nullptr : object->if_contains(name);
  if (member == nullptr || !member->is_object()) {
    return error{errc::bad_input, step::settings, "",
                 "measurement lacks \"" + std::string(name) + "\""};
  }
  return &member->as_object();
}

double number_at(const json::object& object, std::string_view name) {
  const auto* member = object.if_contains(name);
  boost::system::error_code code;
  return member == nullptr ? 0 : member->to_number<double>(code);
}

result<linear_fit> fit_of(const json::value& control, std::string_view series,
                          const std::string& column) {
  const auto part = object_at(control, series);
  if (!part) return part.error();
  const auto* fits = (*part)->if_contains("fit");
  if (fits == nullptr) {
    return error{errc::bad_input, step::settings, "", std::string(series) + " lacks \"fit\""};
  }
  const auto fit = object_at(*fits, column);
  if (!fit) return fit.error();
  return linear_fit{number_at(**fit, "base"), number_at(**fit, "slope")};
}

result<control_fits> fits_of(const json::value& control, const std::string& column) {
  control_fits fits;
  const std::pair<std::string_view, linear_fit*> parts[] = {{"upstreams", &fits.upstreams},
                                                            {"cells", &fits.cells},
                                                            {"instances", &fits.instances},
                                                            {"shards", &fits.shards},
                                                            {"changes", &fits.changes}};
  for (const auto& [series, target] : parts) {
    const auto fit = fit_of(control, series, column);
    if (!fit) return fit.error();
    *target = *fit;
  }
  return fits;
}

std::optional<error> read_path(const json::value& path, capacity_slopes& slopes) {
  const auto* rows = path.is_object() ? path.as_object().if_contains("rows") : nullptr;
  if (rows == nullptr || !rows->is_array()) {
    return error{errc::bad_input, step::settings, "", "path measurement lacks \"rows\""};
  }
  for (const auto& item : rows->as_array()) {
    const auto* row = item.if_object();
    const auto* name = row == nullptr ? nullptr : row->if_contains("path");
    if (name == nullptr || !name->is_string()) continue;
    if (name->as_string() == "router") slopes.path_cpu_us = number_at(*row, "cpu_us");
    if (name->as_string() == "dispatcher") slopes.hop_cpu_us = number_at(*row, "cpu_us");
  }
  slopes.path_added_p99_ms = number_at(path.as_object(), "worst_added_p99_us") / 1000;
  const auto memory = object_at(path, "memory");
  if (!memory) return memory.error();
  slopes.active_connection_bytes = number_at(**memory, "active_bytes");
  return std::nullopt;
}

// What follows from a size without any measurement.
struct derived {
  double entries = 0;
  double upstreams = 0;
  double upstreams_per_service_domain = 0;
  double cells = 0;
  double cells_per_entry = 0;
  double shards = 0;
  double shards_per_cell = 0;
  double keys_per_shard = 0;
  double record_bytes = 0;
  double table_bytes = 0;
  double requests_per_entry = 0;
  double requests_per_upstream = 0;
  double changes_per_s = 0;
  double record_writes_per_s = 0;  // restarts and failures of both kinds, and hot keys
};

derived derive(const capacity_size& size) {
  derived d;
  d.entries = std::round(size.nodes * size.entry_share);
  d.upstreams = size.nodes - d.entries;
  d.upstreams_per_service_domain = d.upstreams / (size.services * size.domains);
  const double cells_each =
      std::ceil(d.upstreams_per_service_domain / static_cast<double>(max_cell_upstreams));
  d.cells = cells_each * size.services * size.domains;
  d.cells_per_entry = d.cells / d.entries;
  const double wanted = d.upstreams * size.shards_per_upstream / size.services;
  d.shards = std::exp2(std::round(std::log2(wanted))) * size.services;
  d.shards_per_cell = d.shards / d.cells;
  d.keys_per_shard = size.keys / d.shards;
  d.record_bytes = record_head_bytes + d.shards_per_cell * record_bytes_per_shard;
  d.table_bytes = d.upstreams / size.services * table_bytes_per_upstream;
  d.requests_per_entry = size.requests_per_s / d.entries;
  d.requests_per_upstream = size.requests_per_s / d.upstreams;
  d.changes_per_s = size.changes_per_day / seconds_per_day;
  // An upstream that goes and comes back: a write for the loss and about one a plan for the return.
  // An entry instance: the cells that name it as assigner or standby.
  const double events = (size.failures_per_day + size.restarts_per_day) / seconds_per_day;
  const double roles_per_entry = d.cells_per_entry * static_cast<double>(max_standbys);
  d.record_writes_per_s =
      events * (d.upstreams / size.nodes * 4 + d.entries / size.nodes * roles_per_entry * 2) +
      size.hot_keys / size.hot_key_period_s;
  return d;
}

struct node_load {
  double cpu_percent = 0;
  double bytes_per_s = 0;
  double memory_mb = 0;
};

// Of an instance that assigns `cells` cells of 16 upstreams. A base holds what an instance without
// cells does; the slope per upstream is taken from the most loaded instance, which was the
// assigner.
node_load control_load(const capacity_slopes& s, const derived& d, double cells) {
  const auto of = [&](const control_fits& fits) {
    const double idle = std::max(0.0, fits.upstreams.base);
    const double per_cell =
        std::max(0.0, fits.upstreams.slope) * static_cast<double>(max_cell_upstreams);
    const double changes = std::max(0.0, fits.changes.slope) * d.changes_per_s;
    return idle + per_cell * cells + changes;
  };
  node_load load;
  load.cpu_percent = of(s.cpu_percent);
  load.bytes_per_s = of(s.bytes_per_s);
  // Each value is pushed once to each instance of its domain, changed tables and records alike.
  load.bytes_per_s += d.changes_per_s * d.table_bytes + d.record_writes_per_s * d.record_bytes;
  load.memory_mb = std::max(s.resident_mb.upstreams.base, 0.0) +
                   std::max(0.0, s.resident_mb.shards.slope) * d.shards +
                   (d.cells * d.record_bytes + d.table_bytes * 12) * 3 / 1e6;
  return load;
}

std::string number(double value, int digits = 1) {
  std::ostringstream out;
  if (std::abs(value) >= 1e6) {
    out << std::setprecision(3) << value / 1e6 << " M";
  } else if (std::abs(value) >= 1000) {
    out << std::fixed << std::setprecision(0) << value;
  } else {
    out << std::fixed << std::setprecision(digits) << value;
  }
  return out.str();
}

std::string verdict(double value, double budget) {
  return value <= budget ? "holds" : "**does not hold**";
}

void write_sizes(std::ostringstream& out, const capacity_size& size, const derived& d) {
  out << "### What follows from the size\n\n| quantity | value | from |\n|---|---:|---|\n"
      << "| entry instances | " << number(d.entries, 0)
      << " | assumption: " << size.entry_share * 100 << " % of the nodes |\n"
      << "| upstreams | " << number(d.upstreams, 0) << " | the rest |\n"
      << "| services | " << number(size.services, 0) << " | assumption |\n"
      << "| cells | " << number(d.cells, 0) << " | " << max_cell_upstreams
      << " upstreams each, per service and failure domain |\n"
      << "| cells per entry instance | " << number(d.cells_per_entry, 2) << " on average, "
      << number(most_cells_per_instance, 0) << " at most by hash | |\n"
      << "| shards | " << number(d.shards, 0) << " | " << number(size.shards_per_upstream, 0)
      << " per upstream (assumption), powers of two |\n"
      << "| keys per shard | " << number(d.keys_per_shard, 0) << " | nothing is stored per key |\n"
      << "| cell record, bytes | " << number(d.record_bytes, 0) << " | "
      << number(record_bytes_per_shard, 0) << " a shard; the store takes 1 MB |\n"
      << "| table value of a service, bytes | " << number(d.table_bytes, 0) << " | "
      << number(table_bytes_per_upstream, 0) << " an upstream row |\n"
      << "| requests/s per entry instance | " << number(d.requests_per_entry, 0) << " | |\n"
      << "| requests/s per upstream | " << number(d.requests_per_upstream, 0) << " | |\n"
      << "| table changes/s | " << number(d.changes_per_s, 3) << " | |\n"
      << "| record writes/s | " << number(d.record_writes_per_s, 3)
      << " | failures, restarts, hot keys |\n\n";
}

void write_control(std::ostringstream& out, const capacity_slopes& s, const derived& d) {
  out << "### Control, per entry instance\n\n"
      << "| instance | cells assigned | processor, % of a core | bytes/s | memory, MB "
         "|\n|---|---:|---:|---:|---:|\n";
  const std::pair<const char*, double> rows[] = {{"without a cell", 0},
                                                 {"average", d.cells_per_entry},
                                                 {"one cell", 1},
                                                 {"most loaded", most_cells_per_instance}};
  node_load worst;
  for (const auto& [name, cells] : rows) {
    const auto load = control_load(s, d, cells);
    out << "| " << name << " | " << number(cells, 2) << " | " << number(load.cpu_percent, 2)
        << " | " << number(load.bytes_per_s, 0) << " | " << number(load.memory_mb, 1) << " |\n";
    worst = load;
  }
  out << "| budget | | " << control_cpu_budget_percent << " | " << number(control_bytes_budget, 0)
      << " | " << number(control_memory_budget_mb, 0) << " |\n| most loaded | | "
      << verdict(worst.cpu_percent, control_cpu_budget_percent) << " | "
      << verdict(worst.bytes_per_s, control_bytes_budget) << " | "
      << verdict(worst.memory_mb, control_memory_budget_mb) << " |\n\n";
}

void write_today(std::ostringstream& out, const capacity_slopes& s) {
  const double instances = 12;
  out << "### Today beside it: 12 instances, 3 failure domains, 3 services\n\n"
      << "| quantity | today |\n|---|---:|\n| cells | 9 |\n"
      << "| processor of the most loaded, % of a core | "
      << number(s.cpu_percent.instances.at(instances), 2) << " (one service measured) |\n"
      << "| bytes/s of the most loaded | " << number(s.bytes_per_s.instances.at(instances), 0)
      << " (one service measured) |\n"
      << "| memory, MB | " << number(s.resident_mb.instances.at(instances), 1) << " |\n\n";
}

void write_store(std::ostringstream& out, const capacity_size& size, const derived& d) {
  const double watches = size.domains * watchers_per_domain;
  const double writes = d.changes_per_s + d.record_writes_per_s;
  out << "### The platform's store, whole fleet\n\n| calls | per second | budget | "
         "|\n|---|---:|---:|---|\n"
      << "| writes on an ordinary day | " << number(writes, 2) << " | "
      << number(store_writes_budget, 0) << " | " << verdict(writes, store_writes_budget) << " |\n"
      << "| waiting watches | " << number(watches, 0) << " | " << number(store_reads_budget, 0)
      << " | " << verdict(watches, store_reads_budget) << " |\n"
      << "| reads for rights, standbys answering | 0 | | standbys first |\n"
      << "| reads for rights, no standby answers anywhere | " << number(d.cells * 4, 0) << " | "
      << number(store_reads_budget, 0) << " | " << verdict(d.cells * 4, store_reads_budget)
      << " |\n"
      << "| a failure domain lost: record writes in all | " << number(d.cells / size.domains * 2, 0)
      << " | | one term and one batch of moves a cell (`move`) |\n"
      << "| the same within 1 s | " << number(d.cells / size.domains * 2, 0) << " | "
      << number(store_writes_budget, 0) << " | "
      << verdict(d.cells / size.domains * 2, store_writes_budget) << " |\n"
      << "| store back after an outage: whole-state reads | " << number(watches, 0) << " | "
      << number(store_reads_budget, 0) << " | watchers only |\n"
      << "| a roll-out restarts all entry instances in an hour: writes | "
      << number(d.cells * (1 + static_cast<double>(max_standbys)) / 3600, 2) << " | "
      << number(store_writes_budget, 0) << " | " << verdict(d.cells * 4 / 3600, store_writes_budget)
      << " |\n\n";
}

void write_path(std::ostringstream& out, const capacity_slopes& s, const capacity_size& size,
                const derived& d) {
  const double direct = d.requests_per_entry * s.path_cpu_us / 1e6;
  const double hop = d.requests_per_entry * s.hop_cpu_us / 1e6;
  out << "### Data path, per entry instance\n\n| quantity | value | from |\n|---|---:|---|\n"
      << "| processor per request, direct, microseconds | " << number(s.path_cpu_us, 1)
      << " | path.json |\n"
      << "| processor per request with the hop, both instances, microseconds | "
      << number(s.hop_cpu_us, 1) << " | path.json |\n"
      << "| cores per entry instance, direct | " << number(direct, 2) << " | "
      << number(d.requests_per_entry, 0) << " requests/s |\n"
      << "| cores per entry instance, all through a dispatcher | " << number(hop, 2) << " | |\n"
      << "| upstream connections per entry instance, direct, one each | "
      << number(d.upstreams / size.domains, 0) << " | upstreams of its domain |\n"
      << "| connections at an upstream, direct, one from each instance of its domain | "
      << number(d.entries / size.domains, 0) << " | of 120 to 130 |\n"
      << "| upstreams per dispatcher | " << number(d.upstreams / d.entries, 1)
      << " | one dispatcher an upstream |\n"
      << "| memory per active connection, KB | " << number(s.active_connection_bytes / 1000, 1)
      << " | path.json |\n\n";
  const double added = s.path_added_p99_ms;
  const double crossing = 0.5;
  out << "### The 17 ms at p99, summed over the path\n\n| step | ms | from |\n|---|---:|---|\n"
      << "| caller to entry instance and back | 8.0 | the brief's largest distance |\n"
      << "| router, added p99 at half load, with the hop | " << number(added, 2)
      << " | path.json |\n"
      << "| to another failure domain and back, twice | " << number(2 * crossing, 1)
      << " | the brief: half a millisecond apart |\n"
      << "| left for queue and upstream | " << number(17 - 8 - added - 2 * crossing, 1)
      << " | 17 less the others |\n\n";
}

void write_recovery(std::ostringstream& out, const capacity_slopes& s) {
  out << "### The 2 s to be served again, summed over the steps\n\n| step | ms | from "
         "|\n|---|---:|---|\n"
      << "| last renewal before the loss until its grant has surely lapsed | 1100 | 1000 ms, 5 % "
         "and 50 ms of margin (ownership/timing.h) |\n"
      << "| write of the record | 5 | the brief: the store answers in milliseconds |\n"
      << "| grant to the new owner, one exchange | 1 | |\n"
      << "| push to the instances of the domain, passed on once | 2 | |\n"
      << "| pause of a waiting request until it is sent again | 20 | |\n"
      << "| sum, upstream lost | 1128 | |\n"
      << "| with its assigner lost together: suspicion, telling, right and margin first | 600 + "
         "995 + grant | the two waits overlap the lapse |\n"
      << "| measured at today's sizes, p99 | " << number(s.served_again_p99_s * 1000, 0)
      << " | failover.json |\n\n";
}

void write_sensitivity(std::ostringstream& out, const capacity_slopes& s) {
  out << "### Sensitivity to the assumptions\n\n"
      << "| entry share | services | shards per upstream | entry instances | cells | cores for "
         "traffic | bytes/s, one cell | bytes/s, most loaded |\n"
      << "|---:|---:|---:|---:|---:|---:|---:|---:|\n";
  for (const double share : {0.1, 0.2, 0.4}) {
    for (const double services : {6.0, 12.0, 24.0}) {
      for (const double shards : {32.0, 128.0}) {
        capacity_size size;
        size.entry_share = share;
        size.services = services;
        size.shards_per_upstream = shards;
        const derived d = derive(size);
        out << "| " << share << " | " << services << " | " << shards << " | "
            << number(d.entries, 0) << " | " << number(d.cells, 0) << " | "
            << number(d.requests_per_entry * s.path_cpu_us / 1e6, 2) << " | "
            << number(control_load(s, d, 1).bytes_per_s, 0) << " | "
            << number(control_load(s, d, most_cells_per_instance).bytes_per_s, 0) << " |\n";
      }
    }
  }
  out << "\n";
}

}  // namespace

result<capacity_slopes> parse_slopes(std::string_view control_json, std::string_view path_json,
                                     std::string_view failover_json) {
  const auto control = parse_json(control_json, step::settings, max_measurement_bytes);
  if (!control) return control.error();
  const auto path = parse_json(path_json, step::settings, max_measurement_bytes);
  if (!path) return path.error();
  const auto failover = parse_json(failover_json, step::settings, max_measurement_bytes);
  if (!failover) return failover.error();
  capacity_slopes slopes;
  const std::pair<const char*, control_fits*> columns[] = {
      {"most_cpu_percent", &slopes.cpu_percent},
      {"most_bytes_per_s", &slopes.bytes_per_s},
      {"most_messages_per_s", &slopes.messages_per_s},
      {"most_resident_mb", &slopes.resident_mb}};
  for (const auto& [name, target] : columns) {
    auto fits = fits_of(*control, name);
    if (!fits) return fits.error();
    *target = *fits;
  }
  if (const auto failed = read_path(*path, slopes)) return *failed;
  if (!failover->is_object()) {
    return error{errc::bad_input, step::settings, "", "failover measurement is not an object"};
  }
  slopes.served_again_p99_s = number_at(failover->as_object(), "served_again_p99_s");
  return slopes;
}

std::string format_capacity(const capacity_slopes& slopes) {
  const capacity_size size;
  const derived d = derive(size);
  std::ostringstream out;
  write_sizes(out, size, d);
  write_control(out, slopes, d);
  write_today(out, slopes);
  write_store(out, size, d);
  write_path(out, slopes, size, d);
  write_recovery(out, slopes);
  write_sensitivity(out, slopes);
  return out.str();
}

result<std::string> replace_tables(std::string_view page, std::string_view tables) {
  const auto begin = page.find(begin_marker);
  const auto end = page.find(end_marker);
  if (begin == std::string_view::npos || end == std::string_view::npos || end < begin) {
    return error{errc::bad_input, step::settings, "", "the page has no markers for its tables"};
  }
  std::string made(page.substr(0, begin + begin_marker.size()));
  made += tables;
  made += page.substr(end);
  return made;
}

}  // namespace plantainpaddle
