#include "base/hash.h"

#include <xxhash.h>

namespace plantainpaddle {

std::uint64_t hash64(std::string_view text, std::uint64_t seed) noexcept {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t hash64(std::string_view first, std::string_view second) noexcept {
  return hash64(second, hash64(first));
}

}  // namespace plantainpaddle
