// Power of two choices: taking the less loaded of two random upstreams keeps the longest queue near
// log log n for n upstreams. It also avoids the herd effect of always taking the least loaded one:
// when counts are a little old, all instances would choose the same upstream. A choice costs O(n).

#include "routing/balance.h"

#include <algorithm>
#include <cmath>

namespace plantainpaddle {
namespace {

double capacity(const balance_candidate& candidate) {
  return candidate.weight * candidate.slots * candidate.share;
}

// Returns a random candidate among those that `allowed` accepts, with a probability proportional to
// its capacity. `point` is a random number in [0, 1).
template <class Allowed>
std::optional<std::size_t> draw(const std::vector<balance_candidate>& candidates, double point,
                                const Allowed& allowed) {
  double total = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (allowed(i)) total += capacity(candidates[i]);
  }
  std::optional<std::size_t> last;
  double left = point * total;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (!allowed(i)) continue;
    last = i;
    left -= capacity(candidates[i]);
    if (left < 0) return i;
  }
  return last;
}

}  // namespace

double relative_load(const balance_candidate& candidate) {
  return (candidate.outstanding + 1) / std::max(1e-9, capacity(candidate));
}

std::optional<std::size_t> choose_upstream(const std::vector<balance_candidate>& candidates,
                                           std::uint64_t random,
                                           std::optional<std::size_t> except) {
  const auto usable = [&](std::size_t i) {
    return candidates[i].usable && capacity(candidates[i]) > 0;
  };
  const auto wanted = [&](std::size_t i) { return usable(i) && i != except; };
  constexpr double two_to_32 = 4294967296.0;
  const double first_point = static_cast<double>(random >> 32) / two_to_32;
  const double second_point = static_cast<double>(random & 0xffffffffU) / two_to_32;
  const auto first = draw(candidates, first_point, wanted);
  if (!first) return except && *except < candidates.size() && usable(*except) ? except : first;
  const auto second =
      draw(candidates, second_point, [&](std::size_t i) { return wanted(i) && i != *first; });
  if (!second) return first;
  return relative_load(candidates[*second]) < relative_load(candidates[*first]) ? second : first;
}

}  // namespace plantainpaddle
