// One attempt of an exchange: sends the request to one destination and relays the response.
//
// Every step that fails states whether the request can have run: it can't before the first byte is
// written, and it may have from then on unless the upstream says that it didn't.
#include <boost/asio/ip/tcp.hpp>
#include <charconv>
#include <limits>

#include "entry/exchange.h"
#include "entry/heads.h"
#include "entry/worker.h"
#include "http/address.h"
#include "upstream/grant_codec.h"

namespace plantainpaddle {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t max_unread_request = 16 << 10;  // bytes, fit into any receive window
constexpr std::uint64_t unknown_size = std::numeric_limits<std::uint64_t>::max();

// The outcome that a dispatcher reported, reduced to the known names. A response that comes from an
// upstream itself is always complete.
std::string_view reported_outcome(bool hop, std::string_view name) {
  if (hop && name == outcome_name(run_outcome::not_run)) return outcome_name(run_outcome::not_run);
  if (hop && name == outcome_name(run_outcome::unknown)) return outcome_name(run_outcome::unknown);
  return outcome_name(run_outcome::complete);
}

// Framing of the request to the upstream. A chunked body that is held completely (`held` bytes) is
// sent with a length.
body_frame frame_for(const message_parser<true>& request, std::size_t held) {
  if (const auto length = request.content_length()) return {body_framing::length, *length};
  if (!request.chunked()) return {};
  if (request.is_done()) return {body_framing::length, held};
  return {body_framing::chunked};
}

// Framing of the response to the caller. A response without a body may still state a length (HEAD,
// 304).
body_frame frame_for(const message_parser<false>& response) {
  if (const auto length = response.content_length()) return {body_framing::length, *length};
  if (!response.chunked() && !response.need_eof()) return {};
  if (response.is_done()) return {body_framing::length, response.body().size()};
  return {body_framing::chunked};
}

// The timeout of a Keep-Alive field such as "timeout=5" (seconds); zero if there is none.
duration parse_keep_alive_timeout(std::string_view keep_alive) {
  constexpr std::string_view name = "timeout=";
  const auto place = keep_alive.find(name);
  if (place == std::string_view::npos) return duration::zero();
  std::uint32_t whole = 0;
  const auto digits = keep_alive.substr(place + name.size());
  std::from_chars(digits.data(), digits.data() + digits.size(), whole);
  return seconds(whole);
}

}  // namespace

exchange::attempt_end exchange::failed(const destination& to, step at, run_state known,
                                       const std::string& detail,
                                       std::optional<failure_kind> failure) const {
  const bool slow = failure == failure_kind::silent || failure == failure_kind::timeout;
  attempt_end end;
  end.known = known;
  end.failure = failure;
  end.status = known == run_state::not_run ? status_unavailable : (slow ? 504U : 502U);
  end.cause = {slow ? errc::timed_out : errc::unavailable, at, to.address, detail};
  return end;
}

task<exchange::attempt_end> exchange::attempt(const destination& to) {
  ++attempts_;
  reported_load_.reset();
  identity_mismatch_ = false;
  pause_.reset();
  trace_ = {};
  search_ = {};
  auto& state = *traffic().upstreams[to.upstream];
  state.outstanding.fetch_add(1, std::memory_order_relaxed);
  if (traffic().placed) {
    const auto& name = service().upstreams[to.upstream].name;
    traffic().placed->on_sent(name, monotonic_now());
    worker_.shared().named_limits.on_sent(name, monotonic_now());
  }
  attempt_end end = co_await attempt_admitted(to);
  state.outstanding.fetch_sub(1, std::memory_order_relaxed);
  caller_.set_active_socket(nullptr);
  if (connection_) release_connection(false);
  leave_lease(to, end);
  leave_gate(false);
  worker_.buffers().give(std::move(response_buffer_));
  co_return end;
}

task<exchange::attempt_end> exchange::attempt_admitted(const destination& to) {
  if (!to.via_dispatcher && !traffic().placed) {
    if (auto end = co_await enter_gate(to)) co_return *end;
    if (auto end = enter_lease(to)) co_return *end;
  }
  if (auto end = co_await connect(to)) co_return *end;
  if (auto end = check_pause(to)) co_return *end;
  if (auto end = check_still_open(to)) co_return *end;
  if (auto end = co_await send_request(to)) co_return *end;
  awaits_response_ = true;
  const auto no_head = co_await read_response_head(to);
  awaits_response_ = false;
  if (no_head) co_return *no_head;
  read_statement(to);
  if (auto end = refused_by_upstream(to)) co_return *end;
  if (auto end = refused_by_dispatcher(to)) co_return *end;
  co_return co_await relay_response(to);
}

