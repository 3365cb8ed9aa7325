// Decides when an instance tries to become the assigner of a service and when it renews its lease.
// The assigner holds a key in the store that is bound to the lease. The key only keeps instances
// from competing; that two assigners do no harm follows from the range record (range_assigner.h).
//
//   candidacy mine(timing, spread);
//   mine.on_seen(holder, now);   // after each read of the store
//   switch (mine.tick(now)) ...  // carry out the step, report its outcome by on_won(), ...
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace plantainpaddle {

struct candidacy_timing {
  duration lease = milliseconds(1200);  // requested from the store
  duration renew = milliseconds(300);   // three tries before the lease ends
  duration vacancy = milliseconds(20);  // from the key's removal to the first try
  duration retry = milliseconds(200);   // after a failed call or campaign
  // Without leadership the delay doubles with each failed call up to this. Until then the vacancy
  // is filled by whichever instance reaches the store.
  duration max_retry = milliseconds(1600);
  duration rest = seconds(4);                // after a resignation, so that others try first
  duration precedence = milliseconds(1500);  // of the assigner when the store was restored
  bool operator==(const candidacy_timing&) const = default;
};

// Who holds the key in the store.
enum class key_holder { nobody, self, other };
enum class candidacy_step { none, create_lease, campaign, renew_lease };

class candidacy {
 public:
  // `spread` delays this instance's tries, so that not all instances try at once.
  candidacy(candidacy_timing timing, duration spread) : timing_(timing), spread_(spread) {}

  // `holder` is whom the key named when the store was last read.
  void on_seen(key_holder holder, monotonic_time now);
  void on_lease_created(std::uint64_t lease, monotonic_time sent);
  void on_won(monotonic_time sent);
  void on_lost(monotonic_time now);  // the campaign or the leadership
  void on_renewed(monotonic_time sent);
  void on_lease_gone(monotonic_time now);
  void on_failed(monotonic_time now);  // a call was refused or not answered
  void resign(monotonic_time now) { resign(now, timing_.rest); }
  // Resigns and doesn't campaign again for `rest`.
  void resign(monotonic_time now, duration rest);
  // Delays all campaigns by so much, so that others, which have no handicap, win.
  void set_handicap(duration handicap) { handicap_ = handicap; }
  // The store has come back from an older copy: leases are lost. The assigner of before is given
  // time to win again, as only it knows all that it has granted.
  void on_store_restored(bool was_assigner, monotonic_time now);
  void withdraw() { withdrawn_ = true; }  // the instance leaves and won't campaign again

  candidacy_step tick(monotonic_time now);

  bool holds() const { return holds_; }
  duration lease_length() const { return timing_.lease; }
  std::uint64_t lease() const { return lease_.value_or(0); }

 private:
  candidacy_timing timing_;
  duration spread_;
  duration handicap_{0};
  std::optional<std::uint64_t> lease_;
  monotonic_time lease_until_{};
  bool holds_ = false;
  bool under_way_ = false;
  bool withdrawn_ = false;
  int failures_ = 0;  // calls that failed in a row
  std::optional<monotonic_time> vacant_since_;
  monotonic_time next_try_{};
  monotonic_time next_renewal_{};
};

}  // namespace plantainpaddle
