// Responses that the router makes itself: JSON with a stable code, the step, the peer, a detail and
// whether the request ran. docs/CALLERS.md lists them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/error.h"
#include "base/time.h"
#include "upstream/header_names.h"

namespace plantainpaddle {

// Whether a request ran, as far as the router knows.
enum class run_outcome { complete, not_run, unknown };
inline constexpr std::size_t run_outcome_count = 3;
std::string_view outcome_name(run_outcome outcome) noexcept;

inline constexpr unsigned status_unavailable = 503;

// A response of the router with the error that caused it.
struct local_response {
  unsigned status = status_unavailable;
  error cause;
  run_outcome outcome = run_outcome::not_run;
  duration retry_after{0};  // 0: no Retry-After
};

// Refuses a request, which hasn't run, as there is no room for it now: at the upstream that `peer`
// names or, if it is empty, in the router.
local_response no_room_response(std::string peer, std::string detail, duration retry_after);

// What may be said instead, with the outcome that is known: a status that promises that the request
// hasn't run, and a Retry-After, only if it is so.
local_response settle(local_response wanted, bool may_have_run);

// What the response depends on besides its content.
struct local_response_frame {
  std::string_view request_id;
  bool head_only = false;  // the request's method is HEAD
  bool close = false;
};

// Formats the complete HTTP message.
std::string format_local_response(const local_response& response, const local_response_frame& frame,
                                  const header_names& names = own_header_names);

}  // namespace plantainpaddle
