// The state of the simulated upstreams, instances and store behind run() of range_model.h.
#pragma once

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <optional>

#include "ownership/candidacy.h"
#include "ownership/range_assigner.h"
#include "ownership/range_tenure.h"
#include "ownership/upstream_presence.h"

namespace plantainpaddle::range_model {

inline constexpr int instance_count = 3;
inline constexpr int initial_upstreams = 4;
// Those beyond the initial ones are started at the addresses of others that have ended.
inline constexpr int upstream_count = 6;
// Some of which no upstream has at first.
inline constexpr int address_count = 16;
inline constexpr duration reuse_after = seconds(2);
// Keys at which the oracle looks, spread evenly over the key space of 16 bits.
inline constexpr int sample_count = 32;
inline constexpr duration run_time = seconds(45);
inline constexpr duration tick_period = milliseconds(50);
inline constexpr duration poll_period = milliseconds(300);
inline constexpr duration heartbeat = seconds(1);
inline constexpr int lapse_heartbeats = 3;  // missed ones after which an entry is removed

inline range_timing simulated_timing() {
  range_timing timing;
  constexpr duration lapse_slack = milliseconds(2500);
  timing.entry_lapse = lapse_heartbeats * heartbeat + lapse_slack;
  return timing;
}

inline std::uint32_t sample_key(int i) { return static_cast<std::uint32_t>(i) * 2048 + 512; }

struct held_key {
  std::uint64_t fence = 0;
  monotonic_time until{};
};

// Who has an address. An upstream of another service takes no orders.
struct occupant {
  enum class kind { nobody, own, foreign };
  kind is = kind::nobody;
  int upstream = 0;          // if it is one of this service
  std::uint64_t number = 0;  // rises with each occupant

  bool operator==(const occupant&) const = default;
};

// What the store says of an upstream.
struct upstream_entry {
  bool listed = false;
  int address = 0;
  std::uint64_t life = 1;
  std::uint64_t sequence = 0;  // rises with each heartbeat
};

struct upstream {
  upstream_id name;
  int address = 0;
  std::uint64_t life = 1;  // changes with each crash
  bool alive = true;
  upstream_entry entry;
  std::uint64_t heartbeats = 0;  // of this life
  int missed_heartbeats = 0;     // that the store hasn't got, in a row
  monotonic_time entry_cut_until{};
  // What a store shows that has come back from an older copy, until entry_back. Instances that have
  // seen the entry keep it.
  upstream_entry restored_entry;
  monotonic_time entry_back{};
  bool draining = false;
  double clock_scale = 1;  // true time per local time
  monotonic_time slow_grants_until{};
  monotonic_time isolated_until{};
  std::array<held_key, sample_count> held{};
  std::array<std::uint64_t, sample_count> highest_fences{};  // seen in this life
  // Refuses fences below that of the order from now on, and drops what it holds under it or below.
  void release(const range_action::release& order) {
    for (int i = 0; i < sample_count; ++i) {
      const auto index = static_cast<std::size_t>(i);
      if (sample_key(i) < order.first || sample_key(i) > order.last) continue;
      highest_fences[index] = std::max(highest_fences[index], order.fence.value);
      if (held[index].fence <= order.fence.value) held[index] = {};
    }
  }

  // Counts crashes and connection resets. Links opened under an earlier value are closed.
  std::uint64_t connection_epoch = 0;
};

struct instance {
  explicit instance(int i) : number(i) {}
  int number;
  std::uint64_t life = 1;  // changes with each kill
  bool alive = true;
  monotonic_time started{};
  monotonic_time frozen_until{};
  monotonic_time store_cut_until{};
  std::array<monotonic_time, upstream_count> cut_until{};
  std::optional<candidacy> candidacy_state;
  std::optional<range_tenure> tenure;
  std::optional<range_assigner> assigner;  // empty unless the instance is the assigner
  key_load load{seconds(2)};
  // Changes when the assigner starts or stops. Replies to calls of an earlier epoch are dropped.
  std::uint64_t epoch = 0;
  // The latest record that a read or write of the store showed, of any era.
  std::optional<range_record> latest_record;
  std::uint64_t latest_version = 0;  // of the record in the store, in the present era
  std::uint64_t era = 0;             // of the store, as far as known
  monotonic_time era_seen{};
  std::uint64_t era_key = 0;  // as the latest read showed it
  bool polled = false;        // the store has been read at least once in this life and era
  std::array<int, upstream_count> known_addresses{};  // as the store's entries state them
  upstream_presence presence{reuse_after};
  struct link {
    link_number number = 0;        // 0 while closed
    occupant to;                   // at the other end
    std::uint64_t connection = 0;  // its connection_epoch at opening
    int address = 0;               // at opening
    std::uint64_t attempt = 0;     // the connection that is being asked; 0: none
    monotonic_time next_try{};
  };
  std::array<link, upstream_count> links{};
  bool read_pending = false;
  monotonic_time next_rebalance{};

  instance_id id() const { return make_instance_id("i" + std::to_string(number), life); }
};

struct store_state {
  range_record record;
  std::uint64_t record_version = 0;
  std::uint64_t revision = 10;
  std::optional<std::uint64_t> holder_lease;       // of the election key; empty if it is absent
  instance_id holder;                              // that the election key names
  std::uint64_t era_key = 0;                       // the era in which the record may be written
  std::map<std::uint64_t, monotonic_time> leases;  // when each expires
  std::uint64_t last_lease = 0;
  monotonic_time down_until{};
  monotonic_time losing_answers_until{};
  std::uint64_t era = 1;  // rises with each return from an older copy
};

// What the store was at a time.
struct store_copy {
  monotonic_time taken{};
  store_state state;
  std::array<upstream_entry, upstream_count> entries{};
};

}  // namespace plantainpaddle::range_model
