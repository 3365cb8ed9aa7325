// A small world for the assigners of ranges: a store, instances, upstreams and the network between
// them, in virtual time, with faults on order. The oracle objects when two upstreams hold a key at
// once, or when a key is taken under a fence that isn't above all that others had.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace plantainpaddle::range_model {

enum class fault_kind {
  kill_instance,     // and start it anew
  freeze_instance,   // its clock goes on
  cut_store,         // one instance from the store
  store_down,        // for all; leases run on
  lose_answers,      // writes take effect and aren't answered, or later
  cut_upstream,      // one upstream from one instance
  isolate_upstream,  // one upstream from all instances
  crash_upstream,    // it comes back under its id and knows nothing
  lose_upstream,     // for good; its entry goes
  drain_upstream,    // it asks to be emptied
  late_grants,       // an upstream applies grants late
  break_links,       // all connections of an instance
  shift_load,        // the busy keys are others
  concede,           // the assigner gives its right up in good order
};
inline constexpr int fault_kinds = static_cast<int>(fault_kind::concede) + 1;

std::string fault_name(fault_kind kind);

struct fault {
  fault_kind kind = fault_kind::kill_instance;
  std::uint32_t at_ms = 0;
  std::uint32_t for_ms = 0;
  std::uint32_t who = 0;
  std::uint32_t other = 0;
};

struct scenario {
  std::uint64_t seed = 0;
  std::vector<fault> faults;
};

struct verdict {
  std::optional<std::string> violation;
  std::uint64_t steps = 0;
  std::uint64_t grants = 0;
  std::uint64_t moves = 0;  // keys taken from another upstream
  double served = 0;        // mean share of the keys held by a living upstream after the first 3 s
  std::vector<std::string> trace;
};

verdict run(const scenario& s, bool with_trace = false);
std::string to_string(const scenario& s);
// Faults that hit the guards one by one.
std::vector<std::vector<fault>> known_scenarios();

}  // namespace plantainpaddle::range_model
