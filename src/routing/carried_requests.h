// Decides which connection to an upstream may carry which request.
//
//   carried_requests carried;                     // one for each connection
//   if (carried.may_carry(request)) carried.add(request);
//   if (carried.is_full()) ...                    // close the connection after the response
//
//   switch (room_for_connection(open, idle, limit)) ...  // when no idle one may carry the request
//
// A connection carries each request id once. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace plantainpaddle {

// A request, as far as its responses can be told from others. Different ids may be equal.
struct request_identity {
  std::uint64_t hash = 0;

  bool operator==(const request_identity&) const = default;
};

request_identity identify_request(std::string_view id) noexcept;

// The requests that a connection has carried.
class carried_requests {
 public:
  static constexpr std::size_t max_requests = 1024;

  explicit carried_requests(std::size_t capacity = max_requests) : capacity_(capacity) {}

  bool may_carry(request_identity request) const;
  // Before the first byte of the request is written.
  void add(request_identity request);
  // Whether the connection must carry no further request.
  bool is_full() const;
  std::size_t size() const { return carried_.size(); }

 private:
  std::size_t capacity_;
  std::vector<request_identity> carried_;
};

enum class connection_room {
  open,     // a further connection may be opened
  replace,  // one may be opened in place of an idle one, which is closed
  wait,     // all connections are in use
};

// For a request that none of the `idle` connections of an address may carry. `open` counts idle and
// used connections.
connection_room room_for_connection(std::size_t open, std::size_t idle, std::size_t limit);

}  // namespace plantainpaddle
