// Finds the response to an attempt among the bytes of its connection, while the request is still
// being sent and after it.
#include "entry/exchange.h"
#include "entry/worker.h"
#include "upstream/grant_codec.h"

namespace plantainpaddle {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr unsigned status_misdirected = 421;
constexpr duration dispatcher_response_margin = milliseconds(50);
// Of an upstream's interim responses, and of those to earlier requests, before the one expected.
constexpr int max_skipped_responses = 8;
constexpr std::uint64_t max_skipped_body = 1 << 20;
constexpr unsigned min_status = 100;
constexpr unsigned max_status = 599;

}  // namespace

void exchange::begin_search() {
  response_buffer_ = worker_.buffers().take();
  messages_.response.emplace();
  search_ = {};
}

// Consumes the bytes read so far up to the head of the final response, skipping interim responses
// and responses to other requests.
exchange::search_result exchange::search_response() {
  wire_buffer& buffer = *response_buffer_;
  while (!buffer.unread().empty()) {
    if (search_.skips_body) {
      if (const auto end = skip_body()) return *end;
      continue;
    }
    const auto size = find_head_end(buffer.unread(), search_.searched);
    if (size == 0 && buffer.unread().size() < max_head_bytes) {
      search_.searched = buffer.unread().size();
      return search_result::more;
    }
    auto& response = *messages_.response;
    boost::beast::error_code code;
    if (messages_.request->method() == http::verb::head) response.skip(true);
    if (size != 0) response.parse_head(buffer, size, code);
    const bool is_status = response.status() >= min_status && response.status() <= max_status;
    if (size == 0 || code || !is_status || (response.need_eof() && !names().allows_unframed)) {
      return search_result::malformed;
    }
    const bool final = response.status() >= 200;
    const bool own =
        !names().echoes_request_id || response.find(names().request_id) == messages_.request_id;
    if (final && own) {
      trace_.response = response.status();
      return search_result::found;
    }
    if (++search_.skipped > max_skipped_responses) return search_result::foreign;
    if (final) {
      worker_.counters().add("foreign_answers_total", {});
      log_skipped_response();
      if (response.need_eof() || !response.keep_alive()) return search_result::foreign;
      search_.skips_body = true;
      if (const auto end = skip_body()) return *end;
    } else {
      end_skipped();
    }
  }
  return search_result::more;
}

// Discards bytes of the body of another request's response. Returns a result if the search can't go
// on with the bytes that are there.
std::optional<exchange::search_result> exchange::skip_body() {
  auto& response = *messages_.response;
  wire_buffer& buffer = *response_buffer_;
  const auto before = buffer.unread().size();
  boost::beast::error_code code;
  response.parse_body(buffer, code);
  if (code || response.body_bytes() > max_skipped_body) return search_result::foreign;
  if (response.is_done()) {
    end_skipped();
    return std::nullopt;
  }
  response.clear_body();
  const bool stuck = buffer.unread().size() == before;
  buffer.move_unread(0);
  if (buffer.full()) return search_result::foreign;
  if (stuck || buffer.unread().empty()) return search_result::more;
  return std::nullopt;
}

void exchange::end_skipped() {
  messages_.response.emplace();
  response_buffer_->move_unread(0);
  search_.searched = 0;
  search_.skips_body = false;
}

// Reads what has arrived while the request is being sent. True ends the sending: the response has
// begun, or the connection can't be used. Late responses to other requests don't.
bool exchange::read_early_response() {
  if (!response_buffer_) begin_search();
  wire_buffer& buffer = *response_buffer_;
  boost::system::error_code code;
  buffer.end += connection_->socket.read_some(buffer.space(), code);
  if (code == asio::error::would_block) return false;
  if (code) {
    search_.early_code = code;
    return true;
  }
  search_.early = search_response();
  return search_.early != search_result::more;
}

// Reads until the head of the final response is found. The wait ends at the deadline or after the
// class's silence limit, whichever is earlier. What has arrived by then is read all the same, since
// the event loop may be late.
task<std::optional<exchange::attempt_end>> exchange::read_response_head(const destination& to) {
  const auto klass = static_cast<std::size_t>(match_.route->klass);
  const auto silent_at = monotonic_now() + worker_.settings().limits.first_byte_timeout[klass];
  const bool silence_first = !to.via_dispatcher && silent_at < deadline_;
  // A dispatcher may queue a request until the deadline and then report that it didn't run. The
  // margin lets that response arrive.
  const auto latest =
      to.via_dispatcher ? deadline_ + dispatcher_response_margin : std::min(silent_at, deadline_);
  if (!response_buffer_) begin_search();
  wire_buffer& buffer = *response_buffer_;
  auto& socket = connection_->socket;
  caller_.set_deadline(latest);
  auto found = search_.early;
  auto code = search_.early_code;
  while (true) {
    switch (found) {
      case search_result::more:
        break;
      case search_result::found:
        co_return std::nullopt;
      case search_result::malformed:
        co_return broken_protocol(to, "not an HTTP response with a length");
      case search_result::foreign:
        co_return broken_protocol(to, "the response belongs to another request");
    }
    if (!code) {
      if (!caller_.expired()) co_await socket.async_wait(tcp_socket::wait_read, as_task);
      if (caller_.caller_gone()) {
        co_return failed(to, step::read_answer, run_state::unknown,
                         "the caller closed the connection", std::nullopt);
      }
      buffer.end += socket.read_some(buffer.space(), code);
      if (code == asio::error::would_block && caller_.expired()) {
        count_dropped_response(caller_, buffer, "head");
        co_return failed(to, step::read_answer, run_state::unknown, "no response in time",
                         silence_first ? failure_kind::silent : failure_kind::timeout);
      }
    }
    if (code && code != asio::error::would_block) {
      co_return co_await connection_ended(to, code);
    }
    code.clear();
    found = search_response();
  }
}

