// The names of the header fields that callers, router and upstreams agree on. Each form of
// deployment has its own; the data path knows only what a field means.
//
//   const header_names& names = own_header_names;
//   request.find(names.request_id)
//
// An empty name: the form has no such field.
#pragma once

#include <string_view>

#include "upstream/grant_codec.h"

namespace plantainpaddle {

struct header_names {
  std::string_view request_id;
  std::string_view deadline;  // milliseconds that are left
  std::string_view tenant;    // the client account
  std::string_view outcome;   // what the router knows of a request; also how upstreams refuse
  std::string_view shard;     // sent to upstreams that check fences
  std::string_view fence;
  std::string_view expected_upstream;   // the id without which an upstream refuses the request
  std::string_view answering_upstream;  // in answers: the id of the upstream that is there
  std::string_view refusal;        // its presence says that the upstream didn't run the request
  std::string_view load;           // "running,waiting,slots" at the upstream
  std::string_view limit;          // requests a second that the upstream takes from all instances
  std::string_view leaving;        // "1": the upstream leaves and wants no new requests
  std::string_view pause;          // in refusals: seconds for which it wants no requests
  bool echoes_request_id = false;  // an answer with another id belongs to another request
  bool allows_unframed = false;    // an answer may end with its connection
  bool adds_forwarded = true;      // upstreams get a Forwarded field
  bool fractional_retry_after = false;

  bool operator==(const header_names&) const = default;
};

inline constexpr header_names own_header_names{
    .request_id = request_id_header,
    .deadline = deadline_header,
    .tenant = tenant_header,
    .outcome = outcome_header,
    .shard = shard_header,
    .fence = fence_header,
};

}  // namespace plantainpaddle
