// The table as people read it: declared values in aligned columns, beside them what is in force.
//
//   std::cout << show_tables(tables, fleet);
#pragma once

#include <boost/json/value.hpp>
#include <string>
#include <vector>

#include "apps/fleet.h"
#include "table/edit.h"

namespace plantainpaddle {

// All services, or those that are named. IN FORCE counts the instances that route by the row as it
// is declared, of those that answered.
std::string show_tables(const table& tables, const fleet_view& fleet);
std::string show_tables_json(const table& tables, const fleet_view& fleet);

std::string show_history(const table& tables);
std::string show_history_json(const table& tables);

// "counter-desk/upstream/desk-1  weight: 1 -> 2" for each changed column; added and removed rows
// with all columns.
std::string show_edits(const service_id& service, const service_table& before,
                       const std::vector<row_edit>& edits);

// Row by row: both values and who wrote theirs.
std::string show_conflicts(const service_id& service, const std::vector<row_conflict>& conflicts);

std::string cell_text(const boost::json::value& cell);  // texts without quotes, numbers plain
std::string show_time(duration since_1970);             // "2026-12-04T05:30:00Z"

}  // namespace plantainpaddle
