#include "routing/drain_schedule.h"

namespace plantainpaddle {

std::string_view drain_phase_name(drain_phase phase) {
  switch (phase) {
    case drain_phase::serving:
      return "serving";
    case drain_phase::draining:
      return "draining";
    case drain_phase::no_connections:
      return "no-connections";
    case drain_phase::releasing:
      return "releasing";
    case drain_phase::ending_waits:
      return "ending-waits";
    case drain_phase::closing:
      return "closing";
  }
  return "unknown";
}

}  // namespace plantainpaddle
