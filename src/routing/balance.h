// Load balancing: chooses the upstream for a request of a service that isn't divided by key.
//
//   auto chosen = choose_upstream(candidates, random_number());
//
// The functions are pure. The caller counts outstanding requests and says which upstreams are
// usable; cold_start_share() in ownership/planner.h gives the share of a new upstream.
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
  double share = 1;        // of its normal load, in [0, 1]; less in a cold start or by reports
  bool usable = true;

  bool operator==(const balance_candidate&) const = default;
};

// Returns the outstanding requests per unit of capacity (weight * slots * share), counting one more
// for the request to be placed.
double relative_load(const balance_candidate& candidate);

// Returns the index of the less loaded of two candidates drawn by capacity, or nullopt if none is
// usable. The index `except` is chosen only if no other candidate is usable, so that a retry goes
// to another upstream. `random` holds 64 random bits.
std::optional<std::size_t> choose_upstream(const std::vector<balance_candidate>& candidates,
                                           std::uint64_t random,
                                           std::optional<std::size_t> except = std::nullopt);

}  // namespace plantainpaddle