// The connection broke before the head of a response was complete.
task<exchange::attempt_end> exchange::connection_ended(const destination& to,
                                                       boost::system::error_code code) {
  // An upstream may close an idle connection just as it is reused: no sign of a failure.
  const bool stale = connection_->reused && response_buffer_->end == 0;
  const auto now = monotonic_now();
  const auto& service_name = service().service.name.value;
  if (stale) {
    worker_.counters().add("idle_connections_found_dead_total", {});
    worker_.pool().on_dead(service_name, connection_->idle_for, now);
  }
  if (code == asio::error::timed_out) {
    co_return failed(to, step::read_answer, run_state::unknown,
                     "the upstream's machine doesn't acknowledge data", failure_kind::dead);
  }
  if (stale && co_await is_undelivered_request(code)) {
    co_return failed(to, step::send_request, run_state::not_run,
                     "the upstream had closed the connection before", std::nullopt);
  }
  co_return failed(to, step::read_answer, run_state::unknown, "the connection broke",
                   stale ? std::nullopt : std::optional(failure_kind::error));
}

// Whether the upstream had closed the idle connection before the request arrived. What tells is the
// upstream's reset or acknowledgement, which comes a round trip after its FIN.
task<bool> exchange::is_undelivered_request(boost::system::error_code code) {
  constexpr duration longest_wait = milliseconds(60);
  constexpr duration pause = milliseconds(5);
  if (code != asio::error::eof || !delivery_) co_return false;
  const auto end = monotonic_now() + longest_wait;
  while (true) {
    const auto now_known = read_delivery(connection_->socket.native_handle());
    if (is_undelivered(*delivery_, now_known)) co_return true;
    const bool open = now_known && now_known->acknowledged == delivery_->acknowledged;
    const auto now = monotonic_now();
    if (!open || now >= std::min(end, deadline_) || caller_.caller_gone()) co_return false;
    co_await caller_.pause_until(now + pause);
  }
}

exchange::attempt_end exchange::broken_protocol(const destination& to,
                                                const std::string& detail) const {
  auto end = failed(to, step::read_answer, run_state::unknown, detail, failure_kind::error);
  end.cause.code = errc::protocol;
  return end;
}

// Recognizes a response with which the upstream states that it didn't run the request; it isn't
// relayed. Returns nullopt for any other response.
std::optional<exchange::attempt_end> exchange::refused_by_upstream(const destination& to) {
  auto& response = *messages_.response;
  const auto there = response.find(names().answering_upstream);
  const bool is_other = !there.empty() && there != service().upstreams[to.upstream].name.value;
  if (!is_other) reported_load_ = parse_reported_load(response.find(names().load));
  const bool marked = !names().refusal.empty() && !response.find(names().refusal).empty();
  const bool says_not_run = !names().outcome.empty() && !to.via_dispatcher &&
                            response.status() == status_unavailable &&
                            response.find(names().outcome) == outcome_name(run_outcome::not_run);
  const bool misdirected = response.status() == status_misdirected;
  if (!misdirected && !says_not_run && !marked) return std::nullopt;
  boost::beast::error_code code;
  response.parse_body(*response_buffer_, code);
  const bool whole = !code && response.is_done() && response_buffer_->unread().empty();
  release_connection(whole && response.keep_alive() && request_sent_);
  attempt_end end;
  end.wait_for_owner = misdirected && service().service.keyed;
  end.status = status_unavailable;
  end.cause = {misdirected ? errc::not_owner : errc::refused, step::read_answer, to.address,
               misdirected ? "the upstream doesn't own the shard"
                           : "the upstream refused because of overload"};
  identity_mismatch_ = misdirected && is_other;
  if (!misdirected) end.failure = failure_kind::overload;
  return end;
}

// A dispatcher knows only the attempt that went through it: what it says of that one isn't relayed
// if an earlier attempt may have run.
std::optional<exchange::attempt_end> exchange::refused_by_dispatcher(const destination& to) {
  const bool refused = to.via_dispatcher && messages_.response->find(names().outcome) ==
                                                outcome_name(run_outcome::not_run);
  if (!refused || !may_have_run_) return std::nullopt;
  return failed(to, step::read_answer, run_state::not_run, "the dispatcher refused", std::nullopt);
}

}  // namespace plantainpaddle
