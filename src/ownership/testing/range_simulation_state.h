// The parts of the range world: what upstreams, instances and the store know.
#pragma once

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <optional>

#include "ownership/candidacy.h"
#include "ownership/range_assigner.h"

namespace plantainpaddle::range_model {

inline constexpr int instance_count = 3;
inline constexpr int upstream_count = 4;
inline constexpr int sample_count = 32;  // keys that the oracle looks at
inline constexpr duration run_time = seconds(45);
inline constexpr duration tick_period = milliseconds(50);
inline constexpr duration poll_period = milliseconds(300);

inline std::uint32_t sample_key(int i) { return static_cast<std::uint32_t>(i) * 2048 + 512; }

struct held_key {
  std::uint64_t fence = 0;
  monotonic_time until{};
};

struct upstream {
  upstream_id name;
  std::uint64_t life = 1;
  bool alive = true;
  bool listed = true;
  bool draining = false;
  double clock = 1;  // true time per unit of its own
  monotonic_time late_until{};
  monotonic_time isolated_until{};
  std::array<held_key, sample_count> held{};
  std::array<std::uint64_t, sample_count> seen{};
  // Refuses lower fences from now on, and holds nothing under them.
  void release(const range_action::release& order) {
    for (int i = 0; i < sample_count; ++i) {
      const auto index = static_cast<std::size_t>(i);
      if (sample_key(i) < order.first || sample_key(i) > order.last) continue;
      seen[index] = std::max(seen[index], order.fence.value);
      if (held[index].fence <= order.fence.value) held[index] = {};
    }
  }

  std::uint64_t connections = 0;  // counts lives and resets: links of earlier ones are dead
};

struct instance {
  explicit instance(int i) : number(i) {}
  int number;
  std::uint64_t life = 1;
  bool alive = true;
  monotonic_time frozen_until{};
  monotonic_time store_cut_until{};
  std::array<monotonic_time, upstream_count> cut_until{};
  std::optional<candidacy> standing;
  std::optional<range_assigner> assigner;
  key_load load{seconds(2)};
  std::uint64_t epoch = 0;  // of the calls under way
  range_record seen;
  std::uint64_t seen_version = 0;
  bool seen_held = false;
  bool polled = false;
  struct link {
    link_number number = 0;
    std::uint64_t connection = 0;
    monotonic_time next_try{};
  };
  std::array<link, upstream_count> links{};
  bool reading = false;
  monotonic_time next_rebalance{};

  instance_id id() const { return make_instance_id("i" + std::to_string(number), life); }
};

struct store_state {
  range_record record;
  std::uint64_t record_version = 0;
  std::uint64_t revision = 10;
  std::optional<std::uint64_t> holder_lease;
  std::map<std::uint64_t, monotonic_time> leases;
  std::uint64_t last_lease = 0;
  monotonic_time down_until{};
  monotonic_time losing_until{};
};

}  // namespace plantainpaddle::range_model
