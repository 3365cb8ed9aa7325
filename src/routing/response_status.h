// The status of a response of the router's own, from what is known about the request's run.
//
//   const auto terms = choose_terms(408, run_state::unknown);   // {504, false}
#pragma once

#include "routing/retry.h"

namespace plantainpaddle {

// Whether the status promises that the request has not run and never will.
bool promises_not_run(unsigned status) noexcept;

struct response_terms {
  unsigned status = 0;
  bool may_retry = false;  // whether a Retry-After is allowed

  bool operator==(const response_terms&) const = default;
};

// `wanted` is the status that fits the cause.
response_terms choose_terms(unsigned wanted, run_state known) noexcept;

}  // namespace plantainpaddle
