// A standby's memory: per cell the highest term that it was shown. Nothing is written anywhere; a
// restarted instance has a new id and is no standby until a record names it.
#pragma once

#include <map>
#include <optional>

#include "ownership/cell_record.h"
#include "ownership/messages.h"
#include "ownership/timing.h"

namespace plantainpaddle {

class standby_memory {
 public:
  term_answer handle(const term_question& question, monotonic_time now);

  // Of an assigner of this instance: it acts under this term.
  void remember(const term_question& question, monotonic_time now);

  // Whether this instance may go on under a term that is handed over to it. True at most once per
  // cell and term, so that a repeated message can't start a second assigner.
  bool accept(const cell_id& cell, term_number term, monotonic_time now);

  // Whether self, named in the record and not acting, should try to take the next term: the
  // assigner has been silent for the suspicion time, and for a stagger more per standby before it
  // in the list. Last comes the instance that is named as assigner and has handed over to one that
  // failed.
  bool should_take_over(const cell_record& record, const instance_id& self,
                        const ownership_timing& timing, monotonic_time now);

 private:
  struct shown {
    term_number highest;
    term_number acted;  // highest under which an assigner of this instance has acted
    monotonic_time heard;
  };
  std::map<cell_id, shown> cells_;
};

}  // namespace plantainpaddle
