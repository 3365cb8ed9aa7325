#include "ownership/candidacy.h"

#include "base/durations.h"

namespace plantainpaddle {

void candidacy::on_seen(key_holder holder, monotonic_time now) {
  // The key may name this instance although it doesn't hold leadership: after a campaign whose
  // answer was lost, or after a restore, under a lease that it has given up.
  const bool taken = holder == key_holder::other || (holder == key_holder::self && holds_);
  if (taken) {
    vacant_since_.reset();
  } else if (!vacant_since_) {
    vacant_since_ = now;
  }
}

void candidacy::on_lease_created(std::uint64_t lease, monotonic_time sent) {
  under_way_ = false;
  failures_ = 0;
  lease_ = lease;
  lease_until_ = sent + timing_.lease;
}

void candidacy::on_won(monotonic_time sent) {
  under_way_ = false;
  failures_ = 0;
  holds_ = true;
  vacant_since_.reset();
  next_renewal_ = sent + timing_.renew;
}

void candidacy::on_lost(monotonic_time now) {
  under_way_ = false;
  holds_ = false;
  vacant_since_.reset();
  next_try_ = now + timing_.retry;
}

void candidacy::on_renewed(monotonic_time sent) {
  under_way_ = false;
  failures_ = 0;
  lease_until_ = sent + timing_.lease;
  next_renewal_ = sent + timing_.renew;
}

void candidacy::on_lease_gone(monotonic_time now) {
  under_way_ = false;
  holds_ = false;
  lease_.reset();
  if (!vacant_since_) vacant_since_ = now;
}

void candidacy::on_failed(monotonic_time now) {
  under_way_ = false;
  next_try_ = now + doubled(timing_.retry, failures_, timing_.max_retry);
  if (failures_++ > 0) next_try_ += spread_;
  next_renewal_ = now + timing_.retry;  // the lease ends meanwhile
}

void candidacy::resign(monotonic_time now, duration rest) {
  holds_ = false;
  lease_.reset();
  vacant_since_.reset();
  next_try_ = now + rest;
}

void candidacy::on_store_restored(bool was_assigner, monotonic_time now) {
  under_way_ = false;
  holds_ = false;
  lease_.reset();
  vacant_since_.reset();
  next_try_ = was_assigner ? now : now + timing_.precedence;
}

candidacy_step candidacy::tick(monotonic_time now) {
  if (under_way_) return candidacy_step::none;
  if (holds_) {
    if (now < next_renewal_) return candidacy_step::none;
    under_way_ = true;
    return candidacy_step::renew_lease;
  }
  if (withdrawn_ || !vacant_since_ || now < next_try_) return candidacy_step::none;
  if (now < *vacant_since_ + timing_.vacancy + spread_ + handicap_) return candidacy_step::none;
  under_way_ = true;
  const bool usable = lease_ && now < lease_until_ - timing_.renew;
  return usable ? candidacy_step::campaign : candidacy_step::create_lease;
}

}  // namespace plantainpaddle
