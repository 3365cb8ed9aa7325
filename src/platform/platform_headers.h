// The header fields of the platform's requests and answers, as the data path knows them.
#pragma once

#include "upstream/header_names.h"

namespace plantainpaddle {

inline constexpr header_names platform_header_names{
    .request_id = "X-Plantainpaddle-Request-Id",
    .deadline = "X-Plantainpaddle-Deadline-Ms",
    .expected_upstream = "X-Plantainpaddle-Expect-Instance",
    .answering_upstream = "X-Plantainpaddle-Instance-Id",
    .refusal = "X-Plantainpaddle-Not-Executed",
    .load = "X-Plantainpaddle-Server-Load",
    .limit = "Server-Limit",
    .leaving = "Server-Leaving",
    .pause = "Retry-After",
    .echoes_request_id = true,
    .allows_unframed = true,
    .adds_forwarded = false,
    .fractional_retry_after = true,
};

// Where a request states the number that its key is.
inline constexpr std::string_view platform_key_header = "X-Plantainpaddle-Shard-Key";

// Where the balancer asks whether an instance wants new connections.
inline constexpr std::string_view platform_ready_target = "/api/readyz";

}  // namespace plantainpaddle
