// The layout of a service: the upstreams of each failure domain in cells of at most
// max_cell_upstreams, and the shards divided between the cells by weight.
//
//   service_layout layout = make_layout(declared);
//   if (auto next = advance_layout(layout, declared, records, lost, 8)) write(*next);
//
// A shard changes cells in three writes, so that it never belongs to two:
//
//   1. The layout names the next cell.
//   2. The old cell's record releases the shard, after its upstream has released it.
//   3. The layout gives the shard to the next cell, with a higher fence.
//
// After a crash at any step the move continues from the stored layout and records alone.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "ownership/cell_record.h"
#include "table/rows.h"

namespace plantainpaddle {

// Returns the cell of an upstream. The upstreams of a domain fill its cells in the order of the
// table, max_cell_upstreams each. Takes O(upstreams).
cell_id cell_of(const service_table& declared, const upstream_row& upstream);

// Returns the first layout of a service, of revision 1. It has no cells and no shards if the
// declared weights add up to 0.
service_layout make_layout(const service_table& declared);

// Returns the shards that belong to a cell, leaving ones included, each with the lowest fence that
// the cell may use for it.
std::vector<shard_grant> home_shards(const service_layout& layout, const cell_id& cell);

// Returns the shards that a cell has to release to another one.
std::vector<shard_id> leaving_shards(const service_layout& layout, const cell_id& cell);

// Returns the layout's next revision on the way to the declared upstreams, or nullopt if no step
// can be taken now. New cells are appended, released shards go to their next cell, and further
// moves are started while fewer than move_limit shards are moving. The shards of a cell in `lost`,
// which an operator's row declares lost for good, move without waiting for their release. A cell
// without a record counts as having released nothing, even if it is lost.
std::optional<service_layout> advance_layout(const service_layout& layout,
                                             const service_table& declared,
                                             const std::map<cell_id, cell_record>& records,
                                             const std::set<cell_id>& lost, std::size_t move_limit);

}  // namespace plantainpaddle
