// Decides from whom an instance gets its news of the store: in each failure domain one instance
// reads the store, and the others ask it. Any instance that is asked reads, so that instances
// which disagree on who reads are all served. No I/O and no clock.
//
//   news_source source(self);
//   source.set_instances(instances);
//   if (const auto reader = source.reader(now)) ask(reader->address);
//   source.on_answer(name);  source.on_failure(name, now);
//   source.on_asked(now);    // another instance asks this one
//   source.role(now);
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "ownership/store_feed.h"

namespace plantainpaddle {

// An instance as it has registered itself.
struct instance_registration {
  std::string name;
  std::string address;  // where other instances reach it
  domain_id domain;
  double cores = 0;  // share of its machine's processor that it may use
  bool operator==(const instance_registration&) const = default;
};

struct news_source_timing {
  // An instance that has been asked reads for others until it hasn't been asked for so long.
  duration asked_memory = seconds(5);
  // One that didn't answer isn't asked for so long; doubles with each failure up to the longest.
  duration suspicion = seconds(3);
  duration max_suspicion = seconds(24);
  bool operator==(const news_source_timing&) const = default;
};

class news_source {
 public:
  explicit news_source(instance_registration self, news_source_timing timing = {});

  void set_instances(const std::vector<instance_registration>& instances);
  // Returns the instance to ask; nullopt if this one reads the store by itself.
  std::optional<instance_registration> reader(monotonic_time now) const;
  void on_answer(const std::string& name);
  void on_failure(const std::string& name, monotonic_time now);
  void on_asked(monotonic_time now) { asked_until_ = now + timing_.asked_memory; }
  feed_role role(monotonic_time now) const;

 private:
  struct suspicion {
    int failures = 0;
    monotonic_time until{};
  };

  instance_registration self_;
  news_source_timing timing_;
  std::vector<instance_registration> ranked_;  // of the own domain, with this one; the first reads
  std::map<std::string, suspicion> suspected_;
  monotonic_time asked_until_{};
};

}  // namespace plantainpaddle
