// A request is checked and routed, its body is read if it is small, and attempts follow until one
// gets a response or no further one is allowed. An attempt takes a slot, then a connection, and
// then sends.
//
// A failed attempt counts as not run only if the bytes written or the upstream's response prove it.
// Otherwise its outcome is unknown, and only an idempotent request is sent again.
#include "entry/exchange.h"

#include <algorithm>
#include <charconv>

#include "entry/heads.h"
#include "entry/worker.h"
#include "http/address.h"
#include "ownership/shard_map.h"
#include "upstream/grant_codec.h"

namespace plantainpaddle {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr unsigned status_misdirected = 421;
constexpr duration min_owner_pause = milliseconds(20);
constexpr duration max_owner_pause = milliseconds(160);
constexpr std::size_t max_tenant_bytes = 64;

local_response not_run(unsigned status, errc code, step at, std::string detail) {
  return {status, {code, at, "", std::move(detail)}, run_outcome::not_run};
}

std::string make_request_id(std::uint64_t number) {
  std::array<char, 16> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number, 16).ptr;
  return {digits.data(), end};
}

run_outcome outcome_of(run_state known) {
  return known == run_state::not_run ? run_outcome::not_run : run_outcome::unknown;
}

void give_back_body(request_scope& caller, std::string& body, std::size_t& held) {
  auto& memory = caller.owning_worker().memory();
  memory.remove(caller.caller().id(), held_kind::bodies, std::exchange(held, 0));
  body = {};
}

}  // namespace

exchange::exchange(session& connection, std::uint64_t number, std::unique_ptr<wire_buffer> buffer,
                   std::size_t head_size, held_kind kind)
    : caller_(connection, number, std::move(buffer)),
      worker_(connection.home()),
      state_(worker_.messages().take()),
      messages_(*state_),
      head_size_(head_size),
      kind_(kind),
      started_at_(monotonic_now()),
      split_random_(worker_.random()) {
  messages_.request.emplace();
  messages_.request_id.clear();
  if (worker_.draining()) worker_.counters().add("drain_requests_total", {});
}

exchange::~exchange() {
  if (connection_) release_connection(false);
  leave_gate(false);
  worker_.buffers().give(std::move(response_buffer_));
  worker_.messages().give(std::move(state_));
  auto& memory = worker_.memory();
  memory.remove(caller_.caller().id(), held_kind::bodies, held_bytes_);
  memory.remove(caller_.caller().id(), kind_, memory_bytes);
}

const header_names& exchange::names() const { return worker_.settings().names; }

const service_traffic& exchange::traffic() const {
  const auto index = static_cast<std::size_t>(match_.service - view_->snapshot->services.data());
  return view_->services[index];
}

