// RapidCheck generators of scenarios. RapidCheck shrinks a failing one to few and short faults.
//
//   rc::check("...", [] { RC_ASSERT(!run(*gen_scenario()).violation); });
#pragma once

#include <rapidcheck.h>

#include "ownership/testing/model.h"
#include "ownership/testing/scenarios.h"

namespace plantainpaddle::model {

inline constexpr int max_fault_steps = 24;

// Whole milliseconds from 0 to max_ms.
inline rc::Gen<duration> gen_duration(int max_ms) {
  return rc::gen::map(rc::gen::inRange(0, max_ms + 1),
                      [](int ms) -> duration { return milliseconds(ms); });
}

// A process number, which is taken modulo the count of processes, or a role.
inline rc::Gen<std::uint32_t> gen_process() {
  return rc::gen::weightedOneOf<std::uint32_t>(
      {{1, rc::gen::inRange<std::uint32_t>(0, 56)},
       {1, rc::gen::inRange<std::uint32_t>(role_assigner, role_owner + 1)}});
}

inline rc::Gen<fault_step> gen_fault_step() {
  return rc::gen::construct<fault_step>(
      rc::gen::map(rc::gen::inRange(0, fault_count),
                   [](int kind) { return static_cast<fault>(kind); }),
      gen_process(),
      rc::gen::weightedOneOf<std::uint32_t>(
          {{2, gen_process()}, {1, rc::gen::inRange<std::uint32_t>(0, 256)}}),
      // Most waits are as short as the timeouts of the protocol, so that faults overlap.
      rc::gen::weightedOneOf<duration>({{3, gen_duration(400)}, {1, gen_duration(2000)}}),
      rc::gen::weightedOneOf<duration>({{2, gen_duration(1500)}, {1, gen_duration(6000)}}));
}

inline rc::Gen<std::vector<fault_step>> gen_random_steps() {
  return rc::gen::resize(max_fault_steps, rc::gen::container<std::vector<fault_step>>(
                                              rc::gen::resize(100, gen_fault_step())));
}

// A known scenario with all times scaled by 80 to 120 % and one random fault inserted.
inline rc::Gen<std::vector<fault_step>> gen_varied_steps() {
  return rc::gen::apply(
      [](std::size_t index, std::vector<int> percent, const fault_step& extra,
         std::size_t position) {
        auto steps = known_scenarios()[index].steps;
        for (std::size_t i = 0; i < steps.size(); ++i) {
          steps[i].wait = steps[i].wait * percent[2 * i % percent.size()] / 100;
          steps[i].length = steps[i].length * percent[(2 * i + 1) % percent.size()] / 100;
        }
        steps.insert(steps.begin() + static_cast<std::ptrdiff_t>(position % (steps.size() + 1)),
                     extra);
        return steps;
      },
      rc::gen::inRange<std::size_t>(0, known_scenarios().size()),
      rc::gen::container<std::vector<int>>(12, rc::gen::inRange(80, 121)),
      rc::gen::resize(100, gen_fault_step()), rc::gen::inRange<std::size_t>(0, 16));
}

// Two thirds of the scenarios are random; the rest are variations of known ones.
inline rc::Gen<scenario> gen_scenario() {
  return rc::gen::construct<scenario>(rc::gen::inRange<std::uint64_t>(0, 1 << 20),
                                      rc::gen::weightedOneOf<std::vector<fault_step>>(
                                          {{2, gen_random_steps()}, {1, gen_varied_steps()}}));
}

}  // namespace plantainpaddle::model
