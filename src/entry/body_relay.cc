#include "entry/body_relay.h"

#include <boost/asio/post.hpp>

#include "entry/session.h"
#include "entry/worker.h"

namespace plantainpaddle {

namespace asio = boost::asio;

namespace {

// Records that the sending is to end before the request was sent completely. The wait's handler
// shares ownership, since it may run after the relay has ended.
struct response_watch {
  request_scope* caller = nullptr;  // nullptr once the relay has ended
  const early_reader* read = nullptr;
  bool seen = false;
};

void wait_for_response(const std::shared_ptr<response_watch>& watch, tcp_socket& upstream) {
  upstream.async_wait(tcp_socket::wait_read,
                      [watch, &upstream](const boost::system::error_code& code) {
                        if (code || watch->caller == nullptr) return;
                        if (!(*watch->read)()) return wait_for_response(watch, upstream);
                        watch->seen = true;
                        watch->caller->cancel();
                      });
}

std::shared_ptr<response_watch> watch_for_response(request_scope& caller, tcp_socket& upstream,
                                                   const early_reader& read) {
  auto watch = std::make_shared<response_watch>();
  watch->caller = &caller;
  watch->read = &read;
  wait_for_response(watch, upstream);
  return watch;
}

// A relay between two fast sides might never wait.
constexpr int parts_per_turn = 16;

task<void> let_others_run(tcp_socket& socket) {
  co_await asio::post(socket.get_executor(), asio::use_awaitable_t<io_executor>{});
}

template <class Parser>
void add_body(outgoing& pieces, const Parser& message) {
  const bool chunked = message.chunked() || (!message.content_length() && message.need_eof());
  if (!chunked) return pieces.add(message.body());
  pieces.add_chunk(message.body());
  if (message.is_done()) pieces.add_last_chunk();
}

}  // namespace

void count_dropped_response(request_scope& caller, const wire_buffer& buffer,
                            std::string_view part) {
  if (part == "head" && buffer.unread().empty()) return;
  caller.owning_worker().counters().add("responses_dropped_at_deadline_total",
                                        {{"part", std::string(part)}});
}

progress_window::progress_window(request_scope& caller, const monotonic_time& latest)
    : caller_(caller), limits_(caller.owning_worker().settings().limits), latest_(latest) {
  restart();
}

void progress_window::restart() {
  bytes_ = 0;
  caller_.set_deadline(std::min(latest_, monotonic_now() + limits_.body_time));
}

void progress_window::on_bytes(std::size_t bytes) {
  caller_.owning_worker().memory().on_bytes(caller_.caller().id(), bytes, monotonic_now());
  bytes_ += bytes;
  if (bytes_ >= limits_.body_progress) restart();
}

task<relay_end> write_pieces(outgoing& pieces, tcp_socket& to, request_scope& caller,
                             progress_window& progress, relay_end failed, relay_end slow,
                             const bool* stop) {
  while (true) {
    const auto before = pieces.written();
    const auto code = pieces.write_some(to);
    progress.on_bytes(pieces.written() - before);
    if (!code) co_return relay_end::complete;
    if (code != asio::error::would_block) co_return failed;
    if (caller.expired()) co_return slow;
    auto [wait_code] = co_await to.async_wait(tcp_socket::wait_write, as_task);
    if (caller.caller_gone()) co_return relay_end::caller_failed;
    if (stop != nullptr && *stop) co_return relay_end::early_response;
    // operation_aborted may come from another request that cancelled on the shared caller socket.
    if (wait_code && wait_code != asio::error::operation_aborted) co_return failed;
  }
}

task<relay_end> send_held_request(outgoing& pieces, request_scope& caller, tcp_socket& upstream,
                                  progress_window& progress, const early_reader& early) {
  const auto code = pieces.write_some(upstream);
  if (!code) co_return relay_end::complete;
  if (code != asio::error::would_block) co_return relay_end::upstream_failed;
  const auto watch = watch_for_response(caller, upstream, early);
  const auto end =
      co_await write_pieces(pieces, upstream, caller, progress, relay_end::upstream_failed,
                            relay_end::upstream_slow, &watch->seen);
  watch->caller = nullptr;
  co_return end;
}

namespace {

task<relay_end> relay_request_pieces(request_scope& caller, message_parser<true>& request,
                                     tcp_socket& upstream, std::size_t window,
                                     std::uint64_t body_limit, const monotonic_time& deadline,
                                     const response_watch& watch) {
  progress_window progress(caller, deadline);
  wire_buffer& buffer = caller.buffer();
  while (true) {
    if (request.body_bytes() > body_limit) co_return relay_end::too_large;
    outgoing pieces;
    add_body(pieces, request);
    const auto written =
        co_await write_pieces(pieces, upstream, caller, progress, relay_end::upstream_failed,
                              relay_end::upstream_slow, &watch.seen);
    if (watch.seen) co_return relay_end::early_response;
    if (written != relay_end::complete) co_return written;
    if (request.is_done()) co_return relay_end::complete;
    request.clear_body();
    buffer.move_unread(window);
    if (buffer.full()) co_return relay_end::caller_failed;  // the chunk header doesn't fit
    boost::system::error_code code;
    const auto size = caller.socket().read_some(buffer.space(), code);
    if (code == asio::error::would_block) {
      if (caller.expired()) co_return relay_end::caller_slow;
      caller.set_waits_for_caller(true);
      auto [wait_code] = co_await caller.socket().async_wait(tcp_socket::wait_read, as_task);
      caller.set_waits_for_caller(false);
      if (watch.seen) co_return relay_end::early_response;
      if (wait_code && !caller.expired()) co_return relay_end::caller_failed;
      continue;
    }
    if (code) co_return relay_end::caller_failed;
    buffer.end += size;
    progress.on_bytes(size);
    boost::beast::error_code parse_code;
    request.parse_body(buffer, parse_code);
    if (parse_code) co_return relay_end::caller_failed;
  }
}

}  // namespace

task<relay_end> relay_request_body(request_scope& caller, message_parser<true>& request,
                                   tcp_socket& upstream, std::size_t window,
                                   std::uint64_t body_limit, const monotonic_time& deadline,
                                   const early_reader& early) {
  const caller_socket_use used(caller);
  const auto watch = watch_for_response(caller, upstream, early);
  const auto end = co_await relay_request_pieces(caller, request, upstream, window, body_limit,
                                                 deadline, *watch);
  watch->caller = nullptr;
  co_return end;
}

task<relay_end> relay_response_body(request_scope& caller, message_parser<false>& response,
                                    tcp_socket& upstream, wire_buffer& buffer,
                                    close_meaning close) {
  const caller_socket_use used(caller);
  progress_window progress(caller, progress_window::no_limit);
  const auto& limits = caller.owning_worker().settings().limits;
  for (int parts = 1; !response.is_done(); ++parts) {
    const bool too_long =
        !response.content_length() && response.body_bytes() > limits.undeclared_body;
    if (too_long) co_return relay_end::upstream_failed;
    if (parts % parts_per_turn == 0) co_await let_others_run(upstream);
    response.clear_body();
    buffer.move_unread(0);
    if (buffer.full()) co_return relay_end::upstream_failed;
    caller.set_waits_for_caller(false);
    const auto read = co_await read_response_part(caller, response, upstream, buffer, close);
    caller.set_waits_for_caller(true);
    if (read != relay_end::complete) co_return read;
    progress.on_bytes(buffer.end);
    outgoing pieces;
    add_body(pieces, response);
    const auto written = co_await write_pieces(pieces, caller.socket(), caller, progress,
                                               relay_end::caller_failed, relay_end::caller_slow);
    if (written != relay_end::complete) co_return written;
  }
  co_return relay_end::complete;
}

task<relay_end> read_response_part(request_scope& caller, message_parser<false>& response,
                                   tcp_socket& upstream, wire_buffer& buffer, close_meaning close) {
  while (true) {
    boost::system::error_code code;
    const auto size = upstream.read_some(buffer.space(), code);
    if (code == asio::error::would_block) {
      if (caller.expired()) {
        count_dropped_response(caller, buffer, "body");
        co_return relay_end::upstream_slow;
      }
      auto [wait_code] = co_await upstream.async_wait(tcp_socket::wait_read, as_task);
      if (caller.caller_gone()) co_return relay_end::caller_failed;
      if (wait_code && wait_code != asio::error::operation_aborted) {
        co_return relay_end::upstream_failed;
      }
      continue;
    }
    boost::beast::error_code parse_code;
    // A body without a length ends with an orderly close; after a reset it is incomplete.
    if (code == asio::error::eof && response.need_eof() && close == close_meaning::end_of_body) {
      response.put_eof(parse_code);
      co_return parse_code ? relay_end::upstream_failed : relay_end::complete;
    }
    if (code) co_return relay_end::upstream_failed;
    buffer.end += size;
    response.parse_body(buffer, parse_code);
    co_return parse_code ? relay_end::upstream_failed : relay_end::complete;
  }
}

}  // namespace plantainpaddle