task<std::optional<exchange::attempt_end>> exchange::enter_gate(const destination& to) {
  const auto now = monotonic_now();
  gated_upstream_ = traffic().upstreams[to.upstream];
  gate_admission_ = worker_.next_id();
  caller_.await_decision(gate_admission_);
  auto [verdict, reason] = gated_upstream_->gate.enter(
      {gate_admission_, match_.route->klass, tenant_id{std::string(tenant_)}, deadline_}, now,
      [&target = worker_, session = caller_.id(), id = gate_admission_](bool admitted) {
        target.decide(session, id, admitted);
      });
  if (verdict == admission_verdict::queued) {
    caller_.set_deadline(deadline_);
    while (!caller_.decision() && !caller_.caller_gone() && monotonic_now() < deadline_) {
      co_await caller_.pause_until(deadline_);
    }
    verdict = caller_.decision().value_or(false) ? admission_verdict::admitted
                                                 : admission_verdict::refused;
  }
  if (verdict == admission_verdict::admitted) co_return std::nullopt;
  leave_gate(false);
  attempt_end end;
  end.status = status_unavailable;
  end.too_late = reason == refusal::too_late;
  end.cause = {errc::limit_exceeded, step::admit, to.address,
               end.too_late ? "the request can't be served before the deadline"
                            : "all slots of the upstream are in use"};
  co_return end;
}

// Requires the shard's lease before sending to an upstream that checks no fences. The request's
// deadline is cut to the lease's end, so that the upstream has stopped working on the request
// before another dispatcher may send to it.
std::optional<exchange::attempt_end> exchange::enter_lease(const destination& to) {
  if (!service().service.keyed || service().service.checks_fence) return std::nullopt;
  const auto latest =
      worker_.shared().leases.admit(to.owner.dispatched, shard_, to.owner.fence, monotonic_now());
  if (!latest) {
    auto end = failed(to, step::ownership, run_state::not_run,
                      "this instance holds no lease of the shard", std::nullopt);
    end.wait_for_owner = true;
    return end;
  }
  holds_lease_ = true;
  route_deadline_ = deadline_;
  deadline_ = std::min(deadline_, *latest);
  return std::nullopt;
}

void exchange::leave_lease(const destination& to, const attempt_end& end) {
  if (!holds_lease_) return;
  holds_lease_ = false;
  auto& leases = worker_.shared().leases;
  // After a broken or abandoned response the upstream may still be working on the request: the
  // lease counts it as running until the deadline.
  const bool whole = end.answered && messages_.response->is_done();
  const bool done = whole || end.known != run_state::unknown;
  if (done) {
    leases.finish(to.owner.dispatched, shard_, to.owner.fence);
  } else {
    leases.finish_at(to.owner.dispatched, shard_, to.owner.fence, deadline_);
  }
  deadline_ = route_deadline_;
}

void exchange::leave_gate(bool observe) {
  if (!gated_upstream_) return;
  gated_upstream_->gate.leave(gate_admission_, monotonic_now(), observe);
  gated_upstream_.reset();
}

// While the request waited for a connection, the upstream may have asked for a pause.
std::optional<exchange::attempt_end> exchange::check_pause(const destination& to) {
  if (!traffic().placed) return std::nullopt;
  const auto& name = service().upstreams[to.upstream].name;
  const auto left = traffic().placed->pause_left(name, monotonic_now());
  if (left <= duration::zero()) return std::nullopt;
  release_connection(true);
  pause_ = left;
  return failed(to, step::send_request, run_state::not_run, "the upstream asked for a pause",
                std::nullopt);
}

// Where upstreams repeat the request's id, it tells their responses from copies of earlier ones.
std::optional<request_identity> exchange::identity() const {
  if (!names().echoes_request_id) return std::nullopt;
  return identify_request(messages_.request_id);
}

