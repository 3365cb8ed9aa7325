// Bodies streamed between a caller and an upstream: what one side sends is read only when the other
// has taken what came before, so that each direction holds at most one wire_buffer.
//
// Either side must move body_progress bytes within body_time; a trickle is cut off.
#pragma once

#include <cstdint>

#include "entry/proxy_settings.h"
#include "entry/session.h"
#include "upstream/message_parser.h"
#include "upstream/outgoing.h"

namespace plantainpaddle {

enum class relay_end {
  whole,
  caller_failed,    // gone, or sent something that isn't a body
  caller_slow,      // no progress of the caller's
  too_large,        // beyond the route's limit
  upstream_failed,  // the connection broke, or the answer isn't one
  upstream_slow,
  answered_early,  // the upstream's socket became readable before the request was whole
};

// Bytes moved since the deadline was set; renews it when they are enough.
class progress_window {
 public:
  progress_window(session& caller, monotonic_time latest);
  void moved(std::size_t bytes);
  void restart();

 private:
  session& caller_;
  const proxy_limits& limits_;
  monotonic_time latest_;  // never renewed beyond
  std::size_t bytes_ = 0;
};

// Writes all pieces; whole, or `failed`, or `slow` of the socket's side.
task<relay_end> write_pieces(outgoing& pieces, tcp_socket& to, session& caller,
                             progress_window& progress, relay_end failed, relay_end slow);

// Sends the rest of the request's body, framed as its head said; the decoded bytes in hand first.
// window: where in the caller's buffer the body may begin (behind the head).
task<relay_end> relay_request_body(session& caller, message_parser<true>& request,
                                   tcp_socket& upstream, std::size_t window,
                                   std::uint64_t body_limit, monotonic_time deadline);

// Sends the rest of the answer's body to the caller. buffer: the upstream's bytes.
task<relay_end> relay_answer_body(session& caller, message_parser<false>& answer,
                                  tcp_socket& upstream, wire_buffer& buffer);

}  // namespace plantainpaddle
