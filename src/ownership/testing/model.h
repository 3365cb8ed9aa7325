// Deterministic simulation of one cell. The assigners, standbys and grant holders are the
// production classes; the instances, upstreams, links, clocks and the store around them are
// simulated, and a scenario says which faults occur and when.
//
//   verdict v = run(make_scenario(seed, steps));
//   if (v.violation) print(v.trace);
//
// Each process has its own clock, which drifts by up to 2 %. A process may freeze between any two
// of its events, including between deciding on an action and carrying it out. Messages may be lost,
// delayed by seconds, duplicated and reordered.
//
// An oracle that sees every process and the true time reports a violation when
//
// - two upstreams may run requests of one shard at the same time;
// - a request starts under an older fence than one that was already granted;
// - a grant or a published record is not in the store;
// - the term, the revision or a fence of the stored record decreases;
// - a shard is not served within recovery_bound after the last fault has ended.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace plantainpaddle::model {

inline constexpr int instance_count = 4;
inline constexpr int upstream_count = 3;
inline constexpr int shard_count = 5;
// From the end of the last fault until every shard must be served again.
inline constexpr duration recovery_bound = seconds(10);

// The kinds of faults. `target`, `argument` and `length` are the members of fault_step.
enum class fault {
  freeze,              // process `target` does nothing for `length`
  crash,               // process `target` restarts after `length` with empty memory
  block_link,          // no message from `target` to `argument` arrives for `length`
  isolate,             // no message to or from `target` arrives for `length`
  lose_messages,       // each message from `target` to `argument` is lost with probability 1/2
  delay_messages,      // messages from `target` to `argument` take up to `length` longer for 2 s
  duplicate_messages,  // they arrive twice for 2 s, the second copy up to `length` later
  store_down,          // the store neither executes nor answers requests for `length`
  store_replies_lost,  // the store executes requests, but its replies are lost, for `length`
  store_slow,          // requests to the store and replies take up to `length` longer for 2 s
  leave,               // the active assigner hands its term over to instance `argument`
  drain_upstream,      // the table marks upstream `target` as draining for `length`
  remove_upstream,     // the table does not list upstream `target` for `length`
  partition,           // processes whose bits are set in `argument` are cut off from all the others
  release_shard,       // the layout assigns shard `target` to another cell for `length`
  restrict_peers,      // `target` exchanges messages only with the with_* roles set in `argument`
};

inline constexpr int fault_count = static_cast<int>(fault::restrict_peers) + 1;

// Values of fault_step::target and fault_step::argument that name a process by the role that it has
// when the fault occurs. All other values are process numbers.
inline constexpr std::uint32_t role_assigner = 100;
inline constexpr std::uint32_t role_first_standby = 101;
inline constexpr std::uint32_t role_second_standby = 102;
inline constexpr std::uint32_t role_owner = 103;  // of shard 0

// Bits of the argument of fault::restrict_peers: the peers that stay reachable.
inline constexpr std::uint32_t with_store = 1;
inline constexpr std::uint32_t with_assigner = 2;
inline constexpr std::uint32_t with_first_standby = 4;
inline constexpr std::uint32_t with_second_standby = 8;
inline constexpr std::uint32_t with_owner = 16;
inline constexpr std::uint32_t with_others = 32;

struct fault_step {
  fault kind = fault::freeze;
  // A role, or a number that is taken modulo the count of processes (or shards) that `kind`
  // affects.
  std::uint32_t target = 0;
  std::uint32_t argument = 0;  // a second process, or a set of bits, as `kind` says
  duration wait{0};            // since the previous step
  duration length{0};
};

struct scenario {
  std::uint64_t seed = 0;  // of clock drifts, delays and requests
  std::vector<fault_step> steps;
};

struct verdict {
  std::optional<std::string> violation;  // the first one
  std::uint64_t events = 0;              // executed in the simulation
  std::uint64_t moves = 0;               // of shards to a new fence, from the first fault on
  std::vector<std::string> trace;        // empty unless it was asked for
};

// Both describe the faults in English, for failure reports.
std::string to_string(const fault_step& step);
std::string to_string(const scenario& s);

// Runs the scenario in simulated time. The same scenario always gives the same verdict.
verdict run(const scenario& s, bool with_trace = false);

}  // namespace plantainpaddle::model
