// Streams bodies between a caller and an upstream. Bytes are read from one side only after the
// other side has taken the previous ones, so that each direction holds at most one wire_buffer.
//
// Each side must move body_progress bytes within body_time; a slower relay is ended.
#pragma once

#include <cstdint>
#include <functional>

#include "entry/proxy_settings.h"
#include "entry/request_scope.h"
#include "upstream/message_parser.h"
#include "upstream/outgoing.h"

namespace plantainpaddle {

// How a write or a relay ended, and which side ended it.
enum class relay_end {
  complete,
  caller_failed,    // disconnected, or sent a malformed body
  caller_slow,      // the caller moved too few bytes in time
  too_large,        // over the route's body limit
  upstream_failed,  // the connection broke, or the response is malformed
  upstream_slow,    // the upstream moved too few bytes in time
  early_response,   // the response began, or the connection ended, before the request was sent
};

// Counts the bytes moved since the request's deadline was set, and sets it anew, body_time ahead,
// for every body_progress bytes.
class progress_window {
 public:
  static constexpr monotonic_time no_limit = monotonic_time::max();

  // The upper bound of the deadline may change while it holds.
  progress_window(request_scope& caller, const monotonic_time& latest);
  progress_window(request_scope& caller, monotonic_time&& latest) = delete;
  void on_bytes(std::size_t bytes);
  void restart();

 private:
  request_scope& caller_;
  const proxy_limits& limits_;
  const monotonic_time& latest_;
  std::size_t bytes_ = 0;
};

// Writes all pieces. Returns complete, or `failed` if the socket breaks, `slow` if the deadline
// passes, or caller_failed if the caller disconnects. With `stop`, returns early_response once
// *stop is true and the wait is cancelled.
task<relay_end> write_pieces(outgoing& pieces, tcp_socket& to, request_scope& caller,
                             progress_window& progress, relay_end failed, relay_end slow,
                             const bool* stop = nullptr);

// Reads what the upstream has sent while the request is being sent; true ends the sending.
using early_reader = std::function<bool()>;

// Sends a request that is held completely, as long as `early` lets it.
task<relay_end> send_held_request(outgoing& pieces, request_scope& caller, tcp_socket& upstream,
                                  progress_window& progress, const early_reader& early);

// Sends the rest of the request's body with the framing of its head, beginning with the bytes that
// are decoded already. `window` is the offset of the body in the caller's buffer, behind the head.
task<relay_end> relay_request_body(request_scope& caller, message_parser<true>& request,
                                   tcp_socket& upstream, std::size_t window,
                                   std::uint64_t body_limit, const monotonic_time& deadline,
                                   const early_reader& early);

// Counts a response that is given up at the end of its wait although a part of it has arrived.
// `part` is what is incomplete, "head" or "body".
void count_dropped_response(request_scope& caller, const wire_buffer& buffer,
                            std::string_view part);

// What the end of an upstream's connection says about a response without a length. It ends the body
// only if the whole request was sent before: after a reset, the failed write of the request takes
// the connection's error, and the next read reports an orderly end.
enum class close_meaning { end_of_body, cut_off };

// Reads and parses the next bytes of the response's body; complete means that some came, or the end
// of the body.
task<relay_end> read_response_part(request_scope& caller, message_parser<false>& response,
                                   tcp_socket& upstream, wire_buffer& buffer, close_meaning close);

// Sends the rest of the response's body to the caller. `buffer` receives the upstream's bytes.
task<relay_end> relay_response_body(request_scope& caller, message_parser<false>& response,
                                    tcp_socket& upstream, wire_buffer& buffer, close_meaning close);

}  // namespace plantainpaddle
