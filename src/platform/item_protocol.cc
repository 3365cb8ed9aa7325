#include <charconv>

#include "platform/item_codec.h"
#include "platform/store_protocol.h"

namespace plantainpaddle {
namespace {

constexpr std::string_view era_header = "Store-Era";
constexpr unsigned status_ok = 200;
constexpr unsigned status_absent = 404;
constexpr unsigned status_compacted = 410;
constexpr unsigned status_conflict = 412;
constexpr unsigned status_too_many = 429;
constexpr unsigned status_unavailable = 503;

// errc::refused: nothing was done. Any other code leaves that open.
error unexpected(unsigned status) {
  const bool undone = status == status_too_many || status == status_unavailable;
  return {undone ? errc::refused : errc::unavailable, step::store, "",
          "status " + std::to_string(status)};
}

}  // namespace

std::uint64_t item_protocol::read_era(const http_response& response) const {
  const auto text = find_header(response.headers, era_header);
  std::uint64_t era = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), era);
  const bool whole = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
  return whole && era <= max_store_era ? era : 0;
}

store_request item_protocol::range(const std::string& prefix, const std::string& after_key) const {
  std::string path = "/api/kv-range?prefix=" + escape_query(prefix);
  if (!after_key.empty()) path += "&after=" + escape_query(after_key);
  return {path, "", "GET"};
}

store_request item_protocol::get(const std::string& key) const {
  return {"/api/kv-key?key=" + escape_query(key), "", "GET"};
}

store_request item_protocol::poll(const std::string& prefix, std::uint64_t after_revision,
                                  duration wait) const {
  const auto wait_ms = std::chrono::floor<milliseconds>(wait).count();
  return {"/api/kv-watch?prefix=" + escape_query(prefix) +
              "&after=" + std::to_string(after_revision) + "&wait-ms=" + std::to_string(wait_ms),
          "", "GET"};
}

store_request item_protocol::transact(const store_transaction& transaction) const {
  return {"/api/kv-txn", format_item_transaction(transaction)};
}

store_request item_protocol::create_lease(duration ttl) const {
  return {"/api/kv-lease", format_lease_request(ttl)};
}

store_request item_protocol::renew_lease(std::uint64_t lease) const {
  return {"/api/kv-keep/" + std::to_string(lease), ""};
}

store_request item_protocol::end_lease(std::uint64_t lease) const {
  return {"/api/kv-lease-end/" + std::to_string(lease), "", "DELETE"};
}

result<range_answer> item_protocol::read_range(unsigned status, std::string_view body) const {
  if (status != status_ok) return unexpected(status);
  return parse_item_range(body);
}

result<std::optional<stored_value>> item_protocol::read_get(unsigned status,
                                                            std::string_view body) const {
  if (status == status_absent) return std::optional<stored_value>();
  if (status != status_ok) return unexpected(status);
  return parse_item(body);
}

result<poll_answer> item_protocol::read_poll(unsigned status, std::string_view body) const {
  if (status == status_compacted) return poll_answer{.compacted = true};
  if (status != status_ok) return unexpected(status);
  return parse_item_events(body);
}

result<transaction_answer> item_protocol::read_transaction(unsigned status,
                                                           std::string_view body) const {
  if (status == status_absent) return transaction_answer{transaction_result::no_lease, 0, {}};
  if (status == status_conflict) {
    auto items = parse_item_conflict(body);
    if (!items) return items.error();
    return transaction_answer{transaction_result::conflict, 0, std::move(*items)};
  }
  if (status != status_ok) return unexpected(status);
  const auto revision = parse_item_revision(body);
  if (!revision) return revision.error();
  return transaction_answer{transaction_result::written, *revision, {}};
}

result<granted_lease> item_protocol::read_lease(unsigned status, std::string_view body) const {
  if (status != status_ok) return unexpected(status);
  return parse_item_lease(body);
}

result<bool> item_protocol::read_renewal(unsigned status, std::string_view) const {
  if (status == status_absent) return false;
  if (status != status_ok) return unexpected(status);
  return true;
}

}  // namespace plantainpaddle
