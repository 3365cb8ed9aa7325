// Thin planner: each shard without a usable owner goes to the upstream with the least shards per
// weight.

#include "bench/policy_previous.h"

#include <algorithm>

namespace plantainpaddle {

std::vector<shard_move> plan_moves_by_count(const plan_input& input) {
  std::map<upstream_id, double> weight;
  for (const auto& upstream : input.upstreams) {
    if (upstream.usable && upstream.weight > 0) weight[upstream.name] = upstream.weight;
  }
  std::vector<shard_move> moves;
  if (weight.empty()) return moves;
  std::map<upstream_id, double> count;
  for (const auto& [name, unused] : weight) count[name] = 0;
  for (const auto& [shard, entry] : input.shards) {
    if (entry.owner && weight.contains(*entry.owner)) ++count[*entry.owner];
  }
  const auto fullness = [&](const auto& item) { return item.second / weight[item.first]; };
  const auto least = [&] {
    return std::min_element(count.begin(), count.end(), [&](const auto& a, const auto& b) {
      return fullness(a) < fullness(b);
    });
  };
  for (const auto& [shard, entry] : input.shards) {
    if (entry.owner && weight.contains(*entry.owner)) continue;
    const auto place = least();
    moves.push_back({shard, place->first});
    ++place->second;
  }
  std::uint32_t budget = input.move_budget;
  for (const auto& [shard, entry] : input.shards) {
    if (budget == 0) break;
    if (!entry.owner || !weight.contains(*entry.owner)) continue;
    const auto place = least();
    const double gain =
        count[*entry.owner] / weight[*entry.owner] - (place->second + 1) / weight[place->first];
    if (gain <= 0) continue;
    moves.push_back({shard, place->first});
    --count[*entry.owner];
    ++place->second;
    --budget;
  }
  return moves;
}

}  // namespace plantainpaddle
