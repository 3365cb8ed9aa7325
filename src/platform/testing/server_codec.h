// The far side of the platform's wire, for stand-ins and tests: the calls that its store and its
// upstreams take, decoded, and what store, upstreams and operators say.
//
//   auto call = parse_item_call(request);     // at the store
//   auto order = parse_range_order(request);  // at an upstream
//
// errc::not_found: the request is another call. errc::bad_input: it is malformed.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "http/message.h"
#include "platform/platform_codec.h"
#include "platform/store_protocol.h"

namespace plantainpaddle {

namespace item_call {

struct get {
  std::string key;
};
struct range {
  std::string prefix;
  std::string after_key;  // where the page before ended; empty: from the first
};
struct watch {
  std::string prefix;
  std::uint64_t after_revision = 0;
  duration wait{0};
};
struct create_lease {
  duration ttl{0};
};
struct renew_lease {
  std::uint64_t lease = 0;
};
struct end_lease {
  std::uint64_t lease = 0;
};

}  // namespace item_call

using any_item_call =
    std::variant<item_call::get, item_call::range, item_call::watch, store_transaction,
                 item_call::create_lease, item_call::renew_lease, item_call::end_lease>;

result<any_item_call> parse_item_call(const http_request& request);

struct served_item {
  stored_value item;
  std::uint64_t created = 0;
  std::uint64_t lease = 0;  // 0: none
};

http_response format_item(const served_item& item);
http_response format_item_page(const std::vector<served_item>& items, std::uint64_t revision,
                               bool more);
http_response format_item_events(const std::vector<watch_event>& events, std::uint64_t revision);
http_response format_compacted();
http_response format_written(std::uint64_t revision);
http_response format_conflict(const std::vector<served_item>& current);
http_response format_lease(const granted_lease& lease);
http_response format_item_error(unsigned status, std::string_view why);
// Adds to the store's response the number of its history.
void add_era(http_response& response, std::uint64_t era);

using any_range_order = std::variant<range_action::grant, range_action::release>;

bool is_range_order(std::string_view target);
result<any_range_order> parse_range_order(const http_request& request);
http_response format_release_answer(const std::string& handover);

// `sequence` rises with each writing.
std::string format_registered_upstream(const registered_upstream& upstream, std::uint64_t sequence);
std::string format_desired_state(const desired_state& state);

}  // namespace plantainpaddle
