#include "ownership/testing/range_oracle.h"

#include <algorithm>

namespace plantainpaddle::range_model {

std::optional<std::string> oracle::on_taken(const std::vector<upstream>& upstreams, int u,
                                            int sample, std::uint64_t fence, monotonic_time now) {
  const auto index = static_cast<std::size_t>(sample);
  auto& best = highest_[index];
  const auto life = upstreams[static_cast<std::size_t>(u)].life;
  const std::string what =
      "key " + std::to_string(sample_key(sample)) + " taken by u" + std::to_string(u);
  const bool same = best.upstream == u && best.life == life;
  if (!same && best.fence != 0 && fence <= best.fence) {
    return what + " under fence " + std::to_string(fence) + ", u" + std::to_string(best.upstream) +
           " had it under " + std::to_string(best.fence);
  }
  if (!same && best.fence != 0) ++moves_;
  best = {u, life, same ? std::max(fence, best.fence) : fence};
  for (int other = 0; other < upstream_count; ++other) {
    if (other == u) continue;
    const auto& o = upstreams[static_cast<std::size_t>(other)];
    if (o.alive && o.held[index].until > now) {
      return what + " is still held by u" + std::to_string(other);
    }
  }
  return std::nullopt;
}

std::optional<std::string> oracle::on_record(const range_record& record) {
  for (int i = 0; i < sample_count; ++i) {
    const auto fence = entry_of(record, sample_key(i)).fence.value;
    auto& before = record_fences_[static_cast<std::size_t>(i)];
    if (fence < before) return "the record lowers a fence";
    before = fence;
  }
  return std::nullopt;
}

}  // namespace plantainpaddle::range_model
