// Checks a soak: what callers saw, against the upstreams' journals and the faults that were made.
//
//   soak_verdict verdict = check_soak(requests, runs, history);
//   for (const auto& finding : verdict.findings) std::cerr << finding << '\n';
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "soak/clients.h"
#include "standin/journal.h"

namespace plantainpaddle {

// For which an upstream serves after its notice.
inline constexpr duration upstream_drain = seconds(2);

// From the signal that stops a process to the SIGKILL that may follow.
inline constexpr duration shutdown_time = seconds(6);

// Of the name of an upstream that is started at the address, and behind the relay, of another one.
inline constexpr std::string_view successor_suffix = "-next";

// Times are of the host's monotonic clock.
struct soak_history {
  struct signal {
    std::string name;  // of the instance
    int number = 0;
    duration at{0};
    bool repeats = false;  // a SIGTERM to a process that has had one
  };
  // Of a process or of its connections: unplanned ones excuse, those of the store only requests
  // with keys.
  struct impairment {
    std::string name;
    duration from{0};
    duration to{0};
  };
  // An upstream has said that it leaves. `to`: its process ended.
  struct notice {
    std::string upstream;
    duration from{0};
    duration to{0};
  };
  std::map<std::string, std::string> instances;  // names by address
  std::vector<notice> notices;
  std::vector<signal> signals;
  std::vector<duration> state_changes;
  std::vector<impairment> impairments;
  std::vector<impairment> store_impairments;
  std::vector<std::string> own_ends;  // processes that ended without a signal
};

struct soak_verdict {
  std::uint64_t requests = 0;
  std::uint64_t complete = 0;
  // Requests that ended around planned work without an unplanned impairment.
  std::uint64_t around_stops = 0;
  std::uint64_t closed_without_answer = 0;      // in calm, on kept connections
  std::map<std::string, std::uint64_t> broken;  // by promise
  std::vector<std::string> findings;            // with their traces, a bounded number of each

  std::vector<std::string> notes;  // what breaks no promise and is worth a look

  bool clean() const { return broken.empty(); }
  void add(const std::string& promise, const std::string& trace);
};

// Adds what is wrong with the keys that upstreams held: two held a key for over half a second, or
// one of a service without keys was granted some. Grants over a link that was impaired, or shortly
// before, may have been held up, and don't count.
void check_holds(const std::vector<hold_record>& holds, const soak_history& history,
                 soak_verdict& verdict);

soak_verdict check_soak(const std::vector<soak_request>& requests,
                        const std::vector<run_record>& runs, const soak_history& history);

}  // namespace plantainpaddle