task<bool> exchange::run() {
  if (auto refusal = parse_and_route(head_size_)) co_return co_await respond(std::move(*refusal));
  if (auto refusal = co_await read_held_body()) co_return co_await respond(std::move(*refusal));
  caller_.set_waits_for_caller(false);
  traffic().retries->on_request();
  // A caller sends again whatever it pipelined behind a response that closes the connection. A
  // request that isn't idempotent is therefore sent only once all earlier responses are out.
  if (!is_idempotent() && !co_await caller_.wait_turn()) co_return false;
  if (is_too_late()) {
    // A named variable: see below.
    local_response leaving = leaving_response();
    co_return co_await respond(std::move(leaving));
  }
  std::optional<upstream_id> except;
  error last{errc::timed_out, step::ownership, "", "no upstream serves the key now"};
  while (true) {
    choice chosen = choose(except);
    if (auto* refusal = std::get_if<local_response>(&chosen)) {
      co_return co_await respond(std::move(*refusal));
    }
    if (const auto* none = std::get_if<no_owner>(&chosen)) {
      if (attempts_ == 0) last = none->cause;
      if (auto end = co_await wait_for_owner(last)) co_return co_await respond(std::move(*end));
      continue;
    }
    const destination to = std::get<destination>(std::move(chosen));
    auto permit = co_await take_permit(to);
    if (permit.refusal) co_return co_await respond(std::move(*permit.refusal));
    if (caller_.caller_gone()) co_return end_cancelled();
    if (!permit.may_send) continue;
    // Every further attempt counts against the retry budget, whatever caused it.
    const bool has_token = std::exchange(has_retry_token_, false);
    if (traffic().placed && attempts_ > 0 && !has_token && !traffic().retries->take()) {
      local_response spent{503, last, run_outcome::not_run, worker_.settings().limits.retry_after};
      co_return co_await respond(std::move(spent));
    }
    except = service().upstreams[to.upstream].name;
    last_upstream_ = except->value;
    last_fence_ = to.owner.fence;
    attempt_end end = co_await attempt(to);
    report_health(to, end);
    may_have_run_ |= end.known == run_state::unknown;
    if (end.answered) {
      co_return end.known == run_state::complete&& keeps_alive_ && !caller_.caller_gone();
    }
    log_attempt(to, end);
    if (caller_.caller_gone()) co_return end_cancelled();
    if (end.unsent) {
      last = end.cause;
      if (auto give_up = co_await choose_after_unsent(end)) {
        co_return co_await respond(std::move(*give_up));
      }
      continue;
    }
    if (end.too_late && attempts_ > 1) {
      // Reports what delayed the request. A named variable, because g++ 12 destroys an aggregate
      // that is created inside co_await twice.
      local_response late{503, last, run_outcome::not_run};
      co_return co_await respond(std::move(late));
    }
    if (end.wait_for_owner && to.is_former_owner) traffic().placed->note_released(to.owner.fence);
    if (end.wait_for_owner && !body_streamed_) {
      last = end.cause;
      refusing_fence_ = to.owner.fence;
      refused_until_ = monotonic_now() + worker_.settings().limits.misdirected_wait;
      if (auto give_up = co_await wait_for_owner(last)) {
        co_return co_await respond(std::move(*give_up));
      }
      continue;
    }
    last = end.cause;
    if (auto give_up = co_await plan_retry(end)) co_return co_await respond(std::move(*give_up));
  }
}

// Parses the head, routes the request and applies the checks that need no body.
std::optional<local_response> exchange::parse_and_route(std::size_t head_size) {
  auto& request = *messages_.request;
  boost::beast::error_code code;
  request.parse_head(caller_.buffer(), head_size, code);
  if (code || !request.is_header_done()) {
    worker_.counters().add("refused_heads_total", {{"fault", "parser"}});
    return not_run(400, errc::bad_input, step::parse_request, code.message());
  }
  const auto id = request.find(names().request_id);
  if (names().echoes_request_id && !is_request_id(id)) {
    return not_run(400, errc::bad_input, step::parse_request, "the request has no valid id");
  }
  messages_.request_id = is_request_id(id) ? std::string(id) : make_request_id(worker_.random());
  if (caller_.caller().internal() && request.find(hop_header).empty()) {
    return not_run(403, errc::refused, step::route,
                   "this listener accepts only requests forwarded by other instances");
  }
  const auto expect = request.find(http::field::expect);
  if (!expect.empty() && !boost::beast::iequals(expect, "100-continue")) {
    return not_run(417, errc::bad_input, step::parse_request, "unsupported Expect value");
  }
  if (auto refusal = route_request()) return refusal;
  if (service().service.keyed) count_key();
  if (auto refusal = check_deadline()) return refusal;
  const auto length = request.content_length();
  if (length && *length > match_.route->body_limit) {
    return not_run(413, errc::limit_exceeded, step::parse_request,
                   "the body has " + std::to_string(*length) + " bytes, at most " +
                       std::to_string(match_.route->body_limit) + " are allowed");
  }
  return check_limits();
}