// Sets connection_ to an idle or a new connection. Waits for one until the deadline if the limit of
// connections is reached, unless the upstream leaves, and fails at once if too many requests wait
// already.
task<std::optional<exchange::attempt_end>> exchange::connect(const destination& to) {
  const auto& limits = worker_.settings().limits;
  const std::size_t limit =
      to.via_dispatcher
          ? std::max<std::size_t>(1, limits.hop_connections / worker_.settings().threads)
          : traffic().upstreams[to.upstream]->thread_connections.load();
  while (true) {
    const auto now = monotonic_now();
    connection_pool::idle_use use{.request = identity()};
    // A lost request that may be repeated takes from the retry budget, which is short where
    // upstreams are contended.
    if (!is_idempotent() || view_->snapshot->contended) {
      use.trusted_in = service().service.name.value;
    }
    if (!force_new_connection_) connection_ = worker_.pool().take_idle(to.address, use, now);
    if (connection_) co_return std::nullopt;
    connection_ = worker_.pool().reserve(to.address, limit);
    if (connection_) break;
    const auto ticket = worker_.pool().wait(to.address, [&target = worker_, id = caller_.id()] {
      if (auto* waiting = target.find(id)) waiting->wake();
    });
    if (ticket != 0) {
      worker_.add_connection_waiter(ticket, {caller_.id(), view_, match_.service, to.upstream});
      co_await caller_.pause_until(deadline_);
      worker_.remove_connection_waiter(ticket);
      const bool in_time = monotonic_now() < deadline_ && !caller_.caller_gone();
      auto closed = in_time ? check_still_open(to) : std::nullopt;
      worker_.pool().stop_waiting(to.address, ticket, in_time && !closed);
      if (closed) co_return *closed;
      if (in_time) continue;
    }
    co_return failed(to, step::connect, run_state::not_run, "all connections are in use",
                     std::nullopt);
  }
  const auto endpoint = parse_address(to.address);
  caller_.set_active_socket(&connection_->socket);
  caller_.set_deadline(std::min(deadline_, monotonic_now() + limits.connect_time));
  if (endpoint) {
    auto [code] = co_await connection_->socket.async_connect(*endpoint, as_task);
    if (!code) {
      prepare_socket(connection_->socket);
      co_return std::nullopt;
    }
  }
  release_connection(false);
  auto end = failed(to, step::connect, run_state::not_run, "the connection can't be opened",
                    failure_kind::refused);
  end.wait_for_owner = service().service.keyed || to.via_dispatcher;
  co_return end;
}

void exchange::release_connection(bool reusable) {
  caller_.set_active_socket(nullptr);
  if (reusable) {
    worker_.pool().keep(std::move(connection_), monotonic_now());
  } else {
    worker_.pool().drop(std::move(connection_));
  }
}

// An upstream whose slots are taken may leave a long request unread. Its window then stays closed,
// which TCP_USER_TIMEOUT takes for a dead machine although it acknowledges all that it gets.
void exchange::limit_silence(std::uint64_t request_size) {
  const auto limit =
      request_size <= max_unread_request
          ? std::chrono::ceil<milliseconds>(worker_.settings().limits.tcp_user_timeout)
          : milliseconds(0);
  if (limit == connection_->unacknowledged_limit) return;
  limit_unacknowledged(connection_->socket, limit);
  connection_->unacknowledged_limit = limit;
}

