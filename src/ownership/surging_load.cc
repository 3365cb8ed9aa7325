// A count of n requests has a standard deviation of sqrt(n). A block's load has changed if the
// short memory has more or fewer requests than the long one lets expect by change_deviations, and
// by least_change requests, since the distribution of few requests has a long tail.
//
// While a load of rate r has lasted for a time t only, a memory with time constant m has counted
// r * m * (1 - exp(-t / m)) of it. The ratio of the two memories' counts tells t, and with it the
// rate before the short memory has filled.
#include "ownership/surging_load.h"

#include <cmath>

namespace plantainpaddle {
namespace {

// Calm loads change within tens of seconds. A longer memory would plan with loads that have ended.
constexpr duration long_memory = seconds(4);
// After this time, 63 % of a new load is counted.
constexpr duration short_memory = milliseconds(700);
// A group of 200 keys with 0.3 of 700 requests a second shows in a block of so many keys with 65
// requests a second.
constexpr std::uint32_t block_keys = 64;
constexpr double change_deviations = 4;
constexpr double least_change = 8;  // requests

// The shortest time for which a load is taken to have lasted. Below it, few reports have come.
constexpr duration least_time = milliseconds(300);

double seconds_of(duration d) { return std::chrono::duration<double>(d).count(); }

// Returns what a memory has counted after `time` seconds of one request a second.
double counted(duration memory, double time) {
  return seconds_of(memory) * -std::expm1(-time / seconds_of(memory));
}

// Returns the factor from a block's count in the short memory to the one that the long memory will
// have of it. `ratio` is the short memory's count divided by the long one's.
double scale_of(double ratio) {
  constexpr int steps = 12;
  double low = seconds_of(least_time);
  double high = 3 * seconds_of(long_memory);
  for (int i = 0; i < steps; ++i) {
    const double time = (low + high) / 2;
    const bool later = counted(short_memory, time) / counted(long_memory, time) > ratio;
    (later ? low : high) = time;
  }
  return seconds_of(long_memory) / counted(short_memory, low);
}

}  // namespace

surging_load::surging_load() : long_(long_memory), short_(short_memory), planned_(long_memory) {}

void surging_load::add(std::uint32_t key, double requests) {
  long_.add(key, requests);
  short_.add(key, requests);
}

void surging_load::age(monotonic_time now) {
  long_.age(now);
  short_.age(now);
  planned_.clear();
  const double scale = std::chrono::duration<double>(long_memory) / short_memory;
  for (std::uint32_t first = 0; first <= last_numbered_key; first += block_keys) {
    const auto last = first + block_keys - 1;
    const double in_long = long_.sum(first, last);
    const double in_short = short_.sum(first, last);
    const double expected = in_long / scale;
    const double change = std::abs(in_short - expected);
    const bool changed = change > least_change && change > change_deviations * std::sqrt(expected);
    const double short_scale = changed ? scale_of(in_short / in_long) : 1;
    for (auto key = first; key <= last; ++key) {
      planned_.add(key, changed ? short_.of(key) * short_scale : long_.of(key));
    }
  }
}

}  // namespace plantainpaddle
