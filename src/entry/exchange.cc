// The order of things: check, route, gather a small body, then attempts until one is answered or
// nothing more may be tried. An attempt takes a slot, then a connection, then sends. What is known
// of a failed attempt (not run, or unknown) follows from the bytes written and from what the
// upstream said, never from a guess.
#include "entry/exchange.h"

#include <charconv>

#include "base/log.h"
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
constexpr duration first_owner_pause = milliseconds(20);
constexpr duration longest_owner_pause = milliseconds(160);
constexpr std::size_t longest_tenant = 64;

own_answer not_run(unsigned status, errc code, step at, std::string detail) {
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

}  // namespace

exchange::exchange(session& caller, message_state& messages, std::size_t head_size)
    : caller_(caller),
      home_(caller.home()),
      messages_(messages),
      head_size_(head_size),
      started_(monotonic_now()) {
  messages_.request.emplace();
  messages_.request_id.clear();
}

exchange::~exchange() {
  if (connection_) release_connection(false);
  leave_gate(false);
  home_.buffers().give(std::move(answer_buffer_));
}

const service_traffic& exchange::traffic() const {
  const auto index = static_cast<std::size_t>(match_.service - view_->snapshot->services.data());
  return view_->services[index];
}

task<bool> exchange::run() {
  if (auto refusal = open(head_size_)) co_return co_await answer(std::move(*refusal));
  if (auto refusal = co_await gather_body()) co_return co_await answer(std::move(*refusal));
  traffic().retries->on_request();
  std::optional<std::size_t> except;
  error last{errc::timed_out, step::ownership, "", "nobody serves the key now"};
  while (true) {
    const auto to = choose(except);
    if (!to) {
      if (auto end = co_await wait_for_owner(last)) co_return co_await answer(std::move(*end));
      continue;
    }
    attempt_end end = co_await attempt(*to);
    judge(*to, end);
    may_have_run_ |= end.known == run_state::unknown;
    if (end.answered) co_return end.known == run_state::complete&& may_keep();
    if (caller_.caller_gone()) {
      home_.counters().add("cancelled_total", {});
      co_return false;
    }
    if (end.too_late && attempts_ > 1) {
      // Why it became late. Named: g++ 12 destroys an aggregate made inside co_await twice.
      own_answer late{503, last, run_outcome::not_run};
      co_return co_await answer(std::move(late));
    }
    if (end.wait_for_owner && !streamed_) {
      last = end.why;
      if (auto give_up = co_await wait_for_owner(last)) {
        co_return co_await answer(std::move(*give_up));
      }
      continue;
    }
    last = end.why;
    if (auto give_up = co_await plan_retry(end)) co_return co_await answer(std::move(*give_up));
    except = to->upstream;
  }
}

// Parses the head and finds out whether the request may be sent at all.
std::optional<own_answer> exchange::open(std::size_t head_size) {
  auto& request = *messages_.request;
  boost::beast::error_code code;
  request.parse_head(caller_.buffer(), head_size, code);
  if (code || !request.is_header_done()) {
    home_.counters().add("refused_heads_total", {{"fault", "parser"}});
    return not_run(400, errc::bad_input, step::parse_request, code.message());
  }
  const auto id = request.find(request_id_header);
  messages_.request_id = is_request_id(id) ? std::string(id) : make_request_id(home_.random());
  if (caller_.internal() && request.find(hop_header).empty()) {
    return not_run(403, errc::refused, step::route, "only other instances may send here");
  }
  const auto expect = request.find(http::field::expect);
  if (!expect.empty() && !boost::beast::iequals(expect, "100-continue")) {
    return not_run(417, errc::bad_input, step::parse_request, "an unknown expectation");
  }
  if (auto refusal = match_view()) return refusal;
  if (auto refusal = check_deadline()) return refusal;
  const auto length = request.content_length();
  if (length && *length > match_.route->body_limit) {
    return not_run(413, errc::limit_exceeded, step::parse_request,
                   "a body of " + std::to_string(*length) + " bytes, at most " +
                       std::to_string(match_.route->body_limit) + " are allowed");
  }
  return check_limits();
}

// Finds service, route and key in the view in force now.
std::optional<own_answer> exchange::match_view() {
  view_ = home_.view();
  const auto& request = *messages_.request;
  const auto path = request.target().substr(0, request.target().find('?'));
  match_ = match_route(*view_->snapshot, request.find(http::field::host), path);
  if (view_->snapshot->services.empty()) {
    return not_run(503, errc::unavailable, step::route, "no table is known yet");
  }
  if (match_.route == nullptr) {
    return not_run(404, errc::not_found, step::route, "no route matches the target");
  }
  key_ = extract_key(*match_.route, request.target(),
                     [&](std::string_view name) { return request.find(name); });
  if (!service().service.keyed) return std::nullopt;
  if (!key_) return not_run(400, errc::bad_input, step::route, "the request has no key");
  shard_ = shard_of(service().service.name, *key_, service().service.shards);
  traffic().counts->add(shard_);
  return std::nullopt;
}

