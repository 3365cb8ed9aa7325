#include "standin/grants.h"

#include "ownership/range_record.h"

namespace plantainpaddle {
namespace {

struct admitter {
  const key_claim& claim;
  monotonic_time now;

  std::optional<admitted_run> operator()(cell_grants& cells) const {
    const admitted_run run{static_cast<std::uint32_t>(claim.shard.value_or(0)),
                           claim.fence.value_or(0), claim.shard && claim.fence};
    if (!cells.checks) return run;
    const bool admitted = run.fenced && cells.holder.admit(shard_id{run.shard}, {run.fence}, now);
    return admitted ? std::optional(run) : std::nullopt;
  }

  std::optional<admitted_run> operator()(range_grants& ranges) const {
    if (!ranges.checks) return admitted_run{};
    if (!claim.shard || *claim.shard > last_numbered_key) return std::nullopt;
    const auto key = static_cast<std::uint32_t>(*claim.shard);
    const auto fence = ranges.holder.admit(key, now);
    if (!fence) return std::nullopt;
    return admitted_run{key, fence->value, true};
  }
};

struct finisher {
  const admitted_run& run;

  void operator()(cell_grants& cells) const {
    if (cells.checks) cells.holder.finish(shard_id{run.shard}, {run.fence});
  }
  void operator()(range_grants& ranges) const {
    if (ranges.checks) ranges.holder.finish(run.shard);
  }
};

struct end_reader {
  const admitted_run& run;

  monotonic_time operator()(const cell_grants& cells) const {
    return cells.checks ? cells.holder.ends() : monotonic_time::max();
  }
  monotonic_time operator()(const range_grants& ranges) const {
    return ranges.checks ? ranges.holder.ends(run.shard) : monotonic_time::max();
  }
};

}  // namespace

std::optional<admitted_run> admit(grants& held, const key_claim& claim, monotonic_time now) {
  return std::visit(admitter{claim, now}, held);
}

void finish(grants& held, const admitted_run& run) { std::visit(finisher{run}, held); }

monotonic_time grant_end(const grants& held, const admitted_run& run) {
  return std::visit(end_reader{run}, held);
}

bool is_cold(const grants& held, const admitted_run& run, monotonic_time now) {
  const auto* ranges = std::get_if<range_grants>(&held);
  return ranges != nullptr && ranges->checks && ranges->holder.is_cold(run.shard, now);
}

}  // namespace plantainpaddle
