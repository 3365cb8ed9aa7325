#include "ownership/messages.h"

#include "base/hash.h"

namespace plantainpaddle {

std::uint64_t digest_of(const std::vector<shard_grant>& set) {
  std::uint64_t digest = 0;
  for (const auto& grant : set) {
    std::uint64_t words[2] = {grant.shard.value, grant.fence.value};
    digest = hash64({reinterpret_cast<const char*>(words), sizeof words}, digest + 1);
  }
  return digest;
}

}  // namespace plantainpaddle