std::optional<own_answer> exchange::check_deadline() {
  auto allowed = match_.route->timeout;
  const auto text = messages_.request->find(deadline_header);
  if (!text.empty()) {
    std::uint32_t asked = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), asked);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
      return not_run(400, errc::bad_input, step::parse_request,
                     std::string(deadline_header) + " is not a number of milliseconds");
    }
    allowed = std::min<duration>(allowed, milliseconds(asked));
  }
  deadline_ = started_ + allowed;
  if (allowed > duration::zero()) return std::nullopt;
  return not_run(504, errc::timed_out, step::parse_request, "the deadline has passed");
}

std::optional<own_answer> exchange::check_limits() {
  tenant_ = messages_.request->find(tenant_header).substr(0, longest_tenant);
  if (caller_.internal() || service().limits.empty()) return std::nullopt;
  const auto decision = home_.shared().check_limits(
      service().service.name, tenant_id{std::string(tenant_)}, match_.route->klass, started_);
  if (decision.allowed) return std::nullopt;
  own_answer refusal = not_run(429, errc::limit_exceeded, step::limit,
                               "the limit " + decision.limit + " is used up");
  refusal.retry_after = std::max<duration>(decision.retry_after, milliseconds(1));
  return refusal;
}

// A body that fits into the buffer is read whole before anything is sent: a slow caller holds no
// slot, and the request can be sent again.
task<std::optional<own_answer>> exchange::gather_body() {
  auto& request = *messages_.request;
  wire_buffer& buffer = caller_.buffer();
  boost::beast::error_code code;
  request.parse_body(buffer, code);
  const auto length = request.content_length();
  const bool fits = !length || *length <= wire_buffer::capacity - head_size_;
  if (!request.is_done() && !request.find(http::field::expect).empty()) {
    constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    outgoing pieces;
    pieces.add(interim);
    if (pieces.write_some(caller_.socket())) {
      co_return not_run(400, errc::cancelled, step::parse_request, "the caller went away");
    }
  }
  progress_window progress(caller_, deadline_);
  while (!code && !request.is_done() && fits && !buffer.full() &&
         request.body_bytes() <= match_.route->body_limit) {
    boost::system::error_code read_code;
    const auto size = caller_.socket().read_some(buffer.space(), read_code);
    if (read_code == asio::error::would_block) {
      co_await caller_.socket().async_wait(tcp_socket::wait_read, as_task);
      if (caller_.expired()) {
        co_return not_run(408, errc::timed_out, step::parse_request, "the body came too slowly");
      }
      if (caller_.caller_gone()) read_code = asio::error::operation_aborted;
      if (read_code == asio::error::would_block) continue;
    }
    if (read_code) {
      co_return not_run(400, errc::cancelled, step::parse_request, "the body ended early");
    }
    buffer.end += size;
    progress.moved(size);
    request.parse_body(buffer, code);
  }
  if (code) {
    home_.counters().add("refused_heads_total", {{"fault", "body"}});
    co_return not_run(400, errc::bad_input, step::parse_request, "body: " + code.message());
  }
  if (request.body_bytes() > match_.route->body_limit) {
    co_return not_run(413, errc::limit_exceeded, step::parse_request, "the body is too large");
  }
  pipelined_ = request.is_done() && !buffer.unread().empty();
  co_return std::nullopt;
}

std::optional<exchange::destination> exchange::choose(std::optional<std::size_t> except) {
  destination to;
  if (service().service.keyed) {
    const auto* owner = owner_of(service(), shard_);
    if (owner == nullptr) return std::nullopt;
    to.upstream = owner->upstream;
    to.owner = *owner;
  } else {
    const auto chosen = choose_unkeyed(service(), traffic(), home_.settings().domain,
                                       monotonic_now(), home_.random(), except);
    if (!chosen) return std::nullopt;
    to.upstream = *chosen;
  }
  const auto& dispatcher = service().dispatchers[to.upstream];
  to.hop = service().service.dispatch == dispatch_mode::dispatcher && !dispatcher.empty();
  if (to.hop && caller_.internal()) return std::nullopt;  // never a second hop
  to.address = to.hop ? dispatcher : service().upstreams[to.upstream].address;
  return to;
}

