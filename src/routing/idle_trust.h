// Whether an idle connection may carry a request that shouldn't be lost. One that the upstream
// has given up without a word shows only when a request is lost on it. The upstreams of a service
// mostly run the same software behind the same network, so after such a loss, connections of that
// service that were idle for as long are passed over for some seconds.
//
//   idle_trust trust;
//   trust.on_dead("shelf", idle_for, now);
//   if (trust.allows("shelf", idle_for, now)) ...
//
// No I/O and no clock. Not thread-safe.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "base/time.h"

namespace plantainpaddle {

class idle_trust {
 public:
  // By then each instance has replaced the idle connections that its load needs.
  static constexpr duration doubt_time = seconds(5);

  // A connection that had been idle for so long broke without a response when it was used.
  void on_dead(std::string_view service, duration idle_for, monotonic_time now);
  bool allows(std::string_view service, duration idle_for, monotonic_time now) const;

 private:
  struct doubt {
    duration idle_for{0};  // the shortest of those that were found dead
    monotonic_time until{};
  };
  std::map<std::string, doubt, std::less<>> doubts_;
};

}  // namespace plantainpaddle
