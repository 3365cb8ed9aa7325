// Instances that read a store through store_reader, on virtual time: answers take as long as their
// bytes need on the instance's link and processor. Measures how long after the store's
// acknowledgement news take effect on instances that are in touch with it.
//
//   feed_simulation simulation(faults, seed);
//   simulation.run(seconds(40));
//   simulation.worst_desired_age();
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "ownership/key_versions.h"
#include "ownership/news.h"
#include "ownership/news_source.h"
#include "ownership/store_feed.h"
#include "ownership/upstream_list.h"

namespace plantainpaddle {

enum class feed_fault_kind {
  refused,    // the store turns the instances away
  cut,        // the instances don't reach the store
  frozen,     // the instances' processes stop
  silent,     // connections that are open say nothing any more
  lost,       // some of the store's answers are lost
  late,       // some of the store's answers are late by seconds
  compacted,  // the store has no history
  restored,   // the store is away, and comes back as it was some seconds before
  isolated,   // the instances reach the store, but no other instance
};

inline constexpr int feed_fault_kinds =
    8;  // that random scenarios have; the later ones need others

struct feed_fault {
  feed_fault_kind kind;
  duration from{0};
  duration until{0};
  std::size_t first_instance = 0;
  std::size_t instances = 0;  // 0: the fault is the store's own
};

// Faults that this found news to be late under, each with what it guards against, and others.
struct feed_scenario {
  std::string name;
  std::vector<feed_fault> faults;
};
std::vector<feed_scenario> known_feed_scenarios();
feed_scenario random_feed_scenario(std::uint64_t seed);
// The same for instances that hand on news: the ones that read the store for others fail.
std::vector<feed_scenario> known_news_scenarios();
feed_scenario random_news_scenario(std::uint64_t seed);

struct feed_load {
  std::size_t instances = 80;
  std::size_t upstreams = 400;
  // Failure domains whose instances hand on news to each other; 0: each reads the store for itself.
  // Neighbours by index are of different domains.
  std::size_t domains = 0;
  double link_bytes_per_s = 1'000'000;    // what other traffic leaves of 10 Mbit/s
  double processing_bytes_per_s = 2.5e6;  // on a tenth of a core
  // The assigner moves many keys at first and a few later.
  duration record_period = milliseconds(60);
  duration calm_record_period = milliseconds(500);
  duration many_moves_until = seconds(16);
  std::size_t record_bytes = 13'000;
  std::size_t large_state_bytes = 250'000;
  // Each instance asks for the routers' own keys so often, as one that hears nothing of an
  // assigner; 0: never.
  duration request_period{0};
};

class feed_simulation {
 public:
  feed_simulation(feed_load load, std::vector<feed_fault> faults, std::uint64_t seed);

  void run(duration length);

  // The worst ages, over all instances in touch, of a change that isn't in effect yet.
  duration worst_desired_age() const { return worst_desired_; }
  duration worst_leaving_age() const { return worst_leaving_; }
  const std::string& worst() const { return worst_; }
  // How often an instance that knew of an upstream's notice or end took it for serving again.
  std::size_t forgotten() const { return forgotten_; }
  double calls_per_s() const { return calls_per_s_; }
  std::size_t largest_answer() const { return largest_answer_; }
  std::uint64_t desired_version(std::size_t index) const { return instances_[index].desired; }
  // Returns the calls per second of one of these instances to the store within this time.
  double calls_per_s(duration from, duration until, std::size_t first, std::size_t count) const;

