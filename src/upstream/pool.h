// Connections of one traffic thread to upstreams and dispatchers, by address.
//
//   if (auto used = pool.take_idle(address, request, now)) ...  // alive when it was taken
//   else if (pool.reserve(address, limit)) ...                  // a new one may be opened
//   else wait, pool.on_free() wakes in turn
//   pool.keep(std::move(used), now);  or  pool.drop(address);
//
// A pool counts the connections that it lent or keeps; open ones never exceed the limit given. Not
// thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "routing/carried_requests.h"
#include "routing/idle_trust.h"
#include "upstream/stream.h"
#include "upstream/wire_buffer.h"

namespace plantainpaddle {

struct upstream_connection {
  explicit upstream_connection(const io_executor& executor) : socket(executor) {}

  tcp_socket socket;
  std::string address;
  std::uint64_t number = 0;             // unique in the process
  std::uint64_t uses = 0;               // requests sent on it so far
  carried_requests carried;             // those of them that have an identity
  std::unique_ptr<wire_buffer> buffer;  // only while an answer is read
  monotonic_time idle_since{};
  duration keep_for{0};  // the other side closes it when it was idle for so long; 0: not stated
  std::chrono::milliseconds unacknowledged_limit{0};  // TCP_USER_TIMEOUT; 0: the system's default
  bool reused = false;
  duration idle_for{0};  // before the present use
};

class connection_pool {
 public:
  static constexpr duration idle_time = seconds(15);  // kept unused for at most so long
  // A connection isn't used shortly before the other side closes it: a request in flight just then
  // would be lost.
  static constexpr duration idle_margin = seconds(1);
  static constexpr std::size_t max_waiting = 1024;  // requests that wait for a connection

  explicit connection_pool(io_executor executor) : executor_(std::move(executor)) {}

  // Which idle connections a request may use.
  struct idle_use {
    std::optional<request_identity> request;  // none: it may use any
    // Set for a request that shouldn't be lost: its service. It passes over connections that are
    // likely to be dead.
    std::optional<std::string_view> trusted_in;
  };
  // The connection used last of those that may carry the request and that the other side hasn't
  // closed; nullptr if there is none.
  std::unique_ptr<upstream_connection> take_idle(const std::string& address, const idle_use& use,
                                                 monotonic_time now);
  // A connection of the service that had been idle for so long broke when it was used.
  void on_dead(std::string_view service, duration idle_for, monotonic_time now) {
    trust_.on_dead(service, idle_for, now);
  }
  // A new unconnected one, counted as open; nullptr if `limit` are in use. If some of them are
  // idle, the one idle for longest is closed.
  std::unique_ptr<upstream_connection> reserve(const std::string& address, std::size_t limit);
  // Closes it instead if it must carry no further request.
  void keep(std::unique_ptr<upstream_connection> done, monotonic_time now);
  void drop(std::unique_ptr<upstream_connection> done);

  // Calls `wake` once when a connection of this address is kept or dropped; 0 if too many wait.
  std::uint64_t wait(const std::string& address, std::function<void()> wake);
  // To be called for each ticket; took: the one that waited has got a connection.
  void stop_waiting(const std::string& address, std::uint64_t ticket, bool took);

  void retire_idle(monotonic_time now);
  void close_idle();
  // A silent connection puts all its idle neighbours in doubt: they are closed.
  void close_idle(const std::string& address);
  std::size_t open(const std::string& address) const;
  std::size_t idle() const;

 private:
  struct waiter {
    std::uint64_t ticket;
    std::function<void()> wake;
  };
  struct address_state {
    std::vector<std::unique_ptr<upstream_connection>> idle;  // last used last
    std::size_t open = 0;                                    // idle and lent
    std::deque<waiter> waiting;
  };

  static void wake_next(address_state& state);
  static bool is_fresh(const upstream_connection& idle, monotonic_time now);

  io_executor executor_;
  std::unordered_map<std::string, address_state> addresses_;
  idle_trust trust_;
  std::uint64_t tickets_ = 0;
  std::size_t waiting_ = 0;
};

}  // namespace plantainpaddle
