// Random scenarios for RapidCheck, which shrinks a failing one to few and short faults.
#pragma once

#include <rapidcheck.h>

#include "ownership/testing/model.h"

namespace plantainpaddle::model {

inline constexpr int max_fault_steps = 24;

inline rc::Gen<duration> gen_duration(int most_ms) {
  return rc::gen::map(rc::gen::inRange(0, most_ms + 1),
                      [](int ms) -> duration { return milliseconds(ms); });
}

inline rc::Gen<fault_step> gen_fault_step() {
  return rc::gen::construct<fault_step>(
      rc::gen::map(rc::gen::inRange(0, fault_count),
                   [](int kind) { return static_cast<fault>(kind); }),
      rc::gen::inRange<std::uint32_t>(0, 56), rc::gen::inRange<std::uint32_t>(0, 56),
      // Faults come in bursts: most follow within the times of the protocol.
      rc::gen::weightedOneOf<duration>({{3, gen_duration(400)}, {1, gen_duration(2000)}}),
      rc::gen::weightedOneOf<duration>({{2, gen_duration(1500)}, {1, gen_duration(6000)}}));
}

inline rc::Gen<scenario> gen_scenario() {
  return rc::gen::construct<scenario>(
      rc::gen::inRange<std::uint64_t>(0, 1 << 20),
      rc::gen::resize(max_fault_steps, rc::gen::container<std::vector<fault_step>>(
                                           rc::gen::resize(100, gen_fault_step()))));
}

}  // namespace plantainpaddle::model
