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

namespace plantainpaddle {

struct stored_value {
  std::string key;
  std::string value;
  std::uint64_t version = 0;  // modification revision
  bool operator==(const stored_value&) const = default;
};

struct range_answer {
  std::vector<stored_value> values;
  std::uint64_t revision = 0;  // of the whole store, to start a watch after
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

// The body of a POST.
struct store_request {
  std::string path;
  std::string body;
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

using store_protocol = std::variant<etcd_protocol>;

}  // namespace plantainpaddle
