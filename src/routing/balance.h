// Which upstream gets a request of a service that isn't divided by key.
//
//   auto chosen = choose_upstream(candidates, random_number());
//
// Pure; cold_start_share() of ownership/planner.h gives the share of a new upstream.
// The caller counts outstanding requests and says who is usable.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "ownership/planner.h"

namespace plantainpaddle {

struct balance_candidate {
  double weight = 1;
  std::uint32_t slots = 6;
  double outstanding = 0;  // requests in the upstream, known or estimated
  double share = 1;        // of its normal load, between 0 and 1: cold start, reports
  bool usable = true;

  bool operator==(const balance_candidate&) const = default;
};

// Outstanding requests per slot, as two choices compare them.
double relative_load(const balance_candidate& candidate);

// The less loaded of two that are drawn by weight * slots * share. `except`: an index not to be
// chosen if another is usable (a retry goes elsewhere). Nothing if none is usable.
std::optional<std::size_t> choose_upstream(const std::vector<balance_candidate>& candidates,
                                           std::uint64_t random,
                                           std::optional<std::size_t> except = std::nullopt);

}  // namespace plantainpaddle
