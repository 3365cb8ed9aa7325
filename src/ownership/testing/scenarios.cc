#include "ownership/testing/scenarios.h"

namespace plantainpaddle::model {
namespace {

// Processes by number. i0 is the first assigner, i1 and i2 are its standbys.
constexpr std::uint32_t i0 = 0;
constexpr std::uint32_t i1 = 1;
constexpr std::uint32_t i2 = 2;
constexpr std::uint32_t i3 = 3;
constexpr std::uint32_t u0 = instance_count;
constexpr std::uint32_t u1 = instance_count + 1;
constexpr std::uint32_t the_store = instance_count + upstream_count;

constexpr std::uint32_t bit(std::uint32_t number) { return 1U << number; }

fault_step after(int wait_ms, fault kind, std::uint32_t who, std::uint32_t whom, int length_ms) {
  return {kind, who, whom, milliseconds(wait_ms), milliseconds(length_ms)};
}

}  // namespace

const std::vector<known_scenario>& known_scenarios() {
  static const std::vector<known_scenario> all = {
      // The lapse foreseen when the shard was revoked passed while the upstream, renewed for its
      // other shards, still ran a request of it.
      {"a drained upstream finishes before its shards go on", {after(66, fault::drain, 0, 0, 20)}},
      // The instance that the term is handed to crashes first.
      {"a hand-over into the void is made good",
       {after(0, fault::crash, i1, 0, 1), after(0, fault::leave, 0, i1, 0)}},
      // The receiver must not renew a shard at its old owner while the unsure write moves it.
      {"an unsure write is handed over with the term",
       {after(1, fault::cut, i0, u0, 745), after(895, fault::isolate, i0, 0, 290),
        after(313, fault::store_late, 0, 0, 2), after(117, fault::leave, 0, i1, 0)}},
      // The assigner replaces a silent standby, doesn't hear that the write took effect, and then
      // reaches only that one, whom its successor needn't tell.
      {"a standby in one of two lists is no witness",
       {after(0, fault::isolate, i2, 0, 2200), after(950, fault::cut, the_store, i0, 6000),
        after(1350, fault::partition, 0, bit(i0) | bit(i2) | bit(u0), 4000)}},
      // The second receiver of the term acts when the first one gets its message again.
      {"a repeated hand-over starts no second assigner",
       {after(0, fault::repeat, i0, i1, 3000), after(10, fault::leave, 0, i1, 0),
        after(500, fault::leave, 0, i2, 4000)}},
      // A standby takes a term, doesn't learn of it, and goes on confirming the assigner; the next
      // successor needn't tell it, as the record names it as assigner.
      {"a standby that tries to take over is no witness any more",
       {after(0, fault::freeze, i0, 0, 448), after(0, fault::store_late, 0, 0, 63),
        after(563, fault::partition, 0, bit(i0) | bit(i3) | bit(u1), 1715)}},
  };
  return all;
}

}  // namespace plantainpaddle::model
