// What is said to a key-value service, and how its answers read: values in, bytes out. A service of
// another kind is one more alternative of store_protocol, with the members of etcd_protocol.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "http/message.h"

namespace plantainpaddle {

inline constexpr std::uint64_t max_store_era = 1 << 20;  // fences are made from it

struct stored_value {
  std::string key;
  std::string value;
  std::uint64_t version = 0;  // modification revision
  bool operator==(const stored_value&) const = default;
};

struct range_answer {
  std::vector<stored_value> values;
  std::uint64_t revision = 0;  // of the whole store, to start a watch after
  bool more = false;           // further values stand behind last_key
  std::string last_key;
  std::vector<std::string> unreadable;  // keys whose values can't be read
};

struct swap_answer {
  bool written = false;
  std::uint64_t version = 0;         // of the key now; 0: the key is absent
  std::optional<std::string> value;  // if not written: the value that stands there
};

struct watch_event {
  bool removed = false;
  stored_value value;
};

// What has changed since a revision.
struct poll_answer {
  std::vector<watch_event> events;
  std::uint64_t revision = 0;  // to go on from
  bool compacted = false;      // the history isn't there any more: everything is to be read again
};

struct store_condition {
  std::string key;
  std::uint64_t version = 0;  // 0: absent
};
struct store_put {
  std::string key;
  std::string value;
  std::uint64_t lease = 0;  // 0: none
};
// All of it or nothing.
struct store_transaction {
  std::vector<store_condition> conditions;
  std::vector<store_put> puts;
  std::vector<std::string> removals;
};
enum class transaction_result {
  written,
  conflict,  // a condition didn't hold
  no_lease,  // a lease of it has ended
};
struct transaction_answer {
  transaction_result outcome = transaction_result::conflict;
  std::uint64_t version = 0;          // of what was written
  std::vector<stored_value> current;  // after a conflict: the keys of the conditions that there are
};

struct granted_lease {
  std::uint64_t id = 0;
  duration length{0};
};

struct store_request {
  std::string path;
  std::string body;
  std::string method = "POST";
  bool operator==(const store_request&) const = default;
};

// The HTTP/JSON form of the etcd v3 interface.
struct etcd_protocol {
  store_request range(const std::string& prefix) const;
  store_request get(const std::string& key) const;
  store_request swap(const std::string& key, std::uint64_t expected,
                     const std::string& value) const;
  store_request watch(const std::string& prefix, std::uint64_t after_revision) const;

  result<range_answer> read_range(std::string_view body) const;
  result<swap_answer> read_swap(std::string_view body) const;
  // One line of a watch. No events: the watch was created, or shows that it is alive.
  result<std::vector<watch_event>> read_watch(std::string_view line) const;
};

// The platform's metadata store: pages, polls that wait, transactions and leases.
struct item_protocol {
  // Returns the number of the store's history, which rises when the store comes back from an older
  // copy of itself; 0 if the response doesn't state it.
  std::uint64_t read_era(const http_response& response) const;

  store_request range(const std::string& prefix, const std::string& after_key = {}) const;
  store_request get(const std::string& key) const;
  store_request poll(const std::string& prefix, std::uint64_t after_revision, duration wait) const;
  store_request transact(const store_transaction& transaction) const;
  store_request create_lease(duration ttl) const;
  store_request renew_lease(std::uint64_t lease) const;
  store_request end_lease(std::uint64_t lease) const;

  // `status` is the answer's; others than those listed on the platform's page are errors.
  result<range_answer> read_range(unsigned status, std::string_view body) const;
  result<std::optional<stored_value>> read_get(unsigned status, std::string_view body) const;
  result<poll_answer> read_poll(unsigned status, std::string_view body) const;
  result<transaction_answer> read_transaction(unsigned status, std::string_view body) const;
  result<granted_lease> read_lease(unsigned status, std::string_view body) const;
  // False: the lease has ended.
  result<bool> read_renewal(unsigned status, std::string_view body) const;
};

using store_protocol = std::variant<etcd_protocol, item_protocol>;

}  // namespace plantainpaddle
