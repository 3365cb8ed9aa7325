// Applies plan_moves to cells: each cell is an upstream whose weight is that of its active
// upstreams, and a shard that is moving counts for its next cell. Shards of a cell without active
// upstreams move first. They count against the limit too, since each of their moves takes three
// writes.

#include "ownership/cell_balance.h"

#include <algorithm>

#include "ownership/planner.h"

namespace plantainpaddle {

std::vector<cell_move> plan_cell_moves(const service_layout& layout, const service_table& declared,
                                       const std::map<shard_id, double>& load,
                                       const cell_balance_settings& settings) {
  std::map<cell_id, double> weight;
  for (const auto& upstream : declared.upstreams) {
    if (upstream.state == upstream_state::active) {
      weight[cell_of(declared, upstream)] += upstream.weight;
    }
  }
  plan_input input;
  std::map<upstream_id, std::uint32_t> index;
  for (std::uint32_t c = 0; c < layout.cells.size(); ++c) {
    const upstream_id name{layout.cells[c].value};
    const auto declared_cell = weight.find(layout.cells[c]);
    const double cell_weight = declared_cell == weight.end() ? 0 : declared_cell->second;
    input.upstreams.push_back({name, cell_weight, cell_weight > 0});
    index[name] = c;
  }
  std::uint32_t moving = 0;
  for (std::uint32_t s = 0; s < layout.shards.size(); ++s) {
    const auto& entry = layout.shards[s];
    if (entry.next) ++moving;
    const auto cell = entry.next.value_or(entry.cell);
    input.shards[shard_id{s}] = {upstream_id{layout.cells[cell].value}, entry.least_fence};
  }
  if (moving >= settings.move_limit) return {};
  input.load = load;
  input.move_budget = settings.move_limit - moving;
  input.hysteresis = settings.hysteresis;
  input.load_window = settings.load_window;
  input.move_wait = settings.move_wait;
  input.imbalance_weight = declared.service.imbalance_weight;
  input.churn_weight = declared.service.churn_weight;
  input.unavailable_weight = declared.service.unavailable_weight;
  std::vector<cell_move> moves;
  for (const auto& move : plan_moves(input)) {
    if (moves.size() >= input.move_budget) break;
    if (layout.shards[move.shard.value].next) continue;
    moves.push_back({move.shard, index.at(move.to)});
  }
  return moves;
}

}  // namespace plantainpaddle
