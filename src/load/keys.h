// Which key a request asks for: Zipf over all keys, with a share of the requests on a small hot set
// that changes over time.
//
//   key_sampler keys(klass, seed);
//   std::uint64_t key = keys.draw_number(elapsed);
//
// Costs one number for each key, and a binary search for each draw.
#pragma once

#include <random>
#include <string>
#include <vector>

#include "load/plan.h"

namespace plantainpaddle {

class key_sampler {
 public:
  key_sampler(const load_class& klass, std::uint64_t seed);

  std::uint64_t draw_number(duration elapsed);

  // The hot keys at a time: the same for all samplers of one class.
  static std::uint64_t hot_key(const load_class& klass, std::uint64_t place, duration elapsed);

 private:
  load_class class_;
  std::mt19937_64 random_;
  std::vector<double> cumulative_;  // empty: all keys alike
};

}  // namespace plantainpaddle
