// The upstreams that have registered themselves in the store, as far as an instance knows them.
//
//   upstream_list list(timing);
//   list.on_entry(entry, now);  list.on_removed(id, now);  // as the store tells
//   list.on_contact(now);  list.on_lost_contact();         // each look at the store, or its
//   failure list.expire(now);
//
// An entry that lapsed while the store couldn't be reached counts as there until its upstream has
// had the time to register again.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/ids.h"
#include "base/time.h"

namespace plantainpaddle {

struct registered_upstream {
  upstream_id id;
  service_id service;
  std::string address;  // "IP:port"
  domain_id domain;
  std::uint32_t slots = 1;
  bool leaving = false;
  duration warm_up_left{0};  // slow for so long after the entry was written
  std::uint64_t life = 0;    // rises with each start under the same id
  bool operator==(const registered_upstream&) const = default;
};

struct upstream_list_timing {
  duration back_after = milliseconds(2200);  // the store's return, until lapsed entries are back
};

class upstream_list {
 public:
  struct listed {
    registered_upstream entry;
    monotonic_time warm_since{};
    std::optional<monotonic_time> lapsed_until;  // gone from the store, but not yet from here
    bool operator==(const listed&) const = default;
  };

  explicit upstream_list(upstream_list_timing timing = {}) : timing_(timing) {}

  // True if what is known has changed.
  bool on_entry(const registered_upstream& entry, monotonic_time now);
  bool on_removed(const upstream_id& id, monotonic_time now);
  // All that there is: what isn't among it was removed.
  bool on_full_list(const std::set<upstream_id>& present, monotonic_time now);
  void on_contact(monotonic_time now);
  void on_lost_contact() { in_contact_ = false; }
  bool expire(monotonic_time now);

  const std::map<upstream_id, listed>& all() const { return upstreams_; }
  // An upstream that isn't listed has ended and left nothing at its last address: one of another
  // service is there. One of its own service may have taken orders that were meant for it.
  bool is_replaced(const upstream_id& id, const service_id& service,
                   const std::string& address) const;

 private:
  upstream_list_timing timing_;
  std::map<upstream_id, listed> upstreams_;
  bool in_contact_ = false;
  bool ever_in_contact_ = false;
  monotonic_time regained_{};
};

}  // namespace plantainpaddle
