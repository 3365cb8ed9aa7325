// The bodies of the platform's metadata store: items with base64 values, JSON numbers as revisions.
#pragma once

#include <string>
#include <string_view>

#include "platform/store_protocol.h"

namespace plantainpaddle {

std::string format_item_transaction(const store_transaction& transaction);
std::string format_lease_request(duration ttl);

// Items that can't be read are left out and counted in `unreadable`.
result<range_answer> parse_item_range(std::string_view body);
result<std::optional<stored_value>> parse_item(std::string_view body);
result<poll_answer> parse_item_events(std::string_view body);
result<std::uint64_t> parse_item_revision(std::string_view body);
// The items of a failed condition.
result<std::vector<stored_value>> parse_item_conflict(std::string_view body);
result<granted_lease> parse_item_lease(std::string_view body);

// Text for a query's value.
std::string escape_query(std::string_view text);

}  // namespace plantainpaddle
