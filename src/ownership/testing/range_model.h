// Deterministic simulation of the assigners of key ranges. range_assigner and candidacy are the
// production classes; the store, the instances, the upstreams and the network between them are
// simulated, and a scenario says which faults occur and when.
//
//   verdict v = run({seed, faults}, /*with_trace=*/true);
//   if (v.violation) print(v.trace);
//
// An oracle reports a violation when two upstreams hold a key at the same time, when an upstream
// acquires a key under a fence that is not above every fence that others held it under, when an
// order reaches an upstream of another service, or when the stored record lowers a fence. The
// oracle looks at a sample of the keys.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace plantainpaddle::range_model {

// The kinds of faults. Each lasts for fault::for_ms unless its comment says otherwise; the instance
// is fault::instance_index, the upstream is fault::argument.
enum class fault_kind {
  kill_instance,     // and restart it afterwards
  freeze_instance,   // it does nothing, while its clock goes on
  cut_store,         // the instance cannot reach the store
  store_down,        // no instance can reach the store; leases go on running out
  lose_answers,      // half of the writes get no answer; half of those take effect 1 to 6 s late
  cut_upstream,      // calls from the instance to the upstream are lost or delayed
  cut_others,        // calls from all instances but that one to the upstream are lost or delayed
  isolate_upstream,  // calls from all instances to the upstream are lost or delayed
  crash_upstream,    // it restarts under its id with empty memory
  lose_upstream,     // permanently; its entry is removed 2 s later
  drain_upstream,    // it asks to be drained
  late_grants,       // the upstream applies half of the grants 2 to 12 s late
  break_links,       // all connections between instances and upstreams are reset; takes no time
  shift_load,        // the keys from sample `argument` on become the busiest; takes no time
  concede,           // the assigner gives up its right in an orderly way; takes no time
  // The store is down, and comes back as it was some seconds before: `argument` says how many.
  restore_store,
  // The upstream ends, and one of another service gets its address. It starts again under its id
  // at another address after the time, until when its entry stays.
  reuse_address,
  // The upstream ends, and another one of its service starts at its address at once. The entry of
  // the former one stays for the time.
  succeed_upstream,
  join_upstream,   // one that the table didn't have registers; takes no time
  leave_upstream,  // it asks to be drained for the time, and ends for good; its entry goes with it
  cut_entry,       // the upstream can't reach the store: its entry isn't written
  kill_instances,  // all of them, and restart them afterwards
};
inline constexpr int fault_kinds = static_cast<int>(fault_kind::kill_instances) + 1;

std::string fault_name(fault_kind kind);

struct fault {
  fault_kind kind = fault_kind::kill_instance;
  std::uint32_t at_ms = 0;   // from the start of the run
  std::uint32_t for_ms = 0;  // how long it lasts
  // Unless its remainder modulo 4 is 3, the fault hits the current assigner if there is one.
  // Otherwise the number of an instance, taken modulo their count.
  std::uint32_t instance_index = 0;
  // The number of an upstream or of a sample key, taken modulo their count.
  std::uint32_t argument = 0;
};

struct scenario {
  std::uint64_t seed = 0;  // of clock drifts, delays and requests
  std::vector<fault> faults;
  // Whether an entry changes when only its sequence does.
  bool shows_sequences = true;
};

struct verdict {
  std::optional<std::string> violation;  // the first one
  std::uint64_t steps = 0;               // events executed
  std::uint64_t grants = 0;              // sent
  std::uint64_t moves = 0;  // of sample keys to another upstream, or another life of it
  // Mean share, from 0 to 1, of the sample keys that a live upstream held, after the first 3 s.
  double served = 0;
  // The longest time for which a sample key had no holder after a restore of the store: of keys
  // that the restored record leaves with the owner and fence that they had, and of all.
  duration unmoved_gap{0};
  duration longest_gap{0};
  std::vector<std::string> trace;  // empty unless it was asked for
};

// Runs the scenario in simulated time. The same scenario always gives the same verdict.
verdict run(const scenario& s, bool with_trace = false);
std::string to_string(const scenario& s);
// Regression scenarios, each aimed at one guard of the protocol.
std::vector<std::vector<fault>> known_scenarios();

// Restores of the store after which keys must be held again in time.
struct restored_scenario {
  std::vector<fault> faults;
  duration most_unmoved_gap{0};  // see verdict; if sequences show
  duration longest_gap{0};
};
std::vector<restored_scenario> restored_scenarios();

}  // namespace plantainpaddle::range_model
