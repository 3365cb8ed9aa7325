// What is wrong, from what was gathered: the worst first, each with the command that mends it.
//
//   for (const auto& f : find_faults(fleet, tables)) std::cout << f.text << '\n' << f.command;
//
// Pure functions.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "apps/fleet.h"
#include "table/rows.h"

namespace plantainpaddle {

// Most urgent first.
enum class severity {
  outage,    // requests fail now
  degraded,  // requests are served, but the next loss may not be made good
  notice,    // under way or worth knowing
};
std::string_view severity_name(severity s) noexcept;

enum class fault {
  no_instance_answers,
  no_active_upstream,
  domain_without_instances,
  cell_missing,
  cell_without_assigner,
  assigner_without_right,
  shards_without_owner,
  store_unreadable,
  no_instance_list,
  store_unreachable,
  instance_silent,
  upstream_suspected,
  no_standby,
  table_behind,
  queue_nearly_full,
  moves_under_way,
  drain_under_way,
  drain_complete,
  instance_leaving,
  nothing_declared,
};
std::string_view fault_name(fault f) noexcept;  // as in docs/OPERATIONS.md
severity severity_of(fault f) noexcept;

struct finding {
  fault what = fault::no_instance_answers;
  std::string subject;  // instance, cell, service or "service/upstream/name"
  std::string text;     // what is seen, and why
  std::string command;  // what mends it; empty where only waiting does
  bool operator==(const finding&) const = default;
};

// Nothing is worse than a notice. The findings stand worst first.
bool is_well(const std::vector<finding>& findings);

// The newest view of each cell: highest term and revision, the assigner's own before others'.
std::map<cell_id, cell_status> newest_cells(const fleet_view& fleet);

// Sorted by severity, then fault, then subject.
std::vector<finding> find_faults(const fleet_view& fleet, const result<table>& declared);

}  // namespace plantainpaddle
