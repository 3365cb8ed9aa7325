// What an instance knows of its successive terms as the assigner of a service: it makes the record
// that a campaign writes, and starts the assigner of a term with what earlier ones may have
// granted. It does no I/O and reads no clock.
//
//   range_tenure tenure(self, address, timing);
//   const auto campaign = tenure.campaign(seen, assigner, era, era_seen);
//   // the store has written campaign.record as `version`:
//   if (!tenure.on_won(campaign, version, sent, now, assigner)) ...  // campaign again
//   tenure.end(assigner, now);  // whenever leadership ends
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "ownership/range_assigner.h"
#include "ownership/range_record.h"

namespace plantainpaddle {

struct range_campaign {
  range_record record;
  bool goes_on = false;      // the record is that of the suspended assigner
  bool follows_own = false;  // the term before was this instance's, too
  term_number first_own;     // the first of this instance's terms in a row
  // What the assigner before this instance's terms in a row left behind.
  range_predecessor predecessor;
};

class range_tenure {
 public:
  // `address` is where other instances reach this one.
  range_tenure(instance_id self, std::string address, range_timing timing)
      : self_(std::move(self)), address_(std::move(address)), timing_(timing) {}

  // Returns the campaign for the term after that of `seen`, the latest known record; null if none
  // is known. `era_seen` is when the store's present era was first seen.
  range_campaign campaign(const range_record* seen, const std::optional<range_assigner>& assigner,
                          std::uint64_t era, monotonic_time era_seen);
  // Starts the assigner of the term that was won, or lets the suspended one go on. `sent` is when
  // the campaign was sent. Returns false, and does nothing, if what the campaign was made from is
  // out of date: the assigner that was to go on has ended, or there was a campaign for a later term
  // after another instance's.
  bool on_won(const range_campaign& won, std::uint64_t version, monotonic_time sent,
              monotonic_time now, std::optional<range_assigner>& assigner) const;
  // Ends the assigner and remembers for how long its grants may last.
  void end(std::optional<range_assigner>& assigner, monotonic_time now);

  // Returns whether `seen` shows that another instance has taken over from the assigner.
  bool is_superseded(const range_assigner& assigner, const range_record& seen) const;

 private:
  // Terms of this instance without another instance's in between.
  struct own_terms {
    term_number first;
    range_predecessor predecessor;
    // When all grants have expired that an assigner of these terms has sent or waited for; empty if
    // none has started and ended.
    std::optional<monotonic_time> grants_expire_at;
  };

  instance_id self_;
  std::string address_;
  range_timing timing_;
  std::optional<own_terms> own_;
};

// How often a relinquished record is written before its assigner's lease is left to run out.
inline constexpr int relinquish_attempts = 4;

// Returns what to write over `current`, which the store holds after a write of `relinquished` whose
// outcome is unknown; empty if `current` isn't a record of the term that `self` relinquished.
std::optional<range_record> relinquish_again(const range_record& relinquished, range_record current,
                                             const instance_id& self);

}  // namespace plantainpaddle
