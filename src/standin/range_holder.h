// The numbered keys that an upstream stand-in holds: granted in ranges, under fences, each for a
// time. No sockets and no clock.
//
//   range_holder holder(milliseconds(0));
//   if (!holder.grant(order, now)) { ... a higher fence was seen ... }
//   if (auto fence = holder.admit(key, now)) { ...run...; holder.finish(key); }
//
// A state for each key on its own: as plain as it gets, so that it can be trusted where the
// router's view of the same is tested. 3 MB.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "ownership/range_assigner.h"

namespace plantainpaddle {

class range_holder {
 public:
  // warm_up: keys that come without a handover are slow for so long.
  explicit range_holder(duration warm_up);

  // The hold counts from `arrived`. False: a higher fence was seen on one of the keys, nothing is
  // changed.
  bool grant(const range_action::grant& order, monotonic_time arrived);
  // New work is refused from now on; the fence counts as seen.
  void release(const range_action::release& order);
  // Requests that still run on keys of the range.
  std::size_t running(std::uint32_t first, std::uint32_t last) const;

  // The fence under which the request may run; finish() must follow. None: the key isn't held.
  std::optional<fence_number> admit(std::uint32_t key, monotonic_time now);
  void finish(std::uint32_t key);
  // When work on the key must have stopped.
  monotonic_time ends(std::uint32_t key) const { return keys_[key].ends; }
  bool is_cold(std::uint32_t key, monotonic_time now) const { return now < keys_[key].warm_from; }

 private:
  struct key_state {
    fence_number seen;
    fence_number held;
    monotonic_time ends{};
    monotonic_time warm_from{};
    std::uint32_t running = 0;
    bool takes_work = false;
  };

  duration warm_up_;
  std::vector<key_state> keys_;
};

}  // namespace plantainpaddle
