// Checks the invariants of the simulated range assigners: a key has at most one holder at a time,
// and its fences increase from holder to holder and never fall in the record. Each check costs
// O(upstreams) or, for a record, O(sample keys).
#pragma once

#include <array>
#include <optional>
#include <string>
#include <vector>

#include "ownership/testing/range_simulation_state.h"

namespace plantainpaddle::range_model {

class oracle {
 public:
  // Upstream u acquires or renews a sample key under a fence. Returns a description of the
  // violation, if any.
  std::optional<std::string> on_acquired(const std::vector<upstream>& upstreams, int u, int sample,
                                         std::uint64_t fence, monotonic_time now);
  // The record was written to the store. Returns a description of the violation, if any. Records
  // that the store has lost may have had higher fences that were never granted, so that only those
  // of one history are compared.
  std::optional<std::string> on_record(const range_record& record);
  // The store has come back from an older copy.
  void on_restored() { restored_ = true; }
  // How many times a sample key went from one holder, or one life of it, to another.
  std::uint64_t moves() const { return moves_; }

 private:
  struct acquisition {
    int upstream = -1;
    std::uint64_t life = 0;
    std::uint64_t fence = 0;
  };
  std::array<acquisition, sample_count> latest_{};
  std::array<std::uint64_t, sample_count> record_fences_{};
  std::uint64_t record_era_ = 0;
  bool restored_ = false;
  std::uint64_t moves_ = 0;
};

}  // namespace plantainpaddle::range_model
