// Capacity at a given size, worked out from measured slopes. Pure: plantainpaddle-capacity reads
// the measurements and prints the tables; docs/CAPACITY.md holds them and a test compares both.
//
//   result<capacity_slopes> slopes = parse_slopes(control_json, path_json, failover_json);
//   std::string tables = format_capacity(*slopes);
#pragma once

#include <string>
#include <string_view>

#include "base/error.h"

namespace plantainpaddle {

struct linear_fit {
  double base = 0;
  double slope = 0;
  double at(double size) const { return base + slope * size; }
  bool operator==(const linear_fit&) const = default;
};

// Of one resource of the control part of an instance, as `bench control` fits it.
struct control_fits {
  linear_fit upstreams;  // of one cell whose assigner the instance is
  linear_fit cells;      // assigned by three instances together, 4 upstreams each
  linear_fit instances;
  linear_fit shards;   // of the service
  linear_fit changes;  // table changes per second
  bool operator==(const control_fits&) const = default;
};

struct capacity_slopes {
  control_fits cpu_percent;
  control_fits bytes_per_s;
  control_fits messages_per_s;
  control_fits resident_mb;
  double path_cpu_us = 0;        // processor time per small request, direct
  double hop_cpu_us = 0;         // the same through the dispatcher's hop, both instances
  double path_added_p99_ms = 0;  // at half load
  double active_connection_bytes = 0;
  double served_again_p99_s = 0;
  bool operator==(const capacity_slopes&) const = default;
};

// The size that the tables are for. The letter's figures and what they leave open.
struct capacity_size {
  double nodes = 2900;
  double entry_share = 0.2;  // assumption: of the nodes
  double keys = 2.4e9;
  double requests_per_s = 24e6;
  double services = 12;  // assumption
  double domains = 6;
  double shards_per_upstream = 64;  // assumption
  double changes_per_day = 11000;
  double failures_per_day = 14;
  double restarts_per_day = 190;
  double hot_keys = 37;
  double hot_key_period_s = 300;  // assumption: all hot keys change within
  bool operator==(const capacity_size&) const = default;
};

result<capacity_slopes> parse_slopes(std::string_view control_json, std::string_view path_json,
                                     std::string_view failover_json);

// The page's tables in Markdown.
std::string format_capacity(const capacity_slopes& slopes);

// The page with the text between the markers replaced by the tables; an error if it has no markers.
result<std::string> replace_tables(std::string_view page, std::string_view tables);

}  // namespace plantainpaddle
