// What an upstream stand-in may run, in either form of the product: cells grant sets of shards that
// a request names with its fence, or assigners grant ranges of numbered keys.
//
//   grants held = range_grants(true, milliseconds(0));
//   if (auto run = admit(held, claim, now)) { ... finish(held, *run); }
#pragma once

#include <optional>
#include <variant>

#include "ownership/grant_holder.h"
#include "standin/range_holder.h"

namespace plantainpaddle {

// What a request says of its key.
struct key_claim {
  std::optional<std::uint64_t> shard;  // or the numbered key
  std::optional<std::uint64_t> fence;  // cells only
};

struct admitted_run {
  std::uint32_t shard = 0;
  std::uint64_t fence = 0;
  bool fenced = false;  // it runs under a grant, or says so
};

struct cell_grants {
  bool checks = true;  // without checks every request is admitted
  grant_holder holder;
};

struct range_grants {
  bool checks = true;
  range_holder holder;
};

using grants = std::variant<cell_grants, range_grants>;

std::optional<admitted_run> admit(grants& held, const key_claim& claim, monotonic_time now);
void finish(grants& held, const admitted_run& run);
// When the run must have stopped.
monotonic_time grant_end(const grants& held, const admitted_run& run);
// The run's key came without what its last owner knew.
bool is_cold(const grants& held, const admitted_run& run, monotonic_time now);

}  // namespace plantainpaddle
