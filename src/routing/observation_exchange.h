// Decides with whom an instance exchanges what it observes of upstreams, what it sends, and how old
// what it receives is. In each failure domain the instances send their observations to one of them,
// the collector, and get those of the others. Collectors ask those of other domains for what they
// know of their own domain's upstreams.
//
//   observation_exchange exchange(self, token);
//   exchange.set_instances(instances);  exchange.set_own_domain(keys);
//   exchange.observe(key, load, reported_at, now);           // a report that was received here
//   for (auto& ask : exchange.due(now)) send(ask);           // several times a second
//   for (auto& seen : exchange.on_answer(ask, answer, now)) use(seen);
//   exchange.on_failure(ask, now);
//   auto served = exchange.serve(request, now);              // another instance asks
//
// Messages state ages, as machines don't share a clock. The time that a message was under way is
// added in full by the side that can bound it: for an answer, all of the time since it was asked
// for; for a request, the time since the sender's previous answer was made, less the time for which
// the sender says it had that answer. An instance that hangs with a message thus makes its figures
// older, never younger. No I/O and no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ownership/news_source.h"
#include "routing/observation_board.h"

namespace plantainpaddle {

struct observation_timing {
  // Between messages to the collector, and from it to another domain's. Reports are of use for
  // about a service time, some 200 ms.
  duration period = milliseconds(150);
  duration remote_period = milliseconds(450);
  // For which a collector that didn't answer isn't asked; doubles up to the longest.
  duration suspicion = seconds(2);
  duration max_suspicion = seconds(16);
};

// With the period, these keep an instance within 18 KB/s: a message of 8 bytes an observation, some
// 300 bytes of heads and 100 of the first lines (observation_messages.h).
inline constexpr std::size_t max_sent_observations = 64;
inline constexpr std::size_t max_answered_observations = 200;

struct observation_request {
  std::string sender;  // its name
  domain_id domain;
  std::uint64_t token = 0;     // of the board that the position is in; 0: none
  std::uint64_t position = 0;  // up to which the sender knows the board
  std::uint64_t answer = 0;    // number of the last answer that the sender got; 0: none
  duration since_answer{0};    // for how long the sender has had that answer
  std::vector<shared_observation> observations;
  bool operator==(const observation_request&) const = default;
};

struct observation_answer {
  std::uint64_t token = 0;  // of the answering instance's board, which has another after a restart
  std::uint64_t position = 0;
  std::uint64_t answer = 0;  // its number
  std::vector<shared_observation> observations;
  bool operator==(const observation_answer&) const = default;
};

// A message to send.
struct observation_ask {
  domain_id domain;  // of the collector that is asked
  instance_registration peer;
  observation_request request;
  monotonic_time asked_at{};
};

class observation_exchange {
 public:
  // token: another one for each run of the process; not 0.
  observation_exchange(instance_registration self, std::uint64_t token,
                       observation_timing timing = {});

  void set_instances(const std::vector<instance_registration>& instances);
  // Sets the keys of the upstreams of the own domain, which other domains are told of.
  void set_own_domain(std::set<observation_key> keys) { own_domain_ = std::move(keys); }
  // Takes in a report that this instance received itself.
  void observe(observation_key key, const reported_load& load, monotonic_time reported_at,
               monotonic_time now);
  // Returns the messages that are due. For each, on_answer() or on_failure() must follow.
  std::vector<observation_ask> due(monotonic_time now);
  // Each returns the observations that are news to this instance, with their ages.
  std::vector<shared_observation> on_answer(const observation_ask& ask,
                                            const observation_answer& answer, monotonic_time now);
  struct served_request {
    observation_answer answer;
    std::vector<shared_observation> news;
  };
  served_request serve(const observation_request& request, monotonic_time now);
  void on_failure(const observation_ask& ask, monotonic_time now);
  // Forgets all observations, and how old requests are: the machine was suspended, or observations
  // are no longer shared.
  void reset();
  // The name of the instance that collects; that of this one if it does.
  std::string collector(monotonic_time now) const;

 private:
  // What is known of an instance that is asked.
  struct peer_state {
    std::string name;  // of the instance that the following is about
    std::uint64_t token = 0;
    std::uint64_t position = 0;
    std::uint64_t answer = 0;
    monotonic_time answered_at{};
    bool asking = false;
    monotonic_time next{};
  };
  // An instance that asks this one, and when its last answer was made.
  struct sender_state {
    std::uint64_t answer = 0;
    monotonic_time answered_at{};
  };

  struct own_report {
    reported_load load;
    monotonic_time reported_at{};
  };

  std::optional<observation_ask> ask(const domain_id& domain, const instance_registration& peer,
                                     monotonic_time now);
  std::optional<duration> transit_time(const observation_request& request,
                                       monotonic_time now) const;
  news_source& source_of(const domain_id& domain);

  instance_registration self_;
  std::uint64_t token_;
  observation_timing timing_;
  news_source source_;
  std::map<domain_id, news_source> remote_;  // sources of the other domains' collectors
  std::map<domain_id, peer_state> peers_;
  std::map<std::string, sender_state> senders_;
  std::uint64_t last_answer_ = 0;
  observation_board board_;
  std::map<observation_key, own_report> unsent_;  // which the collector hasn't confirmed
  std::set<observation_key> own_domain_;
};

}  // namespace plantainpaddle