task<std::optional<exchange::attempt_end>> exchange::send_request(const destination& to) {
  auto& request = *messages_.request;
  const auto now = monotonic_now();
  if (now >= deadline_) {
    co_return failed(to, step::send_request, run_state::not_run, "the deadline has passed",
                     std::nullopt);
  }
  sent_at_ = now;
  request_additions added{.request_id = messages_.request_id,
                          .forwarded = names().adds_forwarded
                                           ? std::string_view(caller_.caller().forwarded())
                                           : std::string_view(),
                          .remaining = deadline_ - now,
                          .upstream = service().upstreams[to.upstream].name.value};
  if (service().service.keyed) {
    added.shard = shard_;
    added.fence = to.owner.fence;
  }
  if (to.via_dispatcher) added.forwarded_by = worker_.settings().instance;
  const bool marks_retries = !names().outcome.empty();
  if (attempts_ > 1 && marks_retries) added.retried_by = worker_.settings().instance;
  const body_frame frame = frame_for(request, messages_.body.size());
  messages_.head.clear();
  write_request_head(messages_.head, request, added, frame, names());
  delivery_.reset();
  if (connection_->reused && !is_idempotent()) {
    delivery_ = read_delivery(connection_->socket.native_handle());
  }
  trace_.connection = connection_->number;
  trace_.use = ++connection_->uses;
  if (const auto own = identity()) connection_->carried.add(*own);
  caller_.set_active_socket(&connection_->socket);
  outgoing pieces;
  pieces.add(messages_.head);
  const bool whole = request_read_;
  limit_silence(whole ? messages_.head.size() + messages_.body.size() : unknown_size);
  if (frame.kind == body_framing::chunked) {
    pieces.add_chunk(messages_.body);
  } else {
    pieces.add(messages_.body);
  }
  progress_window progress(caller_, deadline_);
  const early_reader early = [this] { return read_early_response(); };
  const auto sent =
      co_await send_held_request(pieces, caller_, connection_->socket, progress, early);
  trace_.written = pieces.written();
  request_sent_ = sent == relay_end::complete && whole;
  if (sent == relay_end::early_response) co_return std::nullopt;
  if (sent != relay_end::complete && pieces.written() == 0) {
    co_return failed(to, step::send_request, run_state::not_run, "the connection broke",
                     std::nullopt);
  }
  // If the upstream responded and closed, sending fails, but the response can still be read.
  if (sent == relay_end::upstream_failed) co_return std::nullopt;
  if (sent != relay_end::complete) co_return relay_failed(to, sent);
  if (whole) co_return std::nullopt;
  body_streamed_ = true;
  const auto end = co_await relay_request_body(caller_, request, connection_->socket, head_size_,
                                               match_.route->body_limit, deadline_, early);
  if (end == relay_end::early_response || end == relay_end::upstream_failed) co_return std::nullopt;
  if (end != relay_end::complete) co_return relay_failed(to, end);
  request_sent_ = true;
  finish_request_read();
  co_return std::nullopt;
}

exchange::attempt_end exchange::relay_failed(const destination& to, relay_end end) const {
  const auto caller_error = [&](unsigned status, errc code, const std::string& detail) {
    auto made = failed(to, step::parse_request, run_state::unknown, detail, std::nullopt);
    made.status = status;
    made.cause.code = code;
    return made;
  };
  switch (end) {
    case relay_end::too_large:
      return caller_error(413, errc::limit_exceeded, "the body is too large");
    case relay_end::caller_slow:
      return caller_error(408, errc::timed_out, "the body arrived too slowly");
    case relay_end::caller_failed:
      return caller_error(400, errc::bad_input, "the body ended early or is malformed");
    case relay_end::upstream_slow:
      return failed(to, step::send_request, run_state::unknown,
                    "the upstream stopped reading the request", failure_kind::silent);
    default:
      return failed(to, step::send_request, run_state::unknown, "the connection broke",
                    failure_kind::error);
  }
}

void exchange::give_up() {
  if (!awaits_response_) return;
  note_drain_end();
  deadline_ = std::min(deadline_, monotonic_now());
  caller_.set_deadline(deadline_);
}

void exchange::end_waits() {
  if (is_ready()) return;
  note_drain_end();
  deadline_ = std::min(deadline_, monotonic_now());
  caller_.set_deadline(deadline_);
}

// Reads until the response is complete or fills the buffer, so that a response cut off before then
// can still be replaced by another attempt's.
task<std::optional<exchange::attempt_end>> exchange::buffer_response(const destination& to) {
  auto& response = *messages_.response;
  caller_.set_deadline(deadline_);
  while (!response.is_done() && !response_buffer_->full()) {
    const auto read = co_await read_response_part(caller_, response, connection_->socket,
                                                  *response_buffer_, meaning_of_close());
    if (read != relay_end::complete) {
      co_return failed(
          to, step::read_answer, run_state::unknown, "the response was cut off",
          read == relay_end::upstream_slow ? failure_kind::timeout : failure_kind::error);
    }
  }
  co_return std::nullopt;
}

