// Whether a request may go to an upstream now. Several rules have a say: the upstream's load and
// the request's priority, its key's share, a cold start, an evacuation, an upstream that is silent.
// Each contributes a term, and the strictest one decides.
//
//   send_decision decision;
//   decision = strictest(decision, {send_verdict::wait, send_reason::no_room, milliseconds(40)});
//   if (decision.verdict == send_verdict::refuse) refuse(reason_name(decision.reason), ...);
#pragma once

#include <cstdint>
#include <string_view>

#include "base/time.h"

namespace plantainpaddle {

// In order of strictness.
enum class send_verdict : std::uint8_t { send, wait, refuse };

// The rule that decided, as metrics and logs name it.
enum class send_reason : std::uint8_t {
  none,
  no_room,          // the upstream couldn't answer in time
  yields_priority,  // what room there is belongs to more urgent requests
  key_share,        // the key has used up its share of its owner's room
  cold,             // the upstream is cold and its rate is used up
  evacuated,        // the upstream's failure domain is evacuated
  silent,           // the upstream leaves requests unanswered
  leaving,          // the upstream leaves, or is gone
};

std::string_view reason_name(send_reason reason);

struct send_decision {
  send_verdict verdict = send_verdict::send;
  send_reason reason = send_reason::none;
  duration again_in{0};  // when the request should be tried again, if it isn't sent
  bool operator==(const send_decision&) const = default;
};

// Returns the stricter decision; of two equally strict ones, the one that asks for the longer
// delay.
send_decision strictest(const send_decision& a, const send_decision& b);

}  // namespace plantainpaddle
