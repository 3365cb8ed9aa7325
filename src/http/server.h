// HTTP/1.1 server of the control paths: operators' port, stand-ins. Small whole messages.
//
//   http_server server(executor, {});
//   auto port = server.listen("127.0.0.1:0", [](const http_request& r) -> awaitable<http_response>
//   {...});
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/error.h"
#include "base/time.h"
#include "http/message.h"

namespace plantainpaddle {

struct http_server_limits {
  std::size_t body_bytes = 4 << 20;
  std::size_t read_ahead = 1 << 30;  // most bytes read from a connection that aren't parsed yet
  std::size_t connections = 4096;
  duration idle_time = seconds(60);  // also the longest time for one request, and for its response
  // Whether a connection over the limit takes the place of the one that has waited for its caller
  // for longest. Otherwise the new one is closed.
  bool makes_room = false;
};

// For an address that callers reach who may misuse it, and whose requests have no bodies.
inline constexpr http_server_limits exposed_server_limits{.body_bytes = 4 << 10,
                                                          .read_ahead = 16 << 10,
                                                          .connections = 128,
                                                          .idle_time = seconds(10),
                                                          .makes_room = true};

class http_server {
 public:
  using handler = std::function<boost::asio::awaitable<http_response>(http_request)>;

  explicit http_server(boost::asio::any_io_executor executor, http_server_limits limits = {});
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  // Listens at "IP:port"; port 0 takes a free one. Returns the address in use.
  result<std::string> listen(const std::string& address, handler serve);
  // Stops accepting and closes all connections.
  void close();
  // Connections that were closed to make room, or refused, since the start.
  std::uint64_t limited() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace plantainpaddle
