// A cell in simulated time: the real assigners, standbys and grant holders on simulated instances,
// upstreams, links and a store, with faults on order, and an oracle that knows true time.
//
//   verdict v = run(make_scenario(seed, steps));
//   if (v.violation) print(v.trace);
//
// Each process has a clock of its own, which drifts by up to 2 %. A process may freeze between any
// two of its events, also between deciding on an action and carrying it out. Messages may be lost,
// delayed by seconds, repeated and overtaken by one another.
//
// The oracle objects to: two upstreams that may run requests of one shard at one moment; a request
// that starts under an older fence than one that was granted; a grant or a published record that is
// not in the store; a record whose term, revision or fences go back; a shard that is not served
// within recovery_bound of the last fault's end.
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
inline constexpr duration recovery_bound = seconds(10);

enum class fault {
  freeze,      // process who does nothing for length
  crash,       // process who restarts after length with nothing in memory
  cut,         // nothing passes from who to whom for length
  isolate,     // nothing passes to or from who for length
  lose,        // each message from who to whom is lost with probability 1/2
  delay,       // messages from who to whom take up to length
  repeat,      // messages from who to whom are delivered twice, the second one up to length later
  store_down,  // the store answers nothing and does nothing for length
  store_mute,  // the store's writes take effect, its answers are lost, for length
  store_late,  // requests to the store and their answers take up to length each
  leave,       // the acting assigner hands its term over to instance whom
  drain,       // the table sets upstream who to drain, and back after length
  remove,      // the table lacks upstream who for length
  partition,  // the processes whose bits are set in whom and the others are cut off from each other
  release,    // the layout moves shard who to another cell, and back after length
  confine,    // who exchanges messages only with the roles whose bits are set in whom
};

inline constexpr int fault_count = static_cast<int>(fault::confine) + 1;

// A process of a fault step: by number, or by the role that it has when the fault comes.
inline constexpr std::uint32_t role_assigner = 100;
inline constexpr std::uint32_t role_first_standby = 101;
inline constexpr std::uint32_t role_second_standby = 102;
inline constexpr std::uint32_t role_owner = 103;  // of shard 0

// Bits of confine: store, then the roles.
inline constexpr std::uint32_t with_store = 1;
inline constexpr std::uint32_t with_assigner = 2;
inline constexpr std::uint32_t with_first_standby = 4;
inline constexpr std::uint32_t with_second_standby = 8;
inline constexpr std::uint32_t with_owner = 16;
inline constexpr std::uint32_t with_others = 32;

struct fault_step {
  fault kind = fault::freeze;
  std::uint32_t who = 0;  // a role, or taken modulo the number of processes of the fitting kind
  std::uint32_t whom = 0;
  duration wait{0};  // from the step before to this one
  duration length{0};
};

struct scenario {
  std::uint64_t seed = 0;  // of drifts, delays and requests
  std::vector<fault_step> steps;
};

struct verdict {
  std::optional<std::string> violation;
  std::uint64_t events = 0;  // that were carried out
  std::uint64_t moves = 0;   // of shards, from the first fault on
  std::vector<std::string> trace;
};

std::string to_string(const fault_step& step);
std::string to_string(const scenario& s);

// The same scenario gives the same verdict.
verdict run(const scenario& s, bool with_trace = false);

}  // namespace plantainpaddle::model
