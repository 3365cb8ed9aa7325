// The layout of a service: cells of at most max_cell_upstreams upstreams in each failure
// domain, and shards divided between them by weight.
//
// A shard changes cells in three writes: the layout names the next cell; the old cell's record
// releases it, once its upstream has; the layout gives it to the next cell with a higher fence.
// What a crash leaves half done goes on from the records alone.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "ownership/cell_record.h"
#include "table/rows.h"

namespace plantainpaddle {

// The cell that an upstream belongs to: its domain's upstreams, in the order of the table, by
// sixteens.
cell_id cell_of(const service_table& declared, const upstream_row& upstream);

service_layout make_layout(const service_table& declared);

// The shards of a cell with the least fence that it may use.
std::vector<shard_grant> home_shards(const service_layout& layout, const cell_id& cell);

// The shards that a cell has to release.
std::vector<shard_id> leaving_shards(const service_layout& layout, const cell_id& cell);

// The layout's next step towards the declared upstreams, nothing if there is none: new cells get a
// place, released shards go to their next cell, and at most move_limit shards are under way. lost:
// cells that an operator's row declares lost for good; their shards aren't waited for. A cell
// without a record has released nothing.
std::optional<service_layout> advance_layout(const service_layout& layout,
                                             const service_table& declared,
                                             const std::map<cell_id, cell_record>& records,
                                             const std::set<cell_id>& lost, std::size_t move_limit);

}  // namespace plantainpaddle
