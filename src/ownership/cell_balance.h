// Which shards should change cells so that the cells of a service carry equal load by weight.
//
//   auto moves = plan_cell_moves(layout, declared, load, settings);
//   for (auto& move : moves) layout.shards[move.shard.value].next = move.cell;
//
// The steps of each move are those of layout.h. Where loads are known this takes the place of the
// balance by number of shards in advance_layout: the two would undo each other's moves.
#pragma once

#include <map>
#include <vector>

#include "ownership/layout.h"

namespace plantainpaddle {

struct cell_balance_settings {
  double hysteresis = 0.04;       // excess load of a cell below which nothing is moved
  std::uint32_t move_limit = 16;  // most shards under way at once
  duration load_window = seconds(60);
  duration move_wait = milliseconds(100);
};

struct cell_move {
  shard_id shard;
  std::uint32_t cell = 0;  // index into the layout's cells
  bool operator==(const cell_move&) const = default;
};

// load: requests per second, smoothed. Cells without an active upstream get nothing. Costs as
// plan_moves with the cells as upstreams.
std::vector<cell_move> plan_cell_moves(const service_layout& layout, const service_table& declared,
                                       const std::map<shard_id, double>& load,
                                       const cell_balance_settings& settings);

}  // namespace plantainpaddle
