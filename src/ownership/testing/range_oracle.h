// What must hold in the range world whatever happens: one holder a key, and rising fences.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <vector>

#include "ownership/testing/range_simulation_state.h"

namespace plantainpaddle::range_model {

class oracle {
 public:
  // An upstream takes a sample key under a fence; what is wrong with that, if anything.
  std::optional<std::string> on_taken(const std::vector<upstream>& upstreams, int u, int sample,
                                      std::uint64_t fence, monotonic_time now);
  // The record was written: the fence of a key never falls.
  std::optional<std::string> on_record(const range_record& record);
  std::uint64_t moves() const { return moves_; }

 private:
  struct taken {
    int upstream = -1;
    std::uint64_t life = 0;
    std::uint64_t fence = 0;
  };
  std::array<taken, sample_count> highest_{};
  std::array<std::uint64_t, sample_count> record_fences_{};
  std::uint64_t moves_ = 0;
};

}  // namespace plantainpaddle::range_model
