// Exchanges with other instances what this one observes of upstreams, where upstreams are
// contended, and feeds what others have observed to the placements. Who is asked and how old the
// figures are is decided by observation_exchange.
//
//   observation_client observations(orders, self);
//   observations.set_instances(instances);
//   observations.tick(traffic.view());                       // several times a second
//   co_return observations.handle(body, traffic.view());     // another instance asks
//
// While the view isn't contended, nothing is sent or kept. One thread.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/error.h"
#include "base/suspensions.h"
#include "entry/traffic_state.h"
#include "http/client.h"
#include "routing/observation_exchange.h"

namespace plantainpaddle {

inline constexpr std::string_view observation_target = "/observations";

class observation_client {
 public:
  observation_client(http_client& client, instance_registration self,
                     observation_timing timing = {});

  void set_instances(const std::vector<instance_registration>& instances);
  void tick(const std::shared_ptr<const traffic_view>& view);
  // Answers another instance.
  http_response handle(std::string_view body, const std::shared_ptr<const traffic_view>& view);

  // Counts since the start.
  struct counters {
    std::uint64_t asked = 0;           // other instances
    std::uint64_t failed = 0;          // of these, without a usable answer
    std::uint64_t answered = 0;        // requests of others
    std::uint64_t received = 0;        // observations that were news
    std::uint64_t sent_bytes = 0;      // in bodies of requests and answers
    std::uint64_t received_bytes = 0;  // likewise
    std::uint64_t collector_changes = 0;
  };
  const counters& counts() const { return counts_; }
  bool active() const { return view_ != nullptr; }
  // Whether this instance collects for its domain.
  bool collects() const;

 private:
  // Where an upstream is in the view.
  struct listed_upstream {
    std::size_t service = 0;
    upstream_id name;
  };

  void use(const std::shared_ptr<const traffic_view>& view);
  void collect_own(monotonic_time now);
  void note_collector(monotonic_time now);
  void send(observation_ask ask);
  void on_answer(const observation_ask& ask, const result<http_response>& answer);
  void feed(const std::vector<shared_observation>& news, monotonic_time now);

  http_client& client_;
  instance_registration self_;
  observation_exchange exchange_;
  suspensions suspended_;
  std::shared_ptr<const traffic_view> view_;  // null unless contended
  std::unordered_map<observation_key, listed_upstream> upstreams_;
  monotonic_time last_tick_{};
  monotonic_time collected_until_{};  // of this instance's own reports
  monotonic_time distrusted_until_{};
  std::string collector_;
  counters counts_;
};

}  // namespace plantainpaddle
