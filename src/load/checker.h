// Holds what ran (the upstreams' journals) against what callers were told (the load records).
//
//   check_report report = check_promises(runs, records);
//
// A run without an end (its process died) is taken to have ended when it started: later work of the
// same process isn't known. So the checker may miss an overlap with a dead process, and never
// invents one.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "load/record.h"
#include "standin/journal.h"

namespace plantainpaddle {

struct check_report {
  std::uint64_t run_twice = 0;   // requests marked once that started more than once
  std::uint64_t two_owners = 0;  // pairs of runs of a shard that two upstreams must not both do
  std::uint64_t not_run_but_ran = 0;  // told not run (or refused), and started
  std::uint64_t wrong_answers = 0;
  std::uint64_t complete_but_not_ran = 0;  // told complete, in no journal
  std::vector<std::string> examples;       // a bounded number of findings, for people

  bool clean() const {
    return run_twice == 0 && two_owners == 0 && not_run_but_ran == 0 && wrong_answers == 0 &&
           complete_but_not_ran == 0;
  }
};

check_report check_promises(const std::vector<run_record>& runs,
                            const std::vector<load_record>& records);

struct service_gap {
  duration length{0};
  std::string where;  // "class/shard", or the class
};

// The longest span in which requests of a class waited and none of them was answered completely:
// from the later of the last complete answer and the first waiting request to the next complete
// answer. By shard, or over the whole class. An empty class name means each class on its own.
service_gap longest_gap(const std::vector<load_record>& records, const std::string& klass,
                        bool by_shard);

}  // namespace plantainpaddle