// Finds service, route and key in the worker's current view.
std::optional<local_response> exchange::route_request() {
  view_ = worker_.view();
  const auto& request = *messages_.request;
  const auto path = request.target().substr(0, request.target().find('?'));
  match_ = match_route(*view_->snapshot, request.find(http::field::host), path, split_random_);
  if (view_->snapshot->services.empty() || !view_->snapshot->known) {
    return not_run(503, errc::unavailable, step::route, "no routing table has been loaded yet");
  }
  if (match_.route == nullptr) {
    return not_run(404, errc::not_found, step::route, "no route matches the target");
  }
  key_ = extract_key(*match_.route, request.target(),
                     [&](std::string_view name) { return request.find(name); });
  if (!service().service.keyed) return std::nullopt;
  if (!key_) return not_run(400, errc::bad_input, step::route, "the request has no key");
  const auto shard = find_shard(service().service, service().keys, *key_);
  shard_ = shard.value_or(shard_id{static_cast<std::uint32_t>(service().shards.size())});
  return std::nullopt;
}

std::optional<local_response> exchange::check_deadline() {
  auto allowed = match_.route->timeout;
  const auto text = messages_.request->find(names().deadline);
  if (!text.empty()) {
    std::uint32_t asked = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), asked);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
      return not_run(400, errc::bad_input, step::parse_request,
                     std::string(names().deadline) + " is not a number of milliseconds");
    }
    allowed = std::min<duration>(allowed, milliseconds(asked));
  }
  deadline_ = started_at_ + allowed;
  if (allowed > duration::zero()) return std::nullopt;
  return not_run(504, errc::timed_out, step::parse_request, "the deadline has passed");
}

std::optional<local_response> exchange::check_limits() {
  tenant_ = messages_.request->find(names().tenant).substr(0, max_tenant_bytes);
  if (caller_.caller().internal() || service().limits.empty()) return std::nullopt;
  const auto decision = worker_.shared().check_limits(
      service().service.name, tenant_id{std::string(tenant_)}, match_.route->klass, started_at_);
  if (decision.allowed) return std::nullopt;
  local_response refusal = not_run(429, errc::limit_exceeded, step::limit,
                                   "the limit " + decision.limit + " is used up");
  refusal.retry_after = std::max<duration>(decision.retry_after, milliseconds(1));
  return refusal;
}

std::optional<local_response> exchange::check_body(boost::beast::error_code code) const {
  if (code) {
    worker_.counters().add("refused_heads_total", {{"fault", "body"}});
    return not_run(400, errc::bad_input, step::parse_request, "body: " + code.message());
  }
  if (messages_.request->body_bytes() > match_.route->body_limit) {
    return not_run(413, errc::limit_exceeded, step::parse_request, "the body is too large");
  }
  return std::nullopt;
}

// Moves the decoded bytes from the buffer to the held body, which makes room in the buffer. The
// body grows by half as bytes come, whatever length is declared. False means that the worker's
// memory budget allows no further bytes.
bool exchange::append_held_body() {
  constexpr std::size_t first_growth = 4 << 10;
  auto& request = *messages_.request;
  auto& body = messages_.body;
  const std::size_t needed = body.size() + request.body().size();
  if (needed > body.capacity()) {
    const std::size_t grown =
        std::max(needed, body.size() + std::max(body.size() / 2, first_growth));
    if (!worker_.hold(caller_.caller().id(), held_kind::bodies, grown - held_bytes_)) return false;
    held_bytes_ = grown;
    // reserve() on the body itself would at least double its capacity.
    std::string larger;
    larger.reserve(grown);
    larger.append(body);
    body = std::move(larger);
  }
  body.append(request.body());
  request.clear_body();
  caller_.buffer().move_unread(head_size_);
  return true;
}

local_response exchange::no_memory_response() {
  give_back_body(caller_, messages_.body, held_bytes_);
  auto refusal =
      not_run(503, errc::limit_exceeded, step::parse_request, "no memory is left for the body");
  refusal.retry_after = worker_.settings().limits.retry_after;
  return refusal;
}

