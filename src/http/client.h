// HTTP/1.1 client of the control paths: keeps idle connections per address, bounded in number and
// size.
//
//   http_client client(executor);
//   client.send(address, request, milliseconds(200), [](result<http_response> answer) { ... });
//
// All calls and handlers run on the executor's one thread. A handler is called exactly once, never
// from inside send(). errc::unavailable: nothing was written; errc::timed_out or errc::protocol: it
// may have been received.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "base/traffic_counter.h"
#include "http/message.h"

namespace plantainpaddle {

struct http_client_limits {
  std::size_t idle_per_address = 2;
  std::size_t body_bytes = 4 << 20;
  duration idle_time = seconds(20);
};

// A handle on one call.
struct http_call {
  std::function<void()> on_progress;  // called for each part of the response, if set
  std::function<void()> stop;         // set while the call is under way
  // Closes the call's connection; its handler gets an error.
  void cancel() {
    if (stop) stop();
  }
};

class http_client {
 public:
  using handler = std::function<void(result<http_response>)>;
  // Called for each piece of a streamed body, and last with an error when the stream ends.
  using chunk_handler = std::function<void(result<std::string>)>;

  explicit http_client(boost::asio::any_io_executor executor, http_client_limits limits = {});
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  // timeout: of connecting and sending, and without a further byte of the response; it may take
  // ten times as long in all. fresh: on a new connection, so that a silent old one isn't taken for
  // a silent peer.
  void send(const std::string& address, http_request request, duration timeout, handler done,
            bool fresh = false, std::shared_ptr<http_call> call = {});

  // Reads a response without end, line by line. The answer's token stops it when destroyed.
  // idle: the stream ends with errc::timed_out if nothing comes for so long.
  [[nodiscard]] std::shared_ptr<void> stream(const std::string& address, http_request request,
                                             duration idle, chunk_handler on_line);

  traffic_totals traffic() const;

  // Closes the idle connections to an address.
  void forget(const std::string& address);

 private:
  struct connection;
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace plantainpaddle
