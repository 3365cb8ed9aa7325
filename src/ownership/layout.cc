#include "ownership/layout.h"

#include <algorithm>
#include <map>

namespace plantainpaddle {

cell_id cell_of(const service_table& declared, const upstream_row& upstream) {
  std::uint32_t before = 0;
  for (const auto& row : declared.upstreams) {
    if (row.name == upstream.name) break;
    if (row.domain == upstream.domain) ++before;
  }
  return make_cell_id(declared.service.name, upstream.domain,
                      before / static_cast<std::uint32_t>(max_cell_upstreams));
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
  // Consecutive shards to consecutive cells, cut where the cumulated weight says.
  double cumulated = 0;
  std::size_t next = 0;
  for (const auto& [cell, share] : weight) {
    cumulated += share;
    const auto index = static_cast<std::uint32_t>(layout.cells.size());
    layout.cells.push_back(cell);
    const bool last = layout.cells.size() == weight.size();
    const auto end = last ? layout.shards.size()
                          : static_cast<std::size_t>(cumulated / total *
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

void finish_released(service_layout& layout, const std::map<cell_id, cell_record>& records,
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

// Shards of the cells that have too many go to those that lack most, each measured against its
// share by weight.
void start_moves(service_layout& layout, const std::map<cell_id, double>& weight,
                 const std::set<cell_id>& lost, std::size_t move_limit) {
  std::vector<double> excess(layout.cells.size(), 0);  // shards above the share
  double total = 0;
  for (const auto& [cell, share] : weight) total += lost.contains(cell) ? 0 : share;
  if (total <= 0) return;
  for (std::size_t cell = 0; cell < layout.cells.size(); ++cell) {
    const auto place = weight.find(layout.cells[cell]);
    if (place == weight.end() || lost.contains(place->first)) continue;
    excess[cell] -= place->second / total * static_cast<double>(layout.shards.size());
  }
  std::size_t under_way = 0;
  for (const auto& entry : layout.shards) {
    excess[entry.next.value_or(entry.cell)] += 1;
    if (entry.next) ++under_way;
  }
  for (auto& entry : layout.shards) {
    if (under_way >= move_limit) return;
    const auto least = std::min_element(excess.begin(), excess.end());
    // A move must leave the two nearer to their shares than before.
    if (entry.next || excess[entry.cell] - *least <= 1 + 1e-9) continue;
    entry.next = static_cast<std::uint32_t>(least - excess.begin());
    excess[entry.cell] -= 1;
    *least += 1;
    ++under_way;
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
  finish_released(next, records, lost);
  start_moves(next, weight, lost, move_limit);
  if (next == layout) return std::nullopt;
  next.revision = revision_number{layout.revision.value + 1};
  return next;
}

}  // namespace plantainpaddle
