// The load of numbered keys, where keys get hot within a second. A long memory tells steady loads
// from chance, a short one sees a change early. Each block of neighbouring keys counts by the long
// memory unless the short one shows that its load has changed.
//
//   surging_load load;
//   load.add(key, count);
//   load.age(now);                               // before each plan
//   plan_ranges(record, upstreams, load.planned(), config);
//
// Takes 768 KiB.
#pragma once

#include "ownership/range_planner.h"

namespace plantainpaddle {

class surging_load {
 public:
  surging_load();
  void add(std::uint32_t key, double requests);
  // Decays the counts and makes planned() anew. Takes O(keys).
  void age(monotonic_time now);
  const key_load& planned() const { return planned_; }

 private:
  key_load long_;
  key_load short_;
  key_load planned_;  // with the long memory
};

}  // namespace plantainpaddle
