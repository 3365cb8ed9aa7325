// The part of an exchange that sends a request to one destination and relays its answer.
#include <boost/asio/ip/tcp.hpp>
#include <charconv>

#include "entry/exchange.h"
#include "entry/heads.h"
#include "entry/worker.h"
#include "http/address.h"
#include "upstream/grant_codec.h"

namespace plantainpaddle {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr unsigned status_misdirected = 421;
constexpr unsigned status_unavailable = 503;
constexpr duration hop_margin = milliseconds(50);

// What a dispatcher told, as one of the known names; an upstream's answer is complete.
std::string_view told_outcome(bool hop, std::string_view told) {
  if (hop && told == outcome_name(run_outcome::not_run)) return outcome_name(run_outcome::not_run);
  if (hop && told == outcome_name(run_outcome::unknown)) return outcome_name(run_outcome::unknown);
  return outcome_name(run_outcome::complete);
}

// `held`: bytes of a body that is held whole.
body_frame frame_of(const message_parser<true>& request, std::size_t held) {
  if (const auto length = request.content_length()) return {body_framing::length, *length};
  if (!request.chunked()) return {};
  if (request.is_done()) return {body_framing::length, held};
  return {body_framing::chunked};
}

// An answer without a body may still name its length (HEAD, 304).
body_frame frame_of(const message_parser<false>& answer) {
  if (const auto length = answer.content_length()) return {body_framing::length, *length};
  if (!answer.chunked() && !answer.need_eof()) return {};
  if (answer.is_done()) return {body_framing::length, answer.body().size()};
  return {body_framing::chunked};
}

// What "Keep-Alive: timeout=5" says; zero if it says nothing.
duration stated_idle_time(std::string_view keep_alive) {
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
                                       std::optional<failure_kind> judged) const {
  const bool slow = judged == failure_kind::silent || judged == failure_kind::timeout;
  attempt_end end;
  end.known = known;
  end.judged = judged;
  end.status = known == run_state::not_run ? status_unavailable : (slow ? 504U : 502U);
  end.why = {slow ? errc::timed_out : errc::unavailable, at, to.address, detail};
  return end;
}

task<exchange::attempt_end> exchange::attempt(const destination& to) {
  ++attempts_;
  load_.reset();
  misplaced_ = false;
  auto& state = *traffic().upstreams[to.upstream];
  state.outstanding.fetch_add(1, std::memory_order_relaxed);
  if (traffic().placed) traffic().placed->on_sent(service().upstreams[to.upstream].name);
  attempt_end end = co_await attempt_admitted(to);
  state.outstanding.fetch_sub(1, std::memory_order_relaxed);
  caller_.set_active(nullptr);
  if (connection_) release_connection(false);
  leave_lease(to, end);
  leave_gate(false);
  home_.buffers().give(std::move(answer_buffer_));
  co_return end;
}

task<exchange::attempt_end> exchange::attempt_admitted(const destination& to) {
  if (!to.hop && !traffic().placed) {
    if (auto end = co_await enter_gate(to)) co_return *end;
    if (auto end = enter_lease(to)) co_return *end;
  }
  if (auto end = co_await connect(to)) co_return *end;
  if (auto end = co_await send_request(to)) co_return *end;
  if (auto end = co_await read_answer_head(to)) co_return *end;
  if (auto end = refused_by_upstream(to)) co_return *end;
  co_return co_await relay_answer(to);
}

task<std::optional<exchange::attempt_end>> exchange::enter_gate(const destination& to) {
  const auto now = monotonic_now();
  gate_owner_ = traffic().upstreams[to.upstream];
  gate_id_ = home_.next_id();
  caller_.await_decision(gate_id_);
  auto [verdict, reason] = gate_owner_->gate.enter(
      {gate_id_, match_.route->klass, tenant_id{std::string(tenant_)}, deadline_}, now,
      [&home = home_, session = caller_.id(), id = gate_id_](bool admitted) {
        home.decide(session, id, admitted);
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
  end.why = {errc::limit_exceeded, step::admit, to.address,
             end.too_late ? "too late to be served before the deadline"
                          : "the upstream's slots are taken"};
  co_return end;
}

// Before anything is sent to an upstream that checks no fences. The request's deadline is cut to
// the lease, so that the upstream has stopped before another dispatcher may send.
std::optional<exchange::attempt_end> exchange::enter_lease(const destination& to) {
  if (!service().service.keyed || service().service.checks_fence) return std::nullopt;
  const auto latest =
      home_.shared().leases.admit(to.owner.dispatched, shard_, to.owner.fence, monotonic_now());
  if (!latest) {
    auto end = failed(to, step::ownership, run_state::not_run,
                      "this instance holds no lease of the shard", std::nullopt);
    end.wait_for_owner = true;
    return end;
  }
  leased_ = true;
  route_deadline_ = deadline_;
  deadline_ = std::min(deadline_, *latest);
  return std::nullopt;
}

void exchange::leave_lease(const destination& to, const attempt_end& end) {
  if (!leased_) return;
  leased_ = false;
  auto& leases = home_.shared().leases;
  // A broken or abandoned answer leaves open whether the upstream still works on the request.
  const bool whole = end.answered && messages_.answer->is_done();
  const bool done = whole || end.known != run_state::unknown;
  if (done) {
    leases.finish(to.owner.dispatched, shard_, to.owner.fence);
  } else {
    leases.finish_at(to.owner.dispatched, shard_, to.owner.fence, deadline_);
  }
  deadline_ = route_deadline_;
}

void exchange::leave_gate(bool observe) {
  if (!gate_owner_) return;
  gate_owner_->gate.leave(gate_id_, monotonic_now(), observe);
  gate_owner_.reset();
}

// Fills connection_.
task<std::optional<exchange::attempt_end>> exchange::connect(const destination& to) {
  const auto& limits = home_.settings().limits;
  const std::size_t limit =
      to.hop ? std::max<std::size_t>(1, limits.hop_connections / home_.settings().threads)
             : traffic().upstreams[to.upstream]->thread_connections.load();
  while (true) {
    const auto now = monotonic_now();
    if (!fresh_connection_) connection_ = home_.pool().take_idle(to.address, now);
    if (connection_) co_return std::nullopt;
    connection_ = home_.pool().reserve(to.address, limit);
    if (connection_) break;
    const auto ticket = home_.pool().wait(to.address, [&home = home_, id = caller_.id()] {
      if (auto* waiting = home.find(id)) waiting->wake();
    });
    if (ticket != 0) {
      co_await caller_.pause_until(deadline_);
      const bool in_time = monotonic_now() < deadline_ && !caller_.caller_gone();
      home_.pool().stop_waiting(to.address, ticket, in_time);
      if (in_time) continue;
    }
    co_return failed(to, step::connect, run_state::not_run, "all connections are in use",
                     std::nullopt);
  }
  const auto endpoint = parse_address(to.address);
  caller_.set_active(&connection_->socket);
  caller_.set_deadline(std::min(deadline_, monotonic_now() + limits.connect_time));
  if (endpoint) {
    auto [code] = co_await connection_->socket.async_connect(*endpoint, as_task);
    if (!code) {
      prepare_socket(connection_->socket);
      if (limits.tcp_user_timeout > duration::zero()) {
        limit_unacknowledged(connection_->socket,
                             std::chrono::ceil<milliseconds>(limits.tcp_user_timeout));
      }
      co_return std::nullopt;
    }
  }
  release_connection(false);
  auto end = failed(to, step::connect, run_state::not_run, "no connection", failure_kind::refused);
  end.wait_for_owner = service().service.keyed || to.hop;
  co_return end;
}

void exchange::release_connection(bool reusable) {
  caller_.set_active(nullptr);
  if (reusable) {
    home_.pool().keep(std::move(connection_), monotonic_now());
  } else {
    home_.pool().drop(std::move(connection_));
  }
}

task<std::optional<exchange::attempt_end>> exchange::send_request(const destination& to) {
  auto& request = *messages_.request;
  const auto now = monotonic_now();
  if (now >= deadline_) {
    co_return failed(to, step::send_request, run_state::not_run, "the deadline has passed",
                     std::nullopt);
  }
  sent_ = now;
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
  if (to.hop) added.hop = home_.settings().instance;
  const bool marks_retries = !names().outcome.empty();
  if (attempts_ > 1 && marks_retries) added.retried_by = home_.settings().instance;
  const body_frame frame = frame_of(request, messages_.body.size());
  messages_.head.clear();
  write_request_head(messages_.head, request, added, frame, names());
  caller_.set_active(&connection_->socket);
  outgoing pieces;
  pieces.add(messages_.head);
  const bool whole = read_whole_;
  if (frame.kind == body_framing::chunked) {
    pieces.add_chunk(messages_.body);
  } else {
    pieces.add(messages_.body);
  }
  progress_window progress(caller_, deadline_);
  const auto sent = co_await send_held_request(pieces, caller_, connection_->socket, progress);
  sent_whole_ = sent == relay_end::whole && whole;
  if (sent == relay_end::answered_early) co_return std::nullopt;
  if (sent != relay_end::whole && pieces.written() == 0) {
    co_return failed(to, step::send_request, run_state::not_run, "the connection broke",
                     std::nullopt);
  }
  // An upstream that has answered and closed breaks the sending: its answer can still be read.
  if (sent == relay_end::upstream_failed) co_return std::nullopt;
  if (sent != relay_end::whole) co_return relay_failed(to, sent);
  if (whole) co_return std::nullopt;
  streamed_ = true;
  const auto end = co_await relay_request_body(caller_, request, connection_->socket, head_size_,
                                               match_.route->body_limit, deadline_);
  if (end == relay_end::answered_early || end == relay_end::upstream_failed) co_return std::nullopt;
  if (end != relay_end::whole) co_return relay_failed(to, end);
  sent_whole_ = true;
  request_is_read();
  co_return std::nullopt;
}

exchange::attempt_end exchange::relay_failed(const destination& to, relay_end end) const {
  const auto by_caller = [&](unsigned status, errc code, const std::string& detail) {
    auto made = failed(to, step::parse_request, run_state::unknown, detail, std::nullopt);
    made.status = status;
    made.why.code = code;
    return made;
  };
  switch (end) {
    case relay_end::too_large:
      return by_caller(413, errc::limit_exceeded, "the body is too large");
    case relay_end::caller_slow:
      return by_caller(408, errc::timed_out, "the body came too slowly");
    case relay_end::caller_failed:
      return by_caller(400, errc::bad_input, "the body ended early or is no body");
    case relay_end::upstream_slow:
      return failed(to, step::send_request, run_state::unknown, "the upstream takes no bytes",
                    failure_kind::silent);
    default:
      return failed(to, step::send_request, run_state::unknown, "the connection broke",
                    failure_kind::error);
  }
}

// Leaves interim answers and those to other requests out. The deadline and the class's time of
// silence bound the wait.
task<std::optional<exchange::attempt_end>> exchange::read_answer_head(const destination& to) {
  const auto klass = static_cast<std::size_t>(match_.route->klass);
  const auto silent_at = monotonic_now() + home_.settings().limits.silence[klass];
  const bool silence_first = !to.hop && silent_at < deadline_;
  // A dispatcher may hold a request in its queue until the deadline and then says that it didn't
  // run: that answer is worth waiting for.
  const auto latest = to.hop ? deadline_ + hop_margin : std::min(silent_at, deadline_);
  answer_buffer_ = home_.buffers().take();
  wire_buffer& buffer = *answer_buffer_;
  auto& socket = connection_->socket;
  messages_.answer.emplace();
  std::size_t searched = 0;
  caller_.set_deadline(latest);
  const auto no_answer = [&] {
    return failed(to, step::read_answer, run_state::unknown, "no answer in time",
                  silence_first ? failure_kind::silent : failure_kind::timeout);
  };
  bool more = true;  // bytes are wanted before there can be a head
  while (true) {
    if (more) {
      co_await socket.async_wait(tcp_socket::wait_read, as_task);
      if (caller_.caller_gone()) {
        co_return failed(to, step::read_answer, run_state::unknown, "the caller went away",
                         std::nullopt);
      }
      if (caller_.expired()) co_return no_answer();
      boost::system::error_code code;
      buffer.end += socket.read_some(buffer.space(), code);
      if (code && code != asio::error::would_block) {
        // A kept connection that the upstream closes just now says nothing of the upstream.
        const bool stale = connection_->reused && buffer.end == 0;
        if (code == asio::error::timed_out) {
          co_return failed(to, step::read_answer, run_state::unknown,
                           "the upstream's machine doesn't acknowledge", failure_kind::dead);
        }
        co_return failed(to, step::read_answer, run_state::unknown, "the connection broke",
                         stale ? std::nullopt : std::optional(failure_kind::error));
      }
    }
    more = true;
    const auto size = find_head_end(buffer.unread(), searched);
    if (size == 0 && buffer.unread().size() < max_head_bytes) {
      searched = buffer.unread().size();
      continue;
    }
    auto& answer = *messages_.answer;
    boost::beast::error_code parse_code;
    if (messages_.request->method() == http::verb::head) answer.skip(true);
    if (size != 0) answer.parse_head(buffer, size, parse_code);
    if (size == 0 || parse_code || (answer.need_eof() && !names().allows_unframed)) {
      auto end = failed(to, step::read_answer, run_state::unknown, "no HTTP answer with a length",
                        failure_kind::error);
      end.why.code = errc::protocol;
      co_return end;
    }
    const bool final = answer.status() >= 200;
    const bool own =
        !names().echoes_request_id || answer.find(names().request_id) == messages_.request_id;
    if (final && own) co_return std::nullopt;
    if (final && !co_await skip_answer()) {
      if (caller_.expired()) co_return no_answer();
      auto end = failed(to, step::read_answer, run_state::unknown, "an answer to another request",
                        failure_kind::error);
      end.why.code = errc::protocol;
      co_return end;
    }
    messages_.answer.emplace();
    buffer.move_unread(0);
    searched = 0;
    more = buffer.unread().empty();
  }
}

// Reads over an answer that came late on this connection and belongs to an earlier request; false
// if the connection ends with it.
task<bool> exchange::skip_answer() {
  home_.counters().add("foreign_answers_total", {});
  auto& answer = *messages_.answer;
  boost::beast::error_code code;
  answer.parse_body(*answer_buffer_, code);
  if (code || answer.need_eof() || !answer.keep_alive()) co_return false;
  while (!answer.is_done()) {
    answer.clear_body();
    answer_buffer_->move_unread(0);
    if (answer_buffer_->full()) co_return false;
    const auto read =
        co_await read_answer_part(caller_, answer, connection_->socket, *answer_buffer_);
    if (read != relay_end::whole) co_return false;
  }
  co_return true;
}

// What the upstream says that it didn't run: nothing of it is relayed.
std::optional<exchange::attempt_end> exchange::refused_by_upstream(const destination& to) {
  auto& answer = *messages_.answer;
  load_ = parse_reported_load(answer.find(names().load));
  const bool marked = !names().refusal.empty() && !answer.find(names().refusal).empty();
  const bool says_not_run = !names().outcome.empty() && !to.hop &&
                            answer.status() == status_unavailable &&
                            answer.find(names().outcome) == outcome_name(run_outcome::not_run);
  const bool misdirected = answer.status() == status_misdirected;
  if (!misdirected && !says_not_run && !marked) return std::nullopt;
  boost::beast::error_code code;
  answer.parse_body(*answer_buffer_, code);
  const bool whole = !code && answer.is_done() && answer_buffer_->unread().empty();
  release_connection(whole && answer.keep_alive() && sent_whole_);
  attempt_end end;
  end.wait_for_owner = misdirected && service().service.keyed;
  end.status = status_unavailable;
  end.why = {misdirected ? errc::not_owner : errc::refused, step::read_answer, to.address,
             misdirected ? "the upstream doesn't own the shard" : "the upstream sheds load"};
  const auto there = answer.find(names().answering_upstream);
  misplaced_ = misdirected && !names().answering_upstream.empty() && !there.empty() &&
               there != service().upstreams[to.upstream].name.value;
  if (!misdirected) end.judged = failure_kind::overload;
  return end;
}

// Reads on until the answer is whole or fills the buffer, so that one that is cut off can still be
// replaced by another attempt's.
task<std::optional<exchange::attempt_end>> exchange::hold_answer(const destination& to) {
  auto& answer = *messages_.answer;
  caller_.set_deadline(deadline_);
  while (!answer.is_done() && !answer_buffer_->full()) {
    const auto read =
        co_await read_answer_part(caller_, answer, connection_->socket, *answer_buffer_);
    if (read != relay_end::whole) {
      co_return failed(
          to, step::read_answer, run_state::unknown, "the answer was cut off",
          read == relay_end::upstream_slow ? failure_kind::timeout : failure_kind::error);
    }
  }
  co_return std::nullopt;
}

task<exchange::attempt_end> exchange::relay_answer(const destination& to) {
  auto& answer = *messages_.answer;
  attempt_end end;
  end.answered = true;
  end.known = run_state::unknown;
  boost::beast::error_code code;
  answer.parse_body(*answer_buffer_, code);
  if (code) {
    auto broken = failed(to, step::read_answer, run_state::unknown, "the answer's body is bad",
                         failure_kind::error);
    broken.why.code = errc::protocol;
    co_return broken;
  }
  if (home_.settings().limits.buffer_answers) {
    if (auto cut = co_await hold_answer(to)) co_return *cut;
  }
  answered_ = monotonic_now();
  const auto reusable = [&] {
    return answer.keep_alive() && !answer.need_eof() && answer_buffer_->unread().empty() &&
           sent_whole_;
  };
  if (answer.is_done()) {
    // A slow caller holds neither connection nor slot.
    connection_->keep_for = stated_idle_time(answer.find(http::field::keep_alive));
    release_connection(reusable());
    leave_gate(true);
  }
  caller_.set_deadline(monotonic_time::max());
  if (!co_await caller_.wait_turn()) {
    record(answer.status(), "undelivered", 0);
    co_return end;
  }
  const body_frame frame = frame_of(answer);
  const auto outcome = told_outcome(to.hop, answer.find(names().outcome));
  const bool keep = may_keep();
  messages_.head.clear();
  write_answer_head(messages_.head, answer,
                    {.request_id = messages_.request_id, .outcome = outcome, .close = !keep}, frame,
                    names());
  outgoing pieces;
  pieces.add(messages_.head);
  if (frame.kind == body_framing::chunked) {
    pieces.add_chunk(answer.body());
  } else {
    pieces.add(answer.body());
  }
  const caller_use used(caller_);
  progress_window progress(caller_, monotonic_time::max());
  auto relayed = co_await write_pieces(pieces, caller_.socket(), caller_, progress,
                                       relay_end::caller_failed, relay_end::caller_slow);
  if (relayed == relay_end::whole && !answer.is_done()) {
    relayed = co_await relay_answer_body(caller_, answer, connection_->socket, *answer_buffer_);
    if (relayed == relay_end::whole) release_connection(reusable());
    leave_gate(relayed == relay_end::whole);
  }
  if (relayed == relay_end::whole) end.known = run_state::complete;
  if (relayed == relay_end::upstream_failed) end.judged = failure_kind::error;
  if (relayed == relay_end::upstream_slow) end.judged = failure_kind::silent;
  record(answer.status(), relayed == relay_end::whole ? outcome : "broken", answer.body_bytes());
  co_return end;
}

// What an attempt says of the upstream; a hop says nothing of it.
void exchange::judge(const destination& to, const attempt_end& end) {
  if (end.judged == failure_kind::silent) {
    fresh_connection_ = true;
    home_.pool().close_idle(to.address);
  }
  if (to.hop) return;
  if (traffic().placed) return judge_placed(to, end);
  auto& health = *traffic().health;
  const auto now = monotonic_now();
  if (end.judged) {
    health.on_failure(to.upstream, *end.judged, now);
  } else if (end.answered && end.known == run_state::complete) {
    health.on_success(to.upstream, now - sent_, now);
  }
}

void exchange::judge_placed(const destination& to, const attempt_end& end) {
  constexpr unsigned first_failure = 500;
  const auto now = monotonic_now();
  attempt_report told{.work = match_.route->name, .load = load_};
  if (end.answered && messages_.answer->status() < first_failure) {
    told.ended = attempt_outcome::answered;
    told.latency = (answered_ == monotonic_time{} ? now : answered_) - sent_;
  } else if (end.answered || end.judged == failure_kind::error) {
    told.ended = attempt_outcome::failed;
  } else if (misplaced_) {
    told.ended = attempt_outcome::identity_mismatch;
  } else if (end.judged == failure_kind::overload) {
    told.ended = attempt_outcome::refused;
  } else if (end.judged == failure_kind::refused || end.judged == failure_kind::dead) {
    told.ended = attempt_outcome::unreachable;
  } else if (end.judged) {
    told.ended = attempt_outcome::silent;
  } else {
    told.ended = attempt_outcome::abandoned;
  }
  traffic().placed->on_end(service().upstreams[to.upstream].name, told, now);
}

}  // namespace plantainpaddle
