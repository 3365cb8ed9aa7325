#include "routing/send_decision.h"

namespace plantainpaddle {

std::string_view reason_name(send_reason reason) {
  switch (reason) {
    case send_reason::none:
      return "none";
    case send_reason::no_room:
      return "no_room";
    case send_reason::yields_priority:
      return "yields_priority";
    case send_reason::key_share:
      return "key_share";
    case send_reason::cold:
      return "cold";
    case send_reason::evacuated:
      return "evacuated";
    case send_reason::silent:
      return "silent";
    case send_reason::leaving:
      return "leaving";
  }
  return "none";
}

send_decision strictest(const send_decision& a, const send_decision& b) {
  if (a.verdict != b.verdict) return a.verdict > b.verdict ? a : b;
  return a.again_in >= b.again_in ? a : b;
}

}  // namespace plantainpaddle
