// Decides which shards should change cells so that the load of each cell is in proportion to its
// weight.
//
//   auto moves = plan_cell_moves(layout, declared, load, settings);
//   for (auto& move : moves) layout.shards[move.shard.value].next = move.cell;
//
// Each move takes the steps that layout.h describes. Where loads are known, this replaces the
// balance by number of shards in advance_layout: used together, the two would undo each other's
// moves.
#pragma once

#include <map>
#include <vector>

#include "ownership/layout.h"

namespace plantainpaddle {

struct cell_balance_settings {
  double hysteresis = 0.04;                // excess load up to which nothing is moved for balance
  std::uint32_t move_limit = 16;           // maximum number of shards moving at once
  duration load_window = seconds(60);      // time constant of the load's smoothing
  duration move_wait = milliseconds(100);  // time for which a move makes a shard unavailable
};

struct cell_move {
  shard_id shard;
  std::uint32_t cell = 0;  // index into the layout's cells
  bool operator==(const cell_move&) const = default;
};

// Returns the moves to start now, none if move_limit shards are moving already. `load` gives the
// smoothed requests per second of each shard. Cells without an active upstream get no shards. Takes
// as long as plan_moves with the cells as upstreams, and O(upstreams^2) to find their cells.
std::vector<cell_move> plan_cell_moves(const service_layout& layout, const service_table& declared,
                                       const std::map<shard_id, double>& load,
                                       const cell_balance_settings& settings);

}  // namespace plantainpaddle
