// Whether a request is sent to the upstream that was chosen for it, by its priority and by what the
// upstream's load leaves: a term of the send_decision.
//
//   auto profile = make_admission_profile(snapshot, service);      // once for each view
//   auto admitted = decide_by_priority({.expected = chosen.expected, ...}, random);
//   decision = strictest(decision, admitted.term);
//
// A request may join an upstream's queue only as far as its route's target latency allows. While
// room is short, of this wait less urgent requests get a part only of what the most urgent ones
// can afford, so that a queue that is full for the former has places for the latter. Requests that
// can only be late get free slots and no wait. No I/O and no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "routing/send_decision.h"
#include "routing/snapshot.h"

namespace plantainpaddle {

// What the routes to a service ask for.
struct admission_profile {
  struct urgent_route {
    std::string work;  // name of the route
    duration target{0};
    bool operator==(const urgent_route&) const = default;
  };
  std::vector<std::uint32_t> priorities;  // of all its routes, each once, the most urgent first
  std::vector<urgent_route> most_urgent;  // its routes of the first priority that state a target
  bool operator==(const admission_profile&) const = default;
};

// service: its index in the snapshot.
admission_profile make_admission_profile(const routing_snapshot& snapshot, std::size_t service);

struct priority_question {
  duration expected{0};  // until the answer of the chosen upstream
  duration wait{0};      // the part of it in the upstream's queue
  duration target{0};    // route's target latency, counted from the caller's first attempt; 0: none
  duration left{0};      // until the deadline
  duration allowed{0};   // route's time budget. With less left, the caller has tried before.
  std::size_t rank = 0;  // of the route's priority among those of the service; 0: the most urgent
  std::size_t ranks = 1;
  // The longest wait that the most urgent requests of the service can afford.
  duration urgent_wait{0};
  double usage = 0;                    // load per slot (placement_decision::usage)
  std::optional<duration> report_age;  // of the upstream's last report
};

struct priority_decision {
  send_decision term;
  duration wait_limit{0};  // the longest wait that would have been admitted
  bool late = false;       // the target latency can't be met
  bool returns = false;    // the caller has tried before and waited since
};

// random: 64 random bits, which spread the time of the next try.
priority_decision decide_by_priority(const priority_question& question, std::uint64_t random);

// Returns the longest wait in a queue with which work of that length meets the target.
duration affordable_wait(duration target, duration work);

}  // namespace plantainpaddle
