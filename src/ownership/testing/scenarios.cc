#include "ownership/testing/scenarios.h"

namespace plantainpaddle::model {
namespace {

// Process numbers. i0 is the first assigner; i1 and i2 are its standbys.
constexpr std::uint32_t i0 = 0;
constexpr std::uint32_t i1 = 1;
constexpr std::uint32_t i2 = 2;
constexpr std::uint32_t i3 = 3;
constexpr std::uint32_t u0 = instance_count;
constexpr std::uint32_t u1 = instance_count + 1;
constexpr std::uint32_t store = instance_count + upstream_count;

constexpr std::uint32_t bit(std::uint32_t number) { return 1U << number; }

fault_step after(int wait_ms, fault kind, std::uint32_t target, std::uint32_t argument,
                 int length_ms) {
  return {kind, target, argument, milliseconds(wait_ms), milliseconds(length_ms)};
}

}  // namespace

const std::vector<known_scenario>& known_scenarios() {
  static const std::vector<known_scenario> all = {
      // The time at which the revoked shard was expected to lapse passed while the upstream, whose
      // grant was renewed for its other shards, still ran a request of that shard.
      {"a drained upstream finishes its requests before its shards move",
       {after(66, fault::drain_upstream, 0, 0, 20)}},
      // The instance that receives the term crashes just before the handover.
      {"a handover to a crashed instance is recovered from",
       {after(0, fault::crash, i1, 0, 1), after(0, fault::leave, 0, i1, 0)}},
      // The receiver must not renew a shard at its old owner while a write whose outcome is unknown
      // may move it.
      {"a write with unknown outcome is handed over with the term",
       {after(1, fault::block_link, i0, u0, 745), after(895, fault::isolate, i0, 0, 290),
        after(313, fault::store_slow, 0, 0, 2), after(117, fault::leave, 0, i1, 0)}},
      // The assigner replaces an unresponsive standby, but the reply to that write is lost.
      // Afterwards it reaches only the replaced standby, which a successor need not inform.
      {"a standby in only one of two possible lists cannot confirm the assigner",
       {after(0, fault::isolate, i2, 0, 2200), after(950, fault::block_link, store, i0, 6000),
        after(1350, fault::partition, 0, bit(i0) | bit(i2) | bit(u0), 4000)}},
      // The first receiver of the term gets the handover message again after it has handed the term
      // over to a second one, which is active.
      {"a duplicated handover message starts no second assigner",
       {after(0, fault::duplicate_messages, i0, i1, 3000), after(10, fault::leave, 0, i1, 0),
        after(500, fault::leave, 0, i2, 4000)}},
      // A standby's takeover takes effect in the store, but the standby does not learn of it and
      // goes on confirming the old assigner. The next successor need not inform it, as the record
      // names it as assigner.
      {"a standby that tries to take over no longer confirms the assigner",
       {after(0, fault::freeze, i0, 0, 448), after(0, fault::store_slow, 0, 0, 63),
        after(563, fault::partition, 0, bit(i0) | bit(i3) | bit(u1), 1715)}},
  };
  return all;
}

}  // namespace plantainpaddle::model
