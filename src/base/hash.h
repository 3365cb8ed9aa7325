// Stable 64-bit hashes (XXH3). All instances must compute the same values, so neither the hash
// function nor the use of the seed may change.
#pragma once

#include <cstdint>
#include <string_view>

namespace plantainpaddle {

std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0) noexcept;

// Hashes a pair of strings. Unlike a hash of their concatenation, it tells ("a", "bc") from
// ("ab", "c").
std::uint64_t hash64(std::string_view first, std::string_view second) noexcept;

}  // namespace plantainpaddle