bool exchange::refuse_body() {
  if (!reads_held_body_) return false;
  must_make_room_ = true;
  // At once, since many others may read megabytes before this request's coroutine runs again.
  give_back_body(caller_, messages_.body, held_bytes_);
  caller_.cancel();
  return true;
}

void exchange::finish_request_read() {
  request_read_ = true;
  auto& buffer = caller_.buffer();
  const auto rest = buffer.unread();
  buffer.end -= rest.size();
  caller_.caller().on_request_read(rest);
}

// Reads a body of up to held_body bytes completely before anything is sent, so that a slow caller
// occupies no slot and the request can be sent again. A longer body is streamed.
task<std::optional<local_response>> exchange::read_held_body() {
  reads_held_body_ = true;
  caller_.limit_deadline(worker_.last_request());
  auto refusal = co_await read_body_pieces();
  reads_held_body_ = false;
  caller_.limit_deadline(monotonic_time::max());
  co_return refusal;
}

task<std::optional<local_response>> exchange::read_body_pieces() {
  auto& request = *messages_.request;
  wire_buffer& buffer = caller_.buffer();
  boost::beast::error_code code;
  request.parse_body(buffer, code);
  const std::size_t held = worker_.settings().limits.held_body;
  const bool fits = request.content_length().value_or(0) <= held;
  if (!request.is_done() && !request.find(http::field::expect).empty()) {
    constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    outgoing pieces;
    pieces.add(interim);
    if (pieces.write_some(caller_.socket())) {
      co_return not_run(400, errc::cancelled, step::parse_request,
                        "the caller closed the connection");
    }
  }
  const caller_socket_use used(caller_);
  progress_window progress(caller_, deadline_);
  const auto refuse = [this] {
    worker_.note_limited("memory");
    return no_memory_response();
  };
  if (!append_held_body()) co_return refuse();
  while (!code && !request.is_done() && fits && !buffer.full() && messages_.body.size() < held &&
         request.body_bytes() <= match_.route->body_limit) {
    boost::system::error_code read_code;
    const auto size = caller_.socket().read_some(buffer.space(), read_code);
    if (read_code == asio::error::would_block) {
      if (caller_.expired()) {
        if (is_too_late()) co_return leaving_response();
        co_return not_run(408, errc::timed_out, step::parse_request, "the body arrived too slowly");
      }
      co_await caller_.socket().async_wait(tcp_socket::wait_read, as_task);
      if (must_make_room_) co_return no_memory_response();
      if (caller_.caller_gone()) read_code = asio::error::operation_aborted;
      if (read_code == asio::error::would_block) continue;
    }
    if (read_code) {
      co_return not_run(400, errc::cancelled, step::parse_request,
                        "the connection ended before the body was complete");
    }
    buffer.end += size;
    progress.on_bytes(size);
    request.parse_body(buffer, code);
    if (!append_held_body()) co_return refuse();
  }
  if (auto fault = check_body(code)) co_return fault;
  if (request.is_done()) finish_request_read();
  co_return std::nullopt;
}

// Waits for a short while, doubled each time, and routes the request again. With gates it doesn't
// wait if the view has already changed. Returns a refusal once owner_wait or the deadline is over.
task<std::optional<local_response>> exchange::wait_for_owner(const error& cause) {
  if (caller_.caller().internal()) {
    local_response misdirected{status_misdirected, cause, run_outcome::not_run};
    co_return misdirected;
  }
  auto& waiting = worker_.waiting_for_owner();
  const auto now = monotonic_now();
  if (owner_wait_end_ == monotonic_time{}) {
    owner_wait_end_ = std::min(deadline_, now + worker_.settings().limits.owner_wait);
  }
  // A drain may have cut the deadline since the wait began.
  const auto wait_end = std::min(owner_wait_end_, deadline_);
  if (now >= wait_end || caller_.caller_gone()) {
    local_response given_up{503, cause, run_outcome::not_run};
    if (now < deadline_) given_up.retry_after = worker_.settings().limits.retry_after;
    co_return given_up;
  }
  if (waiting.size() >= worker_.settings().limits.waiting_for_owner) {
    co_return not_run(503, errc::limit_exceeded, step::ownership,
                      "too many requests are waiting for an owner");
  }
  if (worker_.view() == view_ || traffic().placed) {
    owner_pause_ = std::clamp(owner_pause_ * 2, min_owner_pause, max_owner_pause);
    waiting.insert(caller_.id());
    caller_.set_deadline(deadline_);
    co_await caller_.pause_until(std::min(wait_end, now + owner_pause_));
    waiting.erase(caller_.id());
  }
  co_return route_request();
}

