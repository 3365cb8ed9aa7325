// What an instance knows of the limits that upstreams name in their responses. A limit is the
// requests per second that the upstream takes from all instances together, for as long as its
// responses name it.
//
//   upstream_limits limits;
//   if (limits.on_response(upstream, parse_named_limit(text), now)) log(...);
//   if (limits.rate_of(upstream)) limits.on_sent(upstream, now);
//   limits.sent(upstream, now);  // within limit_window
//
// Not thread-safe. Upstreams without a limit take no memory.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string_view>

#include "base/ids.h"
#include "base/time.h"

namespace plantainpaddle {

// The span over which requests to an upstream with a limit are counted.
inline constexpr duration limit_window = seconds(4);

// Parses a limit in requests per second. Returns nullopt unless it is a positive decimal number
// without an exponent, below 1e6.
std::optional<double> parse_named_limit(std::string_view text);

class upstream_limits {
 public:
  struct limited_upstream {
    double rate = 0;                  // requests per second
    monotonic_time named{};           // when a response last named it
    std::deque<monotonic_time> sent;  // within limit_window, by this instance
  };

  // Takes the limit that a response of the upstream names; nullopt says that it names none. Returns
  // whether the limit begins, ends, or changes by more than a tenth.
  bool on_response(const upstream_id& upstream, std::optional<double> rate, monotonic_time now);
  // Counts a request that was sent to an upstream with a limit.
  void on_sent(const upstream_id& upstream, monotonic_time now);

  std::optional<double> rate_of(const upstream_id& upstream) const;
  // Returns the number of requests sent within limit_window, counted from when the limit began.
  std::size_t sent(const upstream_id& upstream, monotonic_time now) const;
  const std::map<upstream_id, limited_upstream>& all() const { return limited_; }

 private:
  std::map<upstream_id, limited_upstream> limited_;
};

}  // namespace plantainpaddle
