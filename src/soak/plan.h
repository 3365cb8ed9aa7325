// What one run of the soak does: the size of the system and the faults, with their times. All of it
// follows from the seed.
//
//   soak_plan plan = draw_soak({.seed = 7, .length = seconds(20)});
//
// Faults come in series and overlap. Those of planned work (SIGTERM, SIGHUP, changes of the desired
// state, upstreams that leave) come in all runs, the others in every second one, so that half of
// the runs have no impairment that excuses a lost request.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"

namespace plantainpaddle {

// Indexes count the instances, or the upstreams, in the order of their names.
namespace soak_fault {

// After the first SIGTERM the process has the time for a shutdown, then SIGKILL follows. It is
// started again as soon as it has ended.
struct signal_entry {
  std::size_t entry = 0;
  int signal = 0;
};
// A process that ends is started again after the time.
struct signal_upstream {
  std::size_t upstream = 0;
  int signal = 0;
  duration absent{0};
};
// The upstream that has the address of another one after reuse_address can't write its entry.
struct cut_entry {
  std::size_t former = 0;
  bool cut = false;
};
// The process is killed for good. After the time, a new upstream of another service starts at its
// address.
struct reuse_address {
  std::size_t upstream = 0;
  duration absent{0};
};
struct set_upstream {
  std::size_t upstream = 0;
  std::string settings;
};
struct set_platform {
  std::string fault;
};
// Of the connections to an upstream, or of an instance to the platform.
struct set_relay {
  bool to_platform = false;
  std::size_t index = 0;
  std::string fault;  // members of the relay's fault; empty: none
  bool ends = false;  // an earlier fault
};
// SIGHUP, with other settings in the file.
struct change_settings {
  std::size_t entry = 0;
  std::string log_level;
};
// The next version of the desired state; it adds a route or takes the last one away.
struct change_state {
  std::uint64_t step = 1;
  bool adds = false;
};

}  // namespace soak_fault

using any_soak_fault =
    std::variant<soak_fault::signal_entry, soak_fault::signal_upstream, soak_fault::reuse_address,
                 soak_fault::cut_entry, soak_fault::set_upstream, soak_fault::set_platform,
                 soak_fault::set_relay, soak_fault::change_settings, soak_fault::change_state>;

struct soak_event {
  duration at{0};
  any_soak_fault fault;
};

enum class soak_size { small, full };

struct soak_options {
  std::uint64_t seed = 1;
  duration length = seconds(20);
  soak_size size = soak_size::small;
};

struct soak_plan {
  soak_options options;
  bool unplanned = false;  // has faults that aren't planned work
  std::size_t entries_per_domain = 2;
  std::size_t upstreams_per_domain = 2;  // of each service
  std::size_t clients_per_entry = 15;
  std::uint32_t connections = 0;  // that each upstream accepts from all instances; 0: plenty
  std::string upstream_settings;
  std::vector<soak_event> events;  // by time
};

soak_plan draw_soak(const soak_options& options);

// One line for people.
std::string describe(const soak_event& event);

}  // namespace plantainpaddle
