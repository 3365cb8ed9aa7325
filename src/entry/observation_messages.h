// Messages by which instances exchange what they observe of upstreams
// (routing/observation_exchange). A message has a line of text and then 8 bytes for each
// observation, since JSON would take about five times as much, and an instance gets some 1,500
// observations a second:
//
//   request: "SENDER DOMAIN TOKEN POSITION ANSWER SINCE_ANSWER_US\n" OBSERVATION ...
//   answer:  "TOKEN POSITION ANSWER\n" OBSERVATION ...
//
//   observation: key (4 bytes, the highest first), running, waiting, slowdown, age
//
// Counts of 255 mean as many or more. A slowdown is 2^((byte - 64) / 16), 0 if it wasn't stated. An
// age is byte^2 / 16 ms, rounded up. Older observations than that can state are left out.
#pragma once

#include <string>
#include <string_view>

#include "base/error.h"
#include "routing/observation_exchange.h"

namespace plantainpaddle {

std::string format_observation_request(const observation_request& request);
std::string format_observation_answer(const observation_answer& answer);

// Each returns an error if the text is too long, its line isn't as above, or the rest is not whole
// observations.
result<observation_request> parse_observation_request(std::string_view text);
result<observation_answer> parse_observation_answer(std::string_view text);

}  // namespace plantainpaddle
