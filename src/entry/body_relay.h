// Bodies streamed between a caller and an upstream: what one side sends is read only when the other
// has taken what came before, so that each direction holds at most one wire_buffer.
//
// Either side must move body_progress bytes within body_time; a trickle is cut off.
#pragma once

#include <cstdint>

#include "entry/proxy_settings.h"
#include "entry/request_scope.h"
#include "upstream/message_parser.h"
#include "upstream/outgoing.h"

namespace plantainpaddle {

enum class relay_result {
  complete,
  caller_failed,    // gone, or sent something that isn't a body
  caller_slow,      // no progress of the caller's
  too_large,        // beyond the route's limit
  upstream_failed,  // the connection broke, or the response isn't one
  upstream_slow,
  responded_early,  // the upstream's socket became readable before the request was whole
};

// Bytes moved since the deadline was set; renews it when they are enough.
class progress_window {
 public:
  progress_window(request_scope& caller, monotonic_time latest);
  void on_bytes(std::size_t bytes);
  void restart();

 private:
  request_scope& caller_;
  const proxy_limits& limits_;
  monotonic_time latest_;  // never renewed beyond
  std::size_t bytes_ = 0;
};

// Writes all pieces; whole, or `failed`, or `slow` of the socket's side. With `stop`:
// responded_early once it is true and the wait is cancelled.
task<relay_result> write_pieces(outgoing& pieces, tcp_socket& to, request_scope& caller,
                                progress_window& progress, relay_result failed, relay_result slow,
                                const bool* stop = nullptr);

// Sends a request that is held whole, and stops where an response begins before it is out.
task<relay_result> send_held_request(outgoing& pieces, request_scope& caller, tcp_socket& upstream,
                                     progress_window& progress);

// Sends the rest of the request's body, framed as its head said; the decoded bytes in hand first.
// window: where in the caller's buffer the body may begin (behind the head).
task<relay_result> relay_request_body(request_scope& caller, message_parser<true>& request,
                                      tcp_socket& upstream, std::size_t window,
                                      std::uint64_t body_limit, monotonic_time deadline);

// Reads and parses what comes next of the response's body: whole stands for "some came", or the
// end.
task<relay_result> read_response_part(request_scope& caller, message_parser<false>& response,
                                      tcp_socket& upstream, wire_buffer& buffer);

// Sends the rest of the response's body to the caller. buffer: the upstream's bytes.
task<relay_result> relay_response_body(request_scope& caller, message_parser<false>& response,
                                       tcp_socket& upstream, wire_buffer& buffer);

}  // namespace plantainpaddle