 private:
  struct change {
    std::uint64_t revision = 0;
    std::string key;
    std::size_t bytes = 0;
    std::uint64_t version = 0;  // of a desired state; of an upstream: whether it leaves
    bool removed = false;
    std::uint64_t sequence = 0;  // of an upstream's entry
  };
  struct pending {
    std::size_t instance = 0;
    std::size_t feed = 0;
    store_read read;
    bool answered = false;
    bool transferring = false;
    bool cancelled = false;
    monotonic_time arrives{};
    std::uint64_t asked_in = 0;  // the era that the instance knew
  };
  struct instance {
    store_reader feeds;
    std::uint64_t era = 1;
    key_versions versions{};
    std::set<std::string> ended;  // upstreams of which it has known that they leave or are gone
    std::uint64_t desired = 0;
    upstream_list upstreams = upstream_list();
    monotonic_time last_contact{};
    monotonic_time link_free{};
    monotonic_time busy_until{};
    monotonic_time in_touch_from{};
    news_source source{instance_registration()};
    news_log log{1, {}};
    bool asking = false;
    std::uint64_t last_ask = 0;
    std::uint64_t token = 0;
    std::uint64_t sequence = 0;
    value_pace pace{};
    monotonic_time next_request{};
    std::vector<monotonic_time> calls{};
  };
  // A request for news.
  struct news_call {
    std::size_t asker = 0;
    std::size_t asked = 0;
    std::uint64_t number = 0;  // of the asker's requests
    news_request request;
    monotonic_time sent{};
    monotonic_time arrived{};
  };
  struct news {
    std::uint64_t version = 0;
    std::string upstream;  // that leaves or is gone
    monotonic_time acked{};
  };

  void at(monotonic_time when, std::function<void()> what);
  void write(const std::string& key, std::size_t bytes, std::uint64_t version);
  void remove(const std::string& key);
  bool is_known(const instance& self, const news& n) const;
  void plan_writes(duration length);
  void send_reads(std::size_t index);
  void register_instances();
  void ask_for_news(std::size_t index);
  void answer_news(std::size_t index);
  void send_news(const news_call& call);
  void take_in_news(const news_call& call, const std::optional<news_answer>& answer);
  // Whether messages pass between the two instances now.
  bool are_connected(std::size_t a, std::size_t b) const;
  void apply(instance& self, const change& c);
  static std::string news_value(const change& c);
  void arrive(const std::shared_ptr<pending>& call);
  void answer(const std::shared_ptr<pending>& call);
  void cancel_others(const std::shared_ptr<pending>& call);
  void fail(const std::shared_ptr<pending>& call);
  void take_in(const pending& call, const std::vector<change>& changes, std::uint64_t revision);
  void copy_store();
  void restore_store();
  void write_again(const change& lost);
  bool is_current(instance& self, const pending& call, std::uint64_t era);
  void check_forgotten();
  monotonic_time stable_from() const;
  void check();
  const feed_fault* active(feed_fault_kind kind, std::size_t index) const;
  bool is_in_touch(std::size_t index) const;

  feed_load load_;
  std::vector<feed_fault> faults_;
  std::mt19937_64 random_;
  monotonic_time now_{};
  std::multimap<monotonic_time, std::function<void()>> events_;
  std::uint64_t revision_ = 1;
  std::uint64_t compacted_ = 0;
  std::vector<change> log_;
  std::map<std::string, change> state_;
  struct store_copy {
    monotonic_time taken{};
    std::uint64_t revision = 0;
    std::map<std::string, change> state;
  };
  std::deque<store_copy> copies_;
  std::uint64_t era_ = 1;
  std::map<std::string, std::uint64_t> sequences_;  // by upstream
  std::set<std::string> ended_;                     // upstreams that write no more
  std::size_t forgotten_ = 0;
  std::vector<instance> instances_;
  std::vector<std::shared_ptr<pending>> waiting_;
  std::vector<std::shared_ptr<pending>> calls_under_way_;
  std::vector<news_call> news_calls_;  // that wait for an answer
  std::vector<news> news_;
  duration worst_desired_{0};
  duration worst_leaving_{0};
  std::string worst_;
  std::uint64_t calls_ = 0;
  double calls_per_s_ = 0;
  std::size_t largest_answer_ = 0;
};

}  // namespace plantainpaddle
