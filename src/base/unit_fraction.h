// A number that is uniform in [0, 1) from 64 random bits.
#pragma once

#include <cmath>
#include <cstdint>

namespace plantainpaddle {

inline double unit_fraction(std::uint64_t random) {
  constexpr int mantissa_bits = 53;
  return std::ldexp(static_cast<double>(random >> (64 - mantissa_bits)), -mantissa_bits);
}

}  // namespace plantainpaddle
