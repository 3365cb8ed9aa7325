// The simulated processes, links and store behind run() of model.h.
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

// Processes by number: instances, then upstreams, then the store.
inline constexpr int store_process = instance_count + upstream_count;
inline constexpr int process_count = store_process + 1;

// Time since the start of the run on a perfect clock.
using true_time = duration;

class world {
 public:
  world(std::uint64_t seed, bool with_trace);

  void inject(fault_step step);
  void run_until(true_time end);
  void heal();
  bool all_served() const;
  std::string describe_unserved() const;

  true_time now() const { return now_; }
  std::uint64_t events() const { return events_; }
  const oracle& judge() const { return judge_; }
  std::vector<std::string> take_trace() { return std::move(trace_); }

 private:
  struct process {
    std::string name;
    double rate = 1;
    duration offset{0};
    bool alive = true;
    std::uint64_t life = 1;
    true_time frozen_until{0};
  };
  struct instance {
    standby_memory memory;
    std::unique_ptr<assigner> acting;
    std::optional<cell_inputs> inputs;  // as last fed to acting
    std::optional<cell_record> known;   // the newest record heard of
    std::map<std::string, instance_id> lives;
    std::set<std::string> listed;  // the platform's list, as last read
    monotonic_time restart_after{};
    monotonic_time last_event{};  // of the acting assigner
    std::uint64_t assigners_made = 0;
  };
  struct upstream {
    std::unique_ptr<grant_holder> holder;
    std::vector<shard_grant> work;  // requests that run, each under its grant
    bool drained = false;
    true_time removed_until{0};
    true_time drained_until{0};
  };
  struct link {
    true_time cut_until{0};
    true_time lossy_until{0};
    true_time slow_until{0};
    duration delay{0};
    true_time repeat_until{0};
    duration repeat{0};
  };
  // What the layout says of a shard.
  struct layout_place {
    fence_number least_fence{1};
    bool leaving = false;
    true_time back_at{0};
  };
  struct event {
    int process = 0;  // who carries it out; -1: the world itself
    std::uint64_t life = 0;
    std::function<void()> run;
  };

  // Time and messages.
  void at(true_time when, int process, std::function<void()> run);
  void send(int from, int to, const std::function<void()>& deliver);
  monotonic_time clock(int process) const;
  duration up_to(duration most);
  void note(const std::string& line);
  instance_id id_of(int number) const;
  int number_of(const std::string& name) const;

  // Faults.
  std::uint32_t resolve(std::uint32_t role) const;
  void crash(int number, true_time until);
  void cut_both_ways(int one, int other, true_time until);
  void confine(int number, std::uint32_t roles, true_time until);

  // Instances.
  void tick_instance(int number);
  void update_role(int number);
  bool should_start(int number);
  cell_inputs inputs_of(int number) const;
  void feed(int number, std::uint64_t assigner_made, const assigner_event& event);
  void perform(int number, std::uint64_t made, const send_order& action);
  void perform(int number, std::uint64_t made, const ask_standby& action);
  void perform(int number, std::uint64_t made, const remember_term& action);
  void perform(int number, std::uint64_t made, const publish_moving& action);
  void perform(int number, std::uint64_t made, const read_record& action);
  void perform(int number, std::uint64_t made, const write_record& action);
  void perform(int number, std::uint64_t made, const publish_record& action);
  void perform(int number, std::uint64_t made, const retire& action);
  void read_platform(int number);
  void learn(int number, const cell_record& record);
  void leave(int successor);
  void start_instance(int number);

  // The store.
  void call_store(int number, std::uint64_t made, request_number request,
                  std::function<stored_record()> operation);
  stored_record swap(const cell_record& record, std::uint64_t expected_version);

  // Upstreams.
  void start_upstream(int number);
  void stop_lapsed_work(int number);
  void send_request();
  void check();
  void return_shards();

  std::mt19937_64 random_;
  bool with_trace_;
  true_time now_{0};
  std::uint64_t sequence_ = 0;
  std::uint64_t events_ = 0;
  std::multimap<std::pair<true_time, std::uint64_t>, event> queue_;
  std::vector<process> processes_;
  std::vector<instance> instances_;
  std::vector<upstream> upstreams_;
  std::vector<std::vector<link>> links_;
  std::optional<cell_record> stored_;
  std::uint64_t version_ = 0;
  true_time store_down_until_{0};
  true_time store_mute_until_{0};
  true_time store_late_until_{0};
  duration store_delay_{0};
  std::vector<layout_place> layout_;     // by shard
  std::vector<true_time> listed_until_;  // by instance: on the platform's list
  oracle judge_;
  std::vector<std::string> trace_;
};

}  // namespace plantainpaddle::model
