// Blocking reads and writes of the platform's store by benches: the records as the system left
// them.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "base/error.h"
#include "ownership/cell_record.h"
#include "ownership/range_record.h"
#include "table/rows.h"

namespace plantainpaddle {

struct store_view {
  std::map<service_id, service_table> tables;
  std::map<cell_id, cell_record> cells;
};

result<store_view> read_store(const std::string& address, const std::string& cluster_name);

// The owners of a service's numbered keys, where upstreams register themselves.
result<range_record> read_ranges(const std::string& address, const service_id& service);

// Changes one service's table by compare-and-swap, as an operator would; gives up after a few
// conflicts.
std::optional<error> edit_table(const std::string& address, const std::string& cluster_name,
                                const service_id& service,
                                const std::function<void(service_table&)>& edit);

}  // namespace plantainpaddle
