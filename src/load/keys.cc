#include "load/keys.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace plantainpaddle {

key_sampler::key_sampler(const load_class& klass, std::uint64_t seed)
    : class_(klass), random_(seed) {
  if (class_.zipf == 0) return;
  cumulative_.reserve(class_.keys);
  double sum = 0;
  for (std::uint64_t i = 0; i < class_.keys; ++i) {
    sum += std::pow(static_cast<double>(i + 1), -class_.zipf);
    cumulative_.push_back(sum);
  }
}

std::uint64_t key_sampler::hot_key(const load_class& klass, std::uint64_t place, duration elapsed) {
  const auto epoch = klass.hot_move.count() == 0 ? 0 : elapsed.count() / klass.hot_move.count();
  return hash64(klass.name, std::to_string(epoch) + "/" + std::to_string(place)) % klass.keys;
}

std::uint64_t key_sampler::draw_number(duration elapsed) {
  std::uniform_real_distribution<double> unit;
  if (class_.hot_keys > 0 && unit(random_) < class_.hot_share) {
    return hot_key(class_, random_() % class_.hot_keys, elapsed);
  }
  if (cumulative_.empty()) return random_() % class_.keys;
  const double point = unit(random_) * cumulative_.back();
  const auto place = std::lower_bound(cumulative_.begin(), cumulative_.end(), point);
  return static_cast<std::uint64_t>(std::min(place, cumulative_.end() - 1) - cumulative_.begin());
}

}  // namespace plantainpaddle
