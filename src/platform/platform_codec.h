// What operators and upstreams write into the platform's store, decoded into the product's types,
// and orders to upstreams about ranges of keys.
//
//   auto state = parse_desired_state(item.value);
//   auto upstream = parse_registered_upstream(item.key, item.value);
#pragma once

#include <string>
#include <string_view>

#include "base/error.h"
#include "http/message.h"
#include "ownership/range_assigner.h"
#include "ownership/upstream_list.h"
#include "routing/desired_state.h"

namespace plantainpaddle {

inline constexpr std::string_view desired_state_key = "op/config";
inline constexpr std::string_view upstream_key_prefix = "servers/";
// All that operators write: the desired state and orders to evacuate a failure domain.
inline constexpr std::string_view operator_key_prefix = "op/";
inline constexpr std::string_view evacuation_key_prefix = "op/evacuate/";

// Names that this version doesn't know are passed over; what it needs must be there and
// well-formed.
result<desired_state> parse_desired_state(std::string_view text);

// Fails for an entry that another writer spoiled.
result<registered_upstream> parse_registered_upstream(std::string_view key, std::string_view text);

http_request make_grant_request(const range_action::grant& order);
http_request make_release_request(const range_action::release& order);

// Asks who is at an address. `asking` is no upstream's id, so that no upstream runs the request:
// each refuses it, whether it has room for requests or not, and states its own id.
http_request make_identity_request(const instance_id& asking, std::uint64_t request,
                                   duration deadline);
// Fails if the answer states no id.
result<upstream_id> read_identity_answer(const http_response& answer);

enum class grant_verdict { accepted, fence_too_low };
// Fails if the answer says neither.
result<grant_verdict> read_grant_answer(const http_response& answer);
// What the next owner is to be given, so that it need not warm up; empty if there is none.
result<std::string> read_release_answer(const http_response& answer);

}  // namespace plantainpaddle
