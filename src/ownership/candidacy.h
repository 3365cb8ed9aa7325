// When an instance tries to become the assigner of a service, and how it stays it: by a key in the
// store that lasts as long as a lease. The key only keeps instances out of each other's way; that
// two assigners do no harm follows from the record (range_assigner.h).
//
//   candidacy mine(timing, spread);
//   mine.on_seen(holder_is_there, now);                // as often as the store is read
//   switch (mine.tick(now)) ...                        // then on_lease_created, on_won,
//   on_renewed, ...
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace plantainpaddle {

struct candidacy_timing {
  duration lease = milliseconds(1200);  // asked of the store
  duration renew = milliseconds(300);   // three tries before the lease ends
  duration vacancy = milliseconds(20);  // the key is gone for so long before anybody tries
  duration retry = milliseconds(200);   // after a try that failed
  duration rest = seconds(4);           // after a resignation: others are to try first
  bool operator==(const candidacy_timing&) const = default;
};

enum class candidacy_step { none, create_lease, campaign, renew_lease };

class candidacy {
 public:
  // spread: of this instance, so that not all of them try at once.
  candidacy(candidacy_timing timing, duration spread) : timing_(timing), spread_(spread) {}

  // Whether the store was last seen with a holder of the key.
  void on_seen(bool held, monotonic_time now);
  void on_lease_created(std::uint64_t lease, monotonic_time sent);
  void on_won(monotonic_time sent);
  void on_lost(monotonic_time now);  // the campaign, or what was held
  void on_renewed(monotonic_time sent);
  void on_lease_gone(monotonic_time now);
  void on_failed(monotonic_time now);  // a call without an answer, or with a refusal
  void resign(monotonic_time now);
  void withdraw() { withdrawn_ = true; }  // never again: the instance leaves

  candidacy_step tick(monotonic_time now);

  bool holds() const { return holds_; }
  duration lease_length() const { return timing_.lease; }
  std::uint64_t lease() const { return lease_.value_or(0); }

 private:
  candidacy_timing timing_;
  duration spread_;
  std::optional<std::uint64_t> lease_;
  monotonic_time lease_until_{};
  bool holds_ = false;
  bool under_way_ = false;
  bool withdrawn_ = false;
  std::optional<monotonic_time> vacant_since_;
  monotonic_time next_try_{};
  monotonic_time next_renewal_{};
};

}  // namespace plantainpaddle
