// The first layout gives each cell a run of consecutive shards, in proportion to its weight. Later
// layouts move a shard only if that brings its two cells, taken together, nearer to their shares by
// weight, so few shards move and the moves come to an end.
//
// Cost: O(upstreams^2 + shards), since cell_of counts the upstreams before the given one; a step of
// advance_layout adds O(cells) for each shard, to find the cell that lacks most.

#include "ownership/layout.h"

#include <algorithm>
#include <map>

namespace plantainpaddle {

cell_id cell_of(const service_table& declared, const upstream_row& upstream) {
  std::uint32_t position = 0;
  for (const auto& row : declared.upstreams) {
    if (row.name == upstream.name) break;
    if (row.domain == upstream.domain) ++position;
  }
  return make_cell_id(declared.service.name, upstream.domain,
                      position / static_cast<std::uint32_t>(max_cell_upstreams));
}

service_layout make_layout(const service_table& declared) {
  std::map<cell_id, double> weight;
  double total = 0;
  for (const auto& upstream : declared.upstreams) {
    weight[cell_of(declared, upstream)] += upstream.weight;
    total += upstream.weight;
  }
  service_layout layout;
  layout.service = declared.service.name;
  layout.revision = revision_number{1};
  if (weight.empty() || total <= 0) return layout;
  layout.shards.resize(declared.service.shards);
  // Each cell's run of shards ends at its cumulative share of the weight; the last cell's run ends
  // at the last shard, whatever the rounding.
  double cumulative = 0;
  std::size_t next = 0;
  for (const auto& [cell, share] : weight) {
    cumulative += share;
    const auto index = static_cast<std::uint32_t>(layout.cells.size());
    layout.cells.push_back(cell);
    const bool last = layout.cells.size() == weight.size();
    const auto end = last ? layout.shards.size()
                          : static_cast<std::size_t>(cumulative / total *
                                                     static_cast<double>(layout.shards.size()));
    for (; next < end; ++next) layout.shards[next].cell = index;
  }
  return layout;
}

std::vector<shard_grant> home_shards(const service_layout& layout, const cell_id& cell) {
  std::vector<shard_grant> home;
  for (std::uint32_t shard = 0; shard < layout.shards.size(); ++shard) {
    const auto& entry = layout.shards[shard];
    if (layout.cells[entry.cell] == cell) home.push_back({shard_id{shard}, entry.least_fence});
  }
  return home;
}

std::vector<shard_id> leaving_shards(const service_layout& layout, const cell_id& cell) {
  std::vector<shard_id> leaving;
  for (std::uint32_t shard = 0; shard < layout.shards.size(); ++shard) {
    const auto& entry = layout.shards[shard];
    if (entry.next && layout.cells[entry.cell] == cell) leaving.push_back(shard_id{shard});
  }
  return leaving;
}

namespace {

void add_cells(service_layout& layout, const std::map<cell_id, double>& weight) {
  for (const auto& [cell, unused] : weight) {
    if (std::find(layout.cells.begin(), layout.cells.end(), cell) == layout.cells.end()) {
      layout.cells.push_back(cell);
    }
  }
}

// Gives each moving shard that is released, or whose cell is lost, to its next cell, with a fence
// above all that the old cell used for it.
void finish_moves(service_layout& layout, const std::map<cell_id, cell_record>& records,
                  const std::set<cell_id>& lost) {
  for (std::uint32_t shard = 0; shard < layout.shards.size(); ++shard) {
    auto& entry = layout.shards[shard];
    if (!entry.next) continue;
    const cell_id& cell = layout.cells[entry.cell];
    const auto record = records.find(cell);
    if (record == records.end()) continue;
    const auto owner = record->second.shards.find(shard_id{shard});
    if (owner == record->second.shards.end()) continue;
    if (!owner->second.released && !lost.contains(cell)) continue;
    const auto fence = std::max(owner->second.fence, entry.least_fence);
    entry = {*entry.next, fence_number{fence.value + 1}, std::nullopt};
  }
}

// Starts moves from cells that have more shards than their share by weight to the cell that lacks
// most. A cell that is lost or no longer declared has a share of 0.
void start_moves(service_layout& layout, const std::map<cell_id, double>& weight,
                 const std::set<cell_id>& lost, std::size_t move_limit) {
  std::vector<double> excess(layout.cells.size(), 0);  // number of shards above the cell's share
  double total = 0;
  for (const auto& [cell, share] : weight) total += lost.contains(cell) ? 0 : share;
  if (total <= 0) return;
  for (std::size_t cell = 0; cell < layout.cells.size(); ++cell) {
    const auto declared_cell = weight.find(layout.cells[cell]);
    if (declared_cell == weight.end() || lost.contains(declared_cell->first)) continue;
    excess[cell] -= declared_cell->second / total * static_cast<double>(layout.shards.size());
  }
  std::size_t moving = 0;
  for (const auto& entry : layout.shards) {
    excess[entry.next.value_or(entry.cell)] += 1;
    if (entry.next) ++moving;
  }
  for (auto& entry : layout.shards) {
    if (moving >= move_limit) return;
    const auto neediest = std::min_element(excess.begin(), excess.end());
    // With a difference of one shard or less, a move wouldn't bring the two nearer to their shares.
    if (entry.next || excess[entry.cell] - *neediest <= 1 + 1e-9) continue;
    entry.next = static_cast<std::uint32_t>(neediest - excess.begin());
    excess[entry.cell] -= 1;
    *neediest += 1;
    ++moving;
  }
}

}  // namespace

std::optional<service_layout> advance_layout(const service_layout& layout,
                                             const service_table& declared,
                                             const std::map<cell_id, cell_record>& records,
                                             const std::set<cell_id>& lost,
                                             std::size_t move_limit) {
  std::map<cell_id, double> weight;
  for (const auto& upstream : declared.upstreams) {
    weight[cell_of(declared, upstream)] += upstream.weight;
  }
  service_layout next = layout;
  add_cells(next, weight);
  finish_moves(next, records, lost);
  start_moves(next, weight, lost, move_limit);
  if (next == layout) return std::nullopt;
  next.revision = revision_number{layout.revision.value + 1};
  return next;
}

}  // namespace plantainpaddle
