#include "standin/range_holder.h"

#include "ownership/range_record.h"

namespace plantainpaddle {

range_holder::range_holder(duration warm_up)
    : warm_up_(warm_up), keys_(std::size_t{last_numbered_key} + 1) {}

bool range_holder::grant(const range_action::grant& order, monotonic_time arrived) {
  for (std::uint32_t key = order.first; key <= order.last; ++key) {
    if (order.fence < keys_[key].seen) return false;
  }
  for (std::uint32_t key = order.first; key <= order.last; ++key) {
    auto& state = keys_[key];
    const bool renewed = state.takes_work && arrived < state.ends;
    if (!renewed && order.handover.empty()) state.warm_from = arrived + warm_up_;
    state.seen = order.fence;
    state.held = order.fence;
    state.ends = arrived + order.hold;
    state.takes_work = true;
  }
  return true;
}

void range_holder::release(const range_action::release& order) {
  for (std::uint32_t key = order.first; key <= order.last; ++key) {
    auto& state = keys_[key];
    state.takes_work = false;
    state.seen = std::max(state.seen, order.fence);
  }
}

std::size_t range_holder::running(std::uint32_t first, std::uint32_t last) const {
  std::size_t count = 0;
  for (std::uint32_t key = first; key <= last; ++key) count += keys_[key].running;
  return count;
}

std::optional<fence_number> range_holder::admit(std::uint32_t key, monotonic_time now) {
  auto& state = keys_[key];
  if (!state.takes_work || now >= state.ends) return std::nullopt;
  ++state.running;
  return state.held;
}

void range_holder::finish(std::uint32_t key) { --keys_[key].running; }

}  // namespace plantainpaddle
