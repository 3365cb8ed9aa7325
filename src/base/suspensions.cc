#include "base/suspensions.h"

namespace plantainpaddle {
namespace {

constexpr duration min_length = milliseconds(20);  // shorter ones may be the two clocks' reading
constexpr std::size_t max_seen = 64;

}  // namespace

void suspensions::observe(monotonic_time now, duration since_boot) {
  const auto offset = since_boot - now.time_since_epoch();
  if (!offset_) offset_ = offset;
  if (offset - *offset_ < min_length) return;
  seen_.push_back({now, offset - *offset_});
  if (seen_.size() > max_seen) seen_.pop_front();
  offset_ = offset;
}

duration suspensions::since(monotonic_time at) const {
  duration sum{0};
  for (const auto& one : seen_) {
    if (one.seen >= at) sum += one.length;
  }
  return sum;
}

}  // namespace plantainpaddle
