// What a change of a service's table would do that its editor may not have meant.
//
//   for (const auto& risk : review_change(before, after)) ask(risk.text);
#pragma once

#include <string>
#include <vector>

#include "table/rows.h"

namespace plantainpaddle {

enum class risk_kind { last_upstream, many_moves };

struct change_risk {
  risk_kind kind = risk_kind::last_upstream;
  std::string text;
  bool operator==(const change_risk&) const = default;
};

// How many shards get another owner if each active upstream owns a share by its weight.
std::uint32_t moved_shards(const service_table& before, const service_table& after);

std::vector<change_risk> review_change(const service_table& before, const service_table& after);

}  // namespace plantainpaddle
