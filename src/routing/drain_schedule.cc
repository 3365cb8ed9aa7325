#include "routing/drain_schedule.h"

#include <algorithm>

namespace plantainpaddle {

namespace {

constexpr duration exit_margin = milliseconds(500);  // kept free before SIGKILL
// From when responses that are kept back by slower ones are sent to the end of all connections.
constexpr duration last_responses_time = milliseconds(400);
constexpr duration phase_spacing = milliseconds(100);
// A request that was sent in the first half may be read so much later.
constexpr duration request_margin = milliseconds(100);
// Callers that connect last have at least so long for their request.
constexpr duration connection_margin = milliseconds(300);
// The margins take no more than these parts of a short time.
constexpr int exit_divisor = 4;
constexpr int last_responses_divisor = 8;
constexpr int request_divisor = 16;
constexpr int interrupts_to_end = 2;

}  // namespace

std::string_view drain_phase_name(drain_phase phase) {
  switch (phase) {
    case drain_phase::serving:
      return "serving";
    case drain_phase::draining:
      return "draining";
    case drain_phase::no_connections:
      return "no-connections";
    case drain_phase::no_requests:
      return "no-requests";
    case drain_phase::releasing:
      return "releasing";
    case drain_phase::ending_waits:
      return "ending-waits";
    case drain_phase::closing:
      return "closing";
  }
  return "unknown";
}

drain_times make_drain_times(duration whole, duration removal) {
  const duration last_responses =
      std::min<duration>(last_responses_time, whole / last_responses_divisor);
  drain_times times;
  times.closing = whole - std::min<duration>(exit_margin, whole / exit_divisor);
  times.ending_waits = times.closing - last_responses / 2;
  times.releasing = times.closing - last_responses;
  times.no_requests =
      std::min<duration>(whole / 2 - std::min<duration>(request_margin, whole / request_divisor),
                         removal + connection_margin);
  times.no_connections = std::min<duration>(
      removal, times.no_requests - std::min<duration>(connection_margin, times.no_requests / 2));
  times.spacing = std::min<duration>(phase_spacing, last_responses / 4);
  return times;
}

// Platforms and supervisors send SIGTERM in series: a further one says nothing new. A person at a
// terminal who interrupts twice doesn't want to wait.
void drain_schedule::on_signal(stop_signal signal) {
  if (signal == stop_signal::interrupt) ++interrupts_;
}

monotonic_time drain_schedule::due() const {
  const bool at_once = interrupts_ >= interrupts_to_end;
  if (at_once && phase_ < drain_phase::releasing) return entered_;
  if (at_once && phase_ < drain_phase::closing) return entered_ + times_.spacing;
  switch (phase_) {
    case drain_phase::serving:
      return signal_;
    case drain_phase::draining:
      return signal_ + times_.no_connections;
    case drain_phase::no_connections:
      return signal_ + times_.no_requests;
    case drain_phase::no_requests:
      return signal_ + times_.releasing;
    case drain_phase::releasing:
      return std::max(signal_ + times_.ending_waits, entered_ + times_.spacing);
    case drain_phase::ending_waits:
      return std::max(signal_ + times_.closing, entered_ + times_.spacing);
    case drain_phase::closing:
      break;
  }
  return monotonic_time::max();
}

std::optional<drain_phase> drain_schedule::advance(monotonic_time now) {
  if (phase_ == drain_phase::closing || now < due()) return std::nullopt;
  phase_ = static_cast<drain_phase>(static_cast<int>(phase_) + 1);
  entered_ = now;
  return phase_;
}

}  // namespace plantainpaddle
