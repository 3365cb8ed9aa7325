// A new assigner waits for the grants of earlier ones (range_assigner.cc, reason 3). That the
// record names this instance doesn't mean that there are none but its own: a campaign may have
// taken effect without an answer, so that no assigner was started in that term, and an assigner
// that loses its lease may win the next term while the one before it goes on renewing. Each
// instance_id belongs to one process, so that all terms of a record that names this instance were
// campaigned for here. Two cases follow for a term that follows own ones:
//
// - No assigner has started in them. The assigner before them is waited for as if the present term
//   followed its own, from now on: it may renew until proof_validity after the first own campaign
//   took effect, which is in the past.
// - One has. It counted what earlier assigners may have granted from its start on, and its own
//   grants since, so that everything has expired at its last_expiry().
#include "ownership/range_tenure.h"

#include <algorithm>

namespace plantainpaddle {

range_campaign range_tenure::campaign(const range_record* seen,
                                      const std::optional<range_assigner>& assigner,
                                      std::uint64_t era, monotonic_time era_seen) {
  if (assigner && assigner->is_suspended())
    return {.record = carry_over(assigner->record(), era), .goes_on = true};
  range_record before = seen == nullptr ? make_range_record() : *seen;
  // The store has lost nothing in its first era.
  if (seen == nullptr && era <= 1) before.era = era;
  const bool same_era = before.era == era;
  const bool follows_own =
      same_era && own_ && before.assigner == self_ && before.term >= own_->first;
  if (!follows_own) {
    const range_predecessor predecessor{.exists = seen != nullptr || !same_era,
                                        .relinquished = same_era && before.assigner.value.empty(),
                                        .lapses_in = before.lapses_in,
                                        .era_seen = era_seen};
    own_ = own_terms{.first = {before.term.value + 1}, .predecessor = predecessor};
  }
  return {.record = take_over(std::move(before), self_, address_, era),
          .follows_own = follows_own,
          .first_own = own_->first,
          .predecessor = own_->predecessor};
}

bool range_tenure::on_won(const range_campaign& won, std::uint64_t version, monotonic_time sent,
                          monotonic_time now, std::optional<range_assigner>& assigner) const {
  if (won.goes_on) {
    if (!assigner || !assigner->is_suspended()) return false;
    assigner->regain(won.record, version);
  } else {
    if (!own_ || own_->first != won.first_own) return false;
    auto predecessor = won.predecessor;
    const auto own_expiry =
        assigner ? std::optional(assigner->last_expiry(now)) : own_->grants_expire_at;
    if (won.follows_own && own_expiry) {
      predecessor.exists = predecessor.relinquished = true;
      predecessor.lapses_in = std::max(*own_expiry - now, duration::zero());
    }
    assigner.emplace(timing_);
    assigner->start(won.record, version, predecessor, now);
  }
  assigner->confirm(sent);
  return true;
}

void range_tenure::end(std::optional<range_assigner>& assigner, monotonic_time now) {
  if (assigner && own_) own_->grants_expire_at = assigner->last_expiry(now);
  assigner.reset();
}

bool range_tenure::is_superseded(const range_assigner& assigner, const range_record& seen) const {
  return seen.assigner != self_ && position_of(seen) > position_of(assigner.record());
}

std::optional<range_record> relinquish_again(const range_record& relinquished, range_record current,
                                             const instance_id& self) {
  const bool same_term = current.era == relinquished.era && current.term == relinquished.term;
  if (current.assigner != self || !same_term) return std::nullopt;
  current.assigner = {};
  current.address.clear();
  current.lapses_in = relinquished.lapses_in;
  return current;
}

}  // namespace plantainpaddle
