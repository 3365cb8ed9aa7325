// What an instance remembers as a standby: for each cell, the highest term that it has seen.
//
//   term_answer answer = memory.handle(question, now);
//   if (memory.should_take_over(record, self, timing, now)) { ...start an assigner... }
//
// Assigners ask their standbys to confirm that no higher term exists, so an assigner that still
// hears from a standby learns of its successor. The memory is not persisted and needn't be: a
// restarted instance has a new id, and is no standby until a record names it.
#pragma once

#include <map>
#include <optional>

#include "ownership/cell_record.h"
#include "ownership/messages.h"
#include "ownership/timing.h"

namespace plantainpaddle {

class standby_memory {
 public:
  // Notes the term of the question, and returns the highest term seen for the cell.
  term_answer handle(const term_question& question, monotonic_time now);

  // Notes that an assigner of this instance acts under the term.
  void remember(const term_question& question, monotonic_time now);

  // Returns whether this instance may continue under a term that another instance hands over to it,
  // and notes the term if so. Returns true at most once per cell and term, so that a duplicate
  // message can't start a second assigner.
  bool accept(const cell_id& cell, term_number term, monotonic_time now);

  // Returns whether self, which the record names but which runs no assigner, should try to take the
  // next term. That is so once the assigner has been silent for the suspicion time plus one stagger
  // for each standby before self in the list. The instance that the record names as assigner comes
  // last: it may have handed its term over to an instance that failed.
  bool should_take_over(const cell_record& record, const instance_id& self,
                        const ownership_timing& timing, monotonic_time now);

 private:
  struct cell_terms {
    term_number highest;
    term_number acted;  // highest under which an assigner of this instance has acted
    // When the highest term was last shown.
    monotonic_time heard;
  };
  std::map<cell_id, cell_terms> cells_;
};

}  // namespace plantainpaddle
