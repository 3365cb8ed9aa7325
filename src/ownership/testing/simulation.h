// The simulation behind run() of model.h: processes, links and the store, driven by a queue of
// timed events.
//
//   simulation sim(seed, /*with_trace=*/false);
//   sim.run_until(seconds(2));
//   sim.inject(step);
//   sim.run_until(sim.now() + step.length);
//   sim.end_faults();
//
// Events run one at a time in the order of their times, and all randomness comes from the seed, so
// a run is reproducible. An event of a process is dropped if the process has crashed since the
// event was scheduled, and postponed while the process is frozen.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "ownership/assigner.h"
#include "ownership/grant_holder.h"
#include "ownership/standby.h"
#include "ownership/testing/model.h"
#include "ownership/testing/oracle.h"

namespace plantainpaddle::model {

// Processes are numbered: first the instances, then the upstreams, then the store.
inline constexpr int store_process = instance_count + upstream_count;
inline constexpr int process_count = store_process + 1;

// Time since the start of the run, on a clock without drift.
using true_time = duration;

class simulation {
 public:
  simulation(std::uint64_t seed, bool with_trace);

  // Starts a fault; model.h says how long each kind lasts.
  void inject(fault_step step);
  // Runs all events up to `end`, or until the oracle reports a violation.
  void run_until(true_time end);
  // Ends the faults that still last and restarts the processes that are down.
  void end_faults();
  bool all_served() const;
  // Names the shards that no upstream serves under the stored record; empty if all are served.
  std::string describe_unserved() const;

  true_time now() const { return now_; }
  std::uint64_t events() const { return events_; }
  const oracle& get_oracle() const { return oracle_; }
  // The trace so far, one line per event of interest; the simulation keeps none of it.
  std::vector<std::string> take_trace() { return std::move(trace_); }

 private:
  struct process {
    std::string name;
    double clock_rate = 1;  // local time per true time
    duration clock_offset{0};
    bool alive = true;
    std::uint64_t life = 1;  // changes with each crash and each start
    true_time frozen_until{0};
  };
  struct instance {
    standby_memory standby;
    std::unique_ptr<assigner> local_assigner;      // null while the instance is not assigner
    std::optional<cell_inputs> last_inputs;        // delivered to local_assigner
    std::optional<cell_record> latest_record;      // the newest one that the instance has received
    std::map<std::string, instance_id> known_ids;  // current ids of instances, by name
    std::set<std::string> listed_instances;        // the platform's list, as last read
    monotonic_time restart_after{};                // no new assigner starts before this
    monotonic_time last_event_time{};              // of local_assigner
    // Counts the assigners started here. Replies to earlier ones are dropped.
    std::uint64_t assigner_generation = 0;
  };
  struct upstream {
    std::unique_ptr<grant_holder> holder;
    std::vector<shard_grant> running_requests;  // the grant of each
    bool drained = false;
    true_time removed_until{0};
    true_time drained_until{0};
  };
  // One direction between two processes.
  struct link {
    true_time blocked_until{0};
    true_time lossy_until{0};
    true_time slow_until{0};
    duration max_extra_delay{0};
    true_time duplicate_until{0};
    duration max_duplicate_delay{0};
  };
  // What the layout says of one shard.
  struct layout_entry {
    fence_number min_fence{1};
    bool leaving = false;  // to another cell
    true_time returns_at{0};
  };
  struct event {
    int process = 0;         // that runs it; -1 for the simulation itself
    std::uint64_t life = 0;  // of that process when the event was scheduled
    std::function<void()> run;
  };

  // Time and messages. A message is delivered as an event of the receiver.
  void schedule(true_time when, int process, std::function<void()> run);
  void send(int from, int to, const std::function<void()>& deliver);
  monotonic_time clock(int process) const;  // local time
  duration random_below(duration limit);
  void add_trace(const std::string& line);
  instance_id id_of(int number) const;
  int number_of(const std::string& name) const;

  // Faults. resolve() turns a role into the process number that has it now.
  std::uint32_t resolve(std::uint32_t role) const;
  void crash(int number, true_time until);
  void block_both_ways(int first, int second, true_time until);
  void restrict_peers(int number, std::uint32_t roles, true_time until);

  // Instances. `generation` is the assigner_generation that an event or an action belongs to.
  void tick_instance(int number);
  void update_role(int number);
  bool should_start_assigner(int number);
  cell_inputs inputs_of(int number) const;
  void handle_event(int number, std::uint64_t generation, const assigner_event& event);
  void perform(int number, std::uint64_t generation, const send_order& action);
  void perform(int number, std::uint64_t generation, const ask_standby& action);
  void perform(int number, std::uint64_t generation, const remember_term& action);
  void perform(int number, std::uint64_t generation, const publish_moving& action);
  void perform(int number, std::uint64_t generation, const read_record& action);
  void perform(int number, std::uint64_t generation, const write_record& action);
  void perform(int number, std::uint64_t generation, const publish_record& action);
  void perform(int number, std::uint64_t generation, const retire& action);
  void read_instance_list(int number);
  void update_record(int number, const cell_record& record);
  void hand_over_term(int successor);
  void start_instance(int number);

  // The store. `operation` runs there, and its result is delivered as store_replied.
  void call_store(int number, std::uint64_t generation, request_number request,
                  std::function<stored_record()> operation);
  stored_record compare_and_swap(const cell_record& record, std::uint64_t expected_version);

  // Upstreams.
  void start_upstream(int number);
  void stop_expired_requests(int number);
  void send_request();
  void check_running();
  void return_shards();

  std::mt19937_64 random_;
  bool with_trace_;
  true_time now_{0};
  std::uint64_t sequence_ = 0;  // orders events of the same time
  std::uint64_t events_ = 0;
  std::multimap<std::pair<true_time, std::uint64_t>, event> queue_;
  std::vector<process> processes_;
  std::vector<instance> instances_;
  std::vector<upstream> upstreams_;
  std::vector<std::vector<link>> links_;  // by sender, then receiver
  std::optional<cell_record> stored_;
  std::uint64_t stored_version_ = 0;
  true_time store_down_until_{0};
  true_time store_replies_lost_until_{0};
  true_time store_slow_until_{0};
  duration store_max_delay_{0};
  std::vector<layout_entry> layout_;     // by shard
  std::vector<true_time> listed_until_;  // by instance: when its registration ends
  oracle oracle_;
  std::vector<std::string> trace_;
};

}  // namespace plantainpaddle::model
