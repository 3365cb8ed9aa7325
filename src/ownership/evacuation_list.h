// The failure domains that operators have ordered to be evacuated, as one instance knows them.
//
//   evacuation_list orders;
//   orders.on_order(domain, known_at);   // the store has the order
//   orders.on_removed(domain, now);      // the order is gone from the store
//   orders.on_store_restored(now);
//   orders.expire(now);                  // regularly
//
// A store that comes back from an older copy may lack an order that it had acknowledged. The order
// stays in force until it is seen again, and from then on follows the store; one that isn't seen
// again ends after timing.unconfirmed_life. No I/O and no clock.
#pragma once

#include <map>
#include <optional>

#include "base/ids.h"
#include "base/time.h"

namespace plantainpaddle {

struct evacuation_timing {
  // For which an order outlasts a store that has lost it. Longer than a copy of the store is old,
  // so that operators who write it again find it in force; not for ever, as a removed key that the
  // store doesn't have shows no event.
  duration unconfirmed_life = seconds(60);
  duration ended_memory = seconds(10);  // longer than entries of upstreams take to be read
};

class evacuation_list {
 public:
  struct order {
    monotonic_time since{};                           // no acknowledgement is earlier
    std::optional<monotonic_time> unconfirmed_until;  // the store may have lost it
    bool operator==(const order&) const = default;
  };

  explicit evacuation_list(evacuation_timing timing = {}) : timing_(timing) {}

  // These return whether the evacuated domains have changed. `known_at`: when the store's orders
  // were last known before this one was read. A repeated order keeps its time, as nothing shows
  // whether it had been removed in between.
  bool on_order(const domain_id& domain, monotonic_time known_at);
  bool on_removed(const domain_id& domain, monotonic_time now);
  bool expire(monotonic_time now);
  void on_store_restored(monotonic_time now);

  const std::map<domain_id, order>& all() const { return orders_; }
  // Returns the domains whose evacuation has ended within timing.ended_memory, with when it did.
  const std::map<domain_id, monotonic_time>& ended() const { return ended_; }
  bool contains(const domain_id& domain) const { return orders_.contains(domain); }

 private:
  evacuation_timing timing_;
  std::map<domain_id, order> orders_;
  std::map<domain_id, monotonic_time> ended_;
};

}  // namespace plantainpaddle