// Decides whether the request is sent again and waits for the delay; nullopt means to send it.
task<std::optional<local_response>> exchange::plan_retry(const attempt_end& end) {
  local_response give_up{end.status, end.cause, outcome_of(end.known)};
  if (end.known == run_state::not_run) {
    give_up.retry_after = worker_.settings().limits.retry_after;
  }
  if (body_streamed_) co_return give_up;
  // Only the key's owner can be asked again, so it gets time for a slot to become free.
  const bool same_again = traffic().placed && service().service.keyed;
  if (same_again && pause_) {
    if (end.known == run_state::not_run) give_up.retry_after = spread_retry_after(*pause_);
    co_return give_up;
  }
  const auto now = monotonic_now();
  const auto decision = traffic().retries->decide(
      {.attempts = attempts_,
       .known = end.known,
       .idempotent = is_idempotent(),
       .max_attempts = match_.policy.max_attempts,
       .outer_retries =
           caller_.caller().internal() || !messages_.request->find(retry_owner_header).empty(),
       .deadline = deadline_,
       .now = now},
      worker_.random());
  if (!decision.retry) co_return give_up;
  has_retry_token_ = true;
  worker_.counters().add("retries_total",
                         {{"class", std::string(class_name(match_.route->klass))}});
  caller_.set_deadline(deadline_);
  const duration pause =
      same_again ? worker_.settings().limits.owner_retry_delay : duration::zero();
  co_await caller_.pause_until(now + pause + decision.delay);
  if (caller_.caller_gone()) co_return give_up;
  co_return route_request();
}

bool exchange::is_idempotent() const {
  if (match_.route->once) return false;
  if (match_.route->idempotent) return true;
  switch (messages_.request->method()) {
    case http::verb::get:
    case http::verb::head:
    case http::verb::put:
    case http::verb::delete_:
      return true;
    default:
      return false;
  }
}

// Whether the caller's connection stays open. While the instance drains, the response to the last
// request that was read closes it.
bool exchange::can_keep_alive() {
  const auto& request = *messages_.request;
  const bool last = caller_.caller().is_last(caller_.number());
  return request.is_header_done() && request_read_ && request.keep_alive() &&
         !(worker_.draining() && last) && !caller_.caller_gone();
}

task<bool> exchange::respond(local_response own) {
  // The last attempt may not have run, but an earlier one may have.
  own = settle(std::move(own), may_have_run_);
  if (connection_) release_connection(false);
  leave_gate(false);
  if (!co_await caller_.wait_turn()) co_return false;
  caller_.set_waits_for_caller(true);
  const bool keep = can_keep_alive();
  const auto& request = *messages_.request;
  record(own.status, outcome_name(own.outcome), 0);
  log_local_response(own);
  const std::string text = format_local_response(own,
                                                 {.request_id = messages_.request_id,
                                                  .head_only = request.method() == http::verb::head,
                                                  .close = !keep},
                                                 names());
  outgoing pieces;
  pieces.add(text);
  const caller_socket_use used(caller_);
  progress_window progress(caller_, progress_window::no_limit);
  const auto sent = co_await write_pieces(pieces, caller_.socket(), caller_, progress,
                                          relay_end::caller_failed, relay_end::caller_slow);
  co_return sent == relay_end::complete&& keep;
}

}  // namespace plantainpaddle