// Waits for a new view or a short while, at most until the deadline; then the view is read anew.
task<std::optional<own_answer>> exchange::wait_for_owner(const error& why) {
  if (caller_.internal()) {
    own_answer misdirected{status_misdirected, why, run_outcome::not_run};
    co_return misdirected;
  }
  auto& waiting = home_.waiting_for_owner();
  const auto now = monotonic_now();
  if (now >= deadline_ || caller_.caller_gone()) {
    own_answer given_up{503, why, run_outcome::not_run};
    co_return given_up;
  }
  if (waiting.size() >= home_.settings().limits.waiting_for_owner) {
    co_return not_run(503, errc::limit_exceeded, step::ownership,
                      "too many requests wait for an owner");
  }
  if (home_.view() == view_) {
    pause_ = std::clamp(pause_ * 2, first_owner_pause, longest_owner_pause);
    waiting.insert(caller_.id());
    if (messages_.request->is_done()) {
      caller_.watch_until(deadline_);
    } else {
      caller_.set_deadline(deadline_);
    }
    co_await caller_.pause_until(std::min(deadline_, now + pause_));
    waiting.erase(caller_.id());
  }
  co_return match_view();
}

// Nothing: the request is to be sent again, its pause is over.
task<std::optional<own_answer>> exchange::plan_retry(const attempt_end& end) {
  own_answer give_up{end.status, end.why, outcome_of(end.known)};
  if (end.known == run_state::not_run) give_up.retry_after = milliseconds(1);
  if (streamed_) co_return give_up;
  const auto now = monotonic_now();
  const auto decision = traffic().retries->decide(
      {.attempts = attempts_,
       .known = end.known,
       .idempotent = repeatable(),
       .outer_retries = caller_.internal() || !messages_.request->find(retry_owner_header).empty(),
       .deadline = deadline_,
       .now = now},
      home_.random());
  if (!decision.retry) co_return give_up;
  home_.counters().add("retries_total", {{"class", std::string(class_name(match_.route->klass))}});
  if (messages_.request->is_done()) caller_.watch_until(deadline_);
  co_await caller_.pause_until(now + decision.delay);
  if (caller_.caller_gone()) co_return give_up;
  co_return match_view();
}

bool exchange::repeatable() const {
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

bool exchange::may_keep() const {
  const auto& request = *messages_.request;
  return request.is_header_done() && request.is_done() && request.keep_alive() &&
         !home_.draining() && !caller_.caller_gone();
}

void exchange::record(unsigned status, std::string_view outcome, std::uint64_t answer_bytes) {
  const auto now = monotonic_now();
  home_.record(
      {.klass = match_.route == nullptr ? no_class : static_cast<std::size_t>(match_.route->klass),
       .tenant = tenant_,
       .status = status,
       .outcome = outcome,
       .latency = now - started_,
       .queued = (sent_ == monotonic_time{} ? now : sent_) - started_,
       .request_bytes = messages_.request->body_bytes(),
       .answer_bytes = answer_bytes});
  if (!log_enabled(log_level::debug)) return;
  const std::string message = std::string(messages_.request->method_text()) + " " +
                              std::string(messages_.request->target()) + " " +
                              std::to_string(status) + " " + std::string(outcome);
  log_line(log_level::debug, {.message = message, .request = messages_.request_id});
}

// A server's failure is worth a line; what a caller did wrong shows in the counters.
void exchange::log_answer(const own_answer& own) const {
  constexpr unsigned first_server_error = 500;
  if (own.status < first_server_error || !log_enabled(log_level::info)) return;
  const bool routed = match_.service != nullptr;
  log_line(log_level::info,
           {.message = own.why.detail,
            .at = own.why.at,
            .peer = own.why.peer,
            .service = routed ? std::string_view(service().service.name.value) : "",
            .revision = routed ? std::optional(service().table_revision.value) : std::nullopt,
            .request = messages_.request_id});
}

task<bool> exchange::answer(own_answer own) {
  // The last attempt was refused, but an earlier one may have run.
  if (own.outcome == run_outcome::not_run && may_have_run_) own.outcome = run_outcome::unknown;
  if (connection_) release_connection(false);
  leave_gate(false);
  const bool keep = may_keep();
  const auto& request = *messages_.request;
  record(own.status, outcome_name(own.outcome), 0);
  log_answer(own);
  const bool sent = co_await caller_.send(own, {.request_id = messages_.request_id,
                                                .head_only = request.method() == http::verb::head,
                                                .close = !keep});
  co_return sent&& keep;
}

}  // namespace plantainpaddle