task<exchange::attempt_end> exchange::relay_response(const destination& to) {
  auto& response = *messages_.response;
  attempt_end end;
  end.answered = true;
  end.known = run_state::unknown;
  boost::beast::error_code code;
  response.parse_body(*response_buffer_, code);
  if (code) {
    auto broken = failed(to, step::read_answer, run_state::unknown,
                         "the response's body is malformed", failure_kind::error);
    broken.cause.code = errc::protocol;
    co_return broken;
  }
  if (worker_.settings().limits.buffer_answers) {
    if (auto cut = co_await buffer_response(to)) co_return *cut;
  }
  response_ready_at_ = monotonic_now();
  const auto reusable = [&] {
    return response.keep_alive() && !response.need_eof() && response_buffer_->unread().empty() &&
           request_sent_;
  };
  if (response.is_done()) {
    // Released before writing, so that a slow caller occupies neither a connection nor a slot.
    connection_->keep_for = parse_keep_alive_timeout(response.find(http::field::keep_alive));
    release_connection(reusable());
    leave_gate(true);
  }
  caller_.set_deadline(monotonic_time::max());
  if (!co_await caller_.wait_turn()) {
    record(response.status(), "undelivered", 0);
    co_return end;
  }
  caller_.set_waits_for_caller(true);
  const body_frame frame = frame_for(response);
  const auto outcome = reported_outcome(to.via_dispatcher, response.find(names().outcome));
  keeps_alive_ = can_keep_alive();
  messages_.head.clear();
  write_response_head(
      messages_.head, response,
      {.request_id = messages_.request_id, .outcome = outcome, .close = !keeps_alive_}, frame,
      names());
  outgoing pieces;
  pieces.add(messages_.head);
  if (frame.kind == body_framing::chunked) {
    pieces.add_chunk(response.body());
  } else {
    pieces.add(response.body());
  }
  const caller_socket_use used(caller_);
  progress_window progress(caller_, progress_window::no_limit);
  auto relayed = co_await write_pieces(pieces, caller_.socket(), caller_, progress,
                                       relay_end::caller_failed, relay_end::caller_slow);
  if (relayed == relay_end::complete && !response.is_done()) {
    relayed = co_await relay_response_body(caller_, response, connection_->socket,
                                           *response_buffer_, meaning_of_close());
    if (relayed == relay_end::complete) release_connection(reusable());
    leave_gate(relayed == relay_end::complete);
  }
  if (relayed == relay_end::complete) end.known = run_state::complete;
  if (relayed == relay_end::upstream_failed) end.failure = failure_kind::error;
  if (relayed == relay_end::upstream_slow) end.failure = failure_kind::silent;
  record(response.status(), relayed == relay_end::complete ? outcome : "broken",
         response.body_bytes());
  co_return end;
}

// Reports the attempt to the health check or the placement. An attempt through a dispatcher shows
// nothing about the upstream.
void exchange::report_health(const destination& to, const attempt_end& end) {
  if (end.failure == failure_kind::silent) {
    force_new_connection_ = true;
    worker_.pool().close_idle(to.address);
  }
  if (to.via_dispatcher) return;
  if (traffic().placed) return report_placement(to, end);
  auto& health = *traffic().health;
  const auto now = monotonic_now();
  if (end.failure) {
    health.on_failure(to.upstream, *end.failure, now);
  } else if (end.answered && end.known == run_state::complete) {
    health.on_success(to.upstream, now - sent_at_, now);
  }
}

void exchange::report_placement(const destination& to, const attempt_end& end) {
  constexpr unsigned first_failure = 500;
  const auto now = monotonic_now();
  attempt_report report{
      .work = match_.route->name, .load = reported_load_, .asked_for_pause = pause_.has_value()};
  if (end.answered && messages_.response->status() < first_failure) {
    report.ended = attempt_outcome::answered;
    report.latency = (response_ready_at_ == monotonic_time{} ? now : response_ready_at_) - sent_at_;
  } else if (end.answered || end.failure == failure_kind::error) {
    report.ended = attempt_outcome::failed;
  } else if (identity_mismatch_) {
    report.ended = attempt_outcome::identity_mismatch;
  } else if (end.failure == failure_kind::overload) {
    report.ended = attempt_outcome::refused;
  } else if (end.failure == failure_kind::refused || end.failure == failure_kind::dead) {
    report.ended = attempt_outcome::unreachable;
  } else if (end.failure) {
    report.ended = attempt_outcome::silent;
  } else {
    report.ended = attempt_outcome::abandoned;
  }
  traffic().placed->on_end(service().upstreams[to.upstream].name, report, now);
  if (report.ended == attempt_outcome::answered) note_answer(to, report, now);
}

}  // namespace plantainpaddle
