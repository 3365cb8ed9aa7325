// Risks of a change to a service's table, which its editor should confirm.
//
//   for (const auto& risk : review_change(before, after)) ask(risk.text);
#pragma once

#include <string>
#include <vector>

#include "table/rows.h"

namespace plantainpaddle {

enum class risk_kind {
  last_upstream,  // no active upstream is left
  many_moves      // more shards move than moves_per_minute allows in one minute
};

struct change_risk {
  risk_kind kind = risk_kind::last_upstream;
  std::string text;
  bool operator==(const change_risk&) const = default;
};

// Estimates how many shards change owner: each active upstream is taken to own a share of them by
// its weight. 0 if the service isn't keyed or had no active upstream.
std::uint32_t moved_shards(const service_table& before, const service_table& after);

std::vector<change_risk> review_change(const service_table& before, const service_table& after);

}  // namespace plantainpaddle
