#include "table/review.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace plantainpaddle {
namespace {

// Returns the share of the shards that each active upstream owns by its weight.
std::map<upstream_id, double> shares_of(const service_table& declared) {
  std::map<upstream_id, double> shares;
  double total = 0;
  for (const auto& row : declared.upstreams) {
    if (row.state != upstream_state::active) continue;
    shares[row.name] = row.weight;
    total += row.weight;
  }
  if (total <= 0) return {};
  for (auto& [name, share] : shares) share /= total;
  return shares;
}

}  // namespace

std::uint32_t moved_shards(const service_table& before, const service_table& after) {
  const auto old_shares = shares_of(before);
  if (!after.service.keyed || old_shares.empty()) return 0;
  double gained = 0;
  for (const auto& [name, share] : shares_of(after)) {
    const auto old = old_shares.find(name);
    gained += std::max(0.0, share - (old == old_shares.end() ? 0.0 : old->second));
  }
  return static_cast<std::uint32_t>(std::lround(gained * after.service.shards));
}

std::vector<change_risk> review_change(const service_table& before, const service_table& after) {
  std::vector<change_risk> risks;
  const std::string& service = before.service.name.value;
  if (!shares_of(before).empty() && shares_of(after).empty()) {
    risks.push_back({risk_kind::last_upstream,
                     service + ": takes away the last active upstream; its requests would fail"});
  }
  const std::uint32_t moved = moved_shards(before, after);
  if (moved > after.service.moves_per_minute) {
    risks.push_back(
        {risk_kind::many_moves, service + ": moves about " + std::to_string(moved) + " of " +
                                    std::to_string(after.service.shards) +
                                    " shards, more than moves_per_minute allows in one minute (" +
                                    std::to_string(after.service.moves_per_minute) + ")"});
  }
  return risks;
}

}  // namespace plantainpaddle
