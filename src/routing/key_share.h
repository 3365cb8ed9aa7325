// Limits a key that takes more than its share of its owner. Such a key fills the owner's slots and
// queue, so that the requests of the owner's other keys find no room. An instance recognises the
// key by its own requests, as the key's are spread over all instances in the same way as those of
// its neighbours.
//
//   key_share shares({});
//   shares.add(key, owner, now);               // each request, when it arrives
//   const auto found = shares.judge({.key = key, .owner = owner, .load = 5, .slots = 4, ...});
//   if (found.decision.verdict == send_verdict::refuse) refuse(...);
//
// Not thread-safe. Memory is bounded by key_share_config::most_keys.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "base/ids.h"
#include "base/time.h"
#include "routing/send_decision.h"

namespace plantainpaddle {

struct key_share_config {
  // Time constant of the decay of the counts. Of a key that is busy for several seconds, an
  // instance among many gets about one request a second, and should recognise each after the first.
  duration memory = seconds(4);
  // A key with a smaller part of its owner's requests isn't limited. Two keys of an owner may have
  // it.
  double large_part = 0.4;
  // A key of which fewer requests are remembered isn't limited: its part may be chance.
  double least_requests = 1.3;
  std::size_t most_keys = 512;
  duration log_period = seconds(1);  // between lines about refused requests
  bool operator==(const key_share_config&) const = default;
};

// A request that is about to be sent to its key's owner.
struct key_share_question {
  std::uint64_t key = 0;  // number or hash of the key
  upstream_id owner;
  double load = 0;  // requests that are estimated to run or wait there
  std::uint32_t slots = 1;
  std::uint64_t keys_of_owner = 1;  // that it is assigned
  duration service_time{0};
  monotonic_time now;
};

struct key_share_finding {
  send_decision decision;
  double of_key = 0;    // requests of the key that are remembered, each weighted by its age
  double of_owner = 0;  // those of all of the owner's keys; computed only if the decision needs it
};

class key_share {
 public:
  explicit key_share(key_share_config config) : config_(config) {}

  // A request of the key has arrived, whose owner is `owner`.
  void add(std::uint64_t key, const upstream_id& owner, monotonic_time now);
  // Refuses the request if its key has a large part of the owner's requests and the owner's slots
  // are taken. Takes O(most_keys) in that case, else O(1).
  key_share_finding judge(const key_share_question& question) const;
  // Whether log_period has passed since the last time this returned true.
  bool may_log(monotonic_time now);
  std::size_t size() const { return keys_.size(); }

 private:
  struct counted {
    double requests = 0;
    monotonic_time updated{};
    upstream_id owner;
  };

  double requests_of(const counted& key, monotonic_time now) const;
  void make_room(monotonic_time now);

  key_share_config config_;
  std::unordered_map<std::uint64_t, counted> keys_;
  monotonic_time next_log_{};
};

}  // namespace plantainpaddle
