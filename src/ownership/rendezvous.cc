#include "ownership/rendezvous.h"

#include <algorithm>

#include "base/hash.h"

namespace plantainpaddle {

std::vector<std::string> rendezvous_order(std::string_view key, std::vector<std::string> names) {
  std::sort(names.begin(), names.end(), [&](const std::string& a, const std::string& b) {
    const auto hash_a = hash64(key, a);
    const auto hash_b = hash64(key, b);
    return hash_a != hash_b ? hash_a > hash_b : a < b;
  });
  return names;
}

}  // namespace plantainpaddle
