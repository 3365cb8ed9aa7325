// Decides how a leaving instance drains: until when callers may connect and send requests, and when
// what is still in progress is ended.
//
//   drain_schedule drain(make_drain_times(seconds(6), milliseconds(2600)), now);
//   drain.on_signal(stop_signal::terminate);
//   while (const auto phase = drain.advance(now)) enter(*phase);  // at once, and at drain.due()
//
// No request is taken in the second half of the time that the instance has, so that each has at
// least most of that half for its response.
#pragma once

#include <optional>
#include <string_view>

#include "base/time.h"

namespace plantainpaddle {

// In the order in which they are entered.
enum class drain_phase {
  serving,         // no signal yet
  draining,        // requests are taken, their responses close the connections
  no_connections,  // callers can't connect any more
  no_requests,     // no request is taken any more
  releasing,       // requests that keep back ready responses are given up
  ending_waits,    // requests without a response get one of the instance's own
  closing,         // all connections are closed
};
std::string_view drain_phase_name(drain_phase phase);

// When the phases are due, from the signal on.
struct drain_times {
  duration no_connections{0};
  duration no_requests{0};
  duration releasing{0};
  duration ending_waits{0};
  duration closing{0};
  // At least so long after `releasing` or `ending_waits`, however late it was entered, the next
  // phase begins: what the phase sets off is done meanwhile.
  duration spacing{0};

  bool operator==(const drain_times&) const = default;
};

// `whole` is the time from the signal to the end of the process at the latest, `removal` the time
// that the load balancer takes to send no more callers.
drain_times make_drain_times(duration whole, duration removal);

enum class stop_signal { terminate, interrupt };

class drain_schedule {
 public:
  drain_schedule(const drain_times& times, monotonic_time signal)
      : times_(times), signal_(signal), entered_(signal) {}

  // Takes in a stop signal, the first one too. Only a second interrupt ends the drain sooner.
  void on_signal(stop_signal signal);
  // Enters the next phase and returns it, if it is due.
  std::optional<drain_phase> advance(monotonic_time now);
  drain_phase phase() const { return phase_; }
  // When the next phase is due; monotonic_time::max() in the last one.
  monotonic_time due() const;
  // A request that has been read whole by then is taken.
  monotonic_time last_request() const { return signal_ + times_.no_requests; }
  monotonic_time began() const { return signal_; }

 private:
  drain_times times_;
  monotonic_time signal_;
  monotonic_time entered_;  // when the present phase was entered
  int interrupts_ = 0;
  drain_phase phase_ = drain_phase::serving;
};

}  // namespace plantainpaddle
