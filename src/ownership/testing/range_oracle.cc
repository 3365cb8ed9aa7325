#include "ownership/testing/range_oracle.h"

#include <algorithm>

namespace plantainpaddle::range_model {

std::optional<std::string> oracle::on_acquired(const std::vector<upstream>& upstreams, int u,
                                               int sample, std::uint64_t fence,
                                               monotonic_time now) {
  const auto index = static_cast<std::size_t>(sample);
  auto& latest = latest_[index];
  const auto life = upstreams[static_cast<std::size_t>(u)].life;
  const std::string event =
      "key " + std::to_string(sample_key(sample)) + " acquired by u" + std::to_string(u);
  const bool same_holder = latest.upstream == u && latest.life == life;
  if (!same_holder && latest.fence != 0 && fence <= latest.fence) {
    return event + " under fence " + std::to_string(fence) + ", but u" +
           std::to_string(latest.upstream) + " has held it under " + std::to_string(latest.fence);
  }
  if (!same_holder && latest.fence != 0) ++moves_;
  latest = {u, life, same_holder ? std::max(fence, latest.fence) : fence};
  for (int other = 0; other < upstream_count; ++other) {
    if (other == u) continue;
    const auto& o = upstreams[static_cast<std::size_t>(other)];
    if (o.alive && o.held[index].until > now) {
      return event + " is still held by u" + std::to_string(other);
    }
  }
  return std::nullopt;
}

std::optional<std::string> oracle::on_record(const range_record& record) {
  if (record.era < record_era_) return "a record of a former era replaces one of a later era";
  // Until a record of the new era is written, late writes of several histories of the former one
  // may follow each other. No fence of theirs is granted any more: those of the new era are higher.
  const bool new_history = restored_ || record.era != record_era_;
  restored_ = restored_ && record.era == record_era_;
  record_era_ = record.era;
  for (int i = 0; i < sample_count; ++i) {
    const auto fence = entry_of(record, sample_key(i)).fence.value;
    auto& before = record_fences_[static_cast<std::size_t>(i)];
    const auto held = latest_[static_cast<std::size_t>(i)].fence;
    // A fence that nobody has had a grant under may be taken back.
    if (fence < before && fence <= held && !new_history) {
      return "the record lowers the fence of key " + std::to_string(sample_key(i)) + " from " +
             std::to_string(before) + " to " + std::to_string(fence);
    }
    before = fence;
  }
  return std::nullopt;
}

}  // namespace plantainpaddle::range_model
