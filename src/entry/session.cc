// The session keeps reading while requests are in progress: it notices at once that the caller has
// closed the connection, and it takes the next request. It pauses only while an exchange reads the
// body of its request.
#include "entry/session.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "base/log.h"
#include "entry/exchange.h"
#include "entry/heads.h"
#include "entry/worker.h"

namespace plantainpaddle {

namespace asio = boost::asio;

namespace {

constexpr duration max_linger_time = seconds(1);
constexpr std::size_t max_linger_bytes = 1 << 20;
// What an idle connection takes, roughly: the session, its coroutine's frames, its socket's state.
constexpr std::size_t connection_bytes = 4 << 10;

error head_error(std::string detail) {
  return {errc::bad_input, step::parse_request, "", std::move(detail)};
}

}  // namespace

session::session(worker& home, std::uint64_t id, tcp_socket socket, bool internal)
    : home_(home),
      id_(id),
      socket_(std::move(socket)),
      internal_(internal),
      deadline_(home.sweeper(),
                [this] {
                  boost::system::error_code ignored;
                  socket_.cancel(ignored);
                }),
      change_signal_(home.io()) {
  home_.memory().open(id_, monotonic_now());
  home_.memory().add(id_, held_kind::heads, connection_bytes);
  prepare_socket(socket_);
  boost::system::error_code code;
  const auto peer = socket_.remote_endpoint(code);
  if (!code && !internal_) forwarded_ = forwarded_element(peer.address());
}

session::~session() {
  home_.buffers().give(std::move(buffer_));
  home_.memory().close(id_);
}

bool session::take_buffer() {
  if (buffer_) return true;
  if (!home_.hold(id_, held_kind::heads, sizeof(wire_buffer))) return false;
  buffer_ = home_.buffers().take();
  return true;
}

void session::give_buffer() {
  if (!buffer_) return;
  home_.memory().remove(id_, held_kind::heads, sizeof(wire_buffer));
  home_.buffers().give(std::move(buffer_));
}

void session::shed() {
  if (exchanges_.size() == 1 && exchanges_.front()->refuse_body()) return;
  abort();
}

// A connection waits for its caller if it has no request, or if its first request does.
void session::update_waits() {
  const bool waits = exchanges_.empty() || exchanges_.front()->scope().waits_for_caller();
  home_.memory().set_waits_for_caller(id_, waits, monotonic_now());
}

void session::abort() {
  caller_gone_ = true;
  closing_ = true;
  boost::system::error_code ignored;
  socket_.cancel(ignored);
  for (const auto& work : exchanges_) {
    if (home_.phase() == drain_phase::closing) work->note_drain_end();
    work->scope().abort();
  }
  notify_change();
}

void session::begin_drain() {
  // A head that is awaited behind other requests has no deadline and is never taken.
  const bool has_deadline = deadline_.due() != monotonic_time::max();
  if (awaits_head_ && has_deadline) {
    const auto latest = idle_ ? home_.close_idle_at() : home_.last_request();
    deadline_.set(std::min(deadline_.due(), latest));
  }
  deadline_.set_idle(false);
  for (const auto& work : exchanges_) work->begin_drain();
}

void session::release_ready_responses() {
  const auto last_ready = std::find_if(exchanges_.rbegin(), exchanges_.rend(),
                                       [](const auto& one) { return one->is_ready(); });
  for (auto it = exchanges_.begin(); it != last_ready.base(); ++it) (*it)->give_up();
}

void session::end_waits() {
  for (const auto& waiting : exchanges_) waiting->end_waits();
}

bool session::has_turn(std::uint64_t number) const {
  return !exchanges_.empty() && exchanges_.front()->scope().number() == number;
}

void session::on_request_read(std::string_view rest) {
  reading_request_ = false;
  if (!rest.empty()) {
    // These bytes have been taken from the socket, so that they can't be refused.
    if (!buffer_) {
      home_.memory().add(id_, held_kind::heads, sizeof(wire_buffer));
      buffer_ = home_.buffers().take();
    }
    std::copy(rest.begin(), rest.end(), buffer_->bytes.begin());
    buffer_->end = rest.size();
  }
  notify_change();
}

task<void> session::wait_for_change() {
  change_signal_.expires_at(std::chrono::steady_clock::time_point::max());
  co_await change_signal_.async_wait(as_task);
}

void session::notify_change() { change_signal_.cancel(); }

// While the instance drains, the requests in progress are the connection's last ones.
bool session::must_pause_reading() const {
  return reading_request_ || exchanges_.size() >= home_.settings().limits.pipelined ||
         (home_.draining() && !exchanges_.empty());
}

task<void> session::run() {
  while (!closing_) {
    while (!closing_ && must_pause_reading()) co_await wait_for_change();
    if (closing_) break;
    awaits_head_ = true;
    const head_result read = co_await read_head();
    awaits_head_ = false;
    if (read.status == head_status::closed) break;
    if (read.status != head_status::complete) {
      co_await reject_head(read);
      break;
    }
    // The drain may have begun while the head was awaited. The connection ends with the responses
    // to earlier requests, and this one counts as not received.
    while (!closing_ && must_pause_reading()) co_await wait_for_change();
    if (closing_) break;
    const auto kind = co_await claim_request();
    if (closing_) break;
    if (!kind) {
      co_await reject_head({head_status::no_memory});
      break;
    }
    co_await start_exchange(read.size, *kind);
  }
  const bool closed_by_caller = !closing_;
  closing_ = true;
  if (closed_by_caller && !linger_) abort();
  while (!exchanges_.empty()) co_await wait_for_change();
  if (linger_ && !caller_gone_) co_await close_lingering();
}

void session::become_idle() {
  idle_ = true;
  idle_since_ = monotonic_now();
  deadline_.set(std::min(idle_since_ + home_.limits().idle_time, home_.close_idle_at()));
  deadline_.set_idle(!home_.draining());
}

void session::refresh_idle_time() {
  if (idle_ && !home_.draining()) deadline_.set(idle_since_ + home_.limits().idle_time);
}

// Waits without a buffer, so that idle connections cost little memory. An exchange on this
// connection may cancel operations on the socket that they share: the wait then starts again. True
// also when the deadline is over: what has arrived by then is read first.
task<bool> session::wait_readable() {
  while (true) {
    auto [code] = co_await socket_.async_wait(tcp_socket::wait_read, as_task);
    if (closing_) co_return false;
    if (!code || deadline_.expired()) co_return true;
    if (code != asio::error::operation_aborted) co_return false;
  }
}

task<session::head_result> session::read_head() {
  std::size_t searched = 0;
  if (!buffer_ || buffer_->unread().empty()) {
    if (exchanges_.empty()) {
      become_idle();
    } else {
      deadline_.set(monotonic_time::max());
    }
    give_buffer();
    const bool readable = co_await wait_readable();
    idle_ = false;
    deadline_.set_idle(false);
    const bool idle_too_long = deadline_.expired() && peek_peer(socket_) != peer_state::has_data;
    if (!readable || idle_too_long) co_return head_result{};
    if (!take_buffer()) co_return head_result{head_status::no_memory};
  }
  deadline_.set(std::min(monotonic_now() + home_.limits().head_time, home_.last_request()));
  while (true) {
    const head_result seen = check_buffered_head(searched);
    if (seen.status != head_status::closed) {
      deadline_.set(monotonic_time::max());
      co_return seen;
    }
    boost::system::error_code code;
    buffer_->end += socket_.read_some(buffer_->space(), code);
    if (code == asio::error::would_block) {
      if (deadline_.expired()) co_return head_result{head_status::timed_out};
      if (co_await wait_readable()) continue;
      co_return head_result{};
    }
    if (code) co_return head_result{};
  }
}

// Checks the bytes read so far. `closed` means here that the head isn't complete yet. `searched` is
// the number of bytes that need not be searched again for the end of the head.
session::head_result session::check_buffered_head(std::size_t& searched) {
  const auto bytes = buffer_->unread();
  if (bytes.empty()) return {};
  const std::size_t max_size = std::min(max_head_bytes, home_.limits().head_bytes);
  const auto size = find_head_end(bytes, searched);
  searched = bytes.size();
  const auto max_fields = home_.settings().limits.head_fields;
  const auto fault = size != 0 ? check_head(bytes.substr(0, size), max_fields)
                               : check_partial_head(bytes, max_fields);
  if (fault != head_fault::none) return {head_status::invalid, 0, fault};
  if (size > max_size || (size == 0 && bytes.size() >= max_size)) {
    return {head_status::invalid, 0, head_fault::too_long};
  }
  if (size != 0) return {head_status::complete, size};
  return {};
}

// Claims the memory of one more request. While memory is short, the requests of a connection are
// read one after the other. Returns nothing if there is no room, or the connection is closing.
task<std::optional<held_kind>> session::claim_request() {
  if (!exchanges_.empty()) {
    if (home_.memory().may_read_ahead() &&
        home_.hold(id_, held_kind::pipelined, exchange::memory_bytes)) {
      co_return held_kind::pipelined;
    }
    while (!exchanges_.empty() && !closing_) co_await wait_for_change();
    if (closing_) co_return std::nullopt;
  }
  if (!home_.hold(id_, held_kind::heads, exchange::memory_bytes)) co_return std::nullopt;
  co_return held_kind::heads;
}

// Answers a head that is invalid, late, or has no room, with an error, after the answers to all
// earlier requests.
task<void> session::reject_head(const head_result& read) {
  give_buffer();
  while (!exchanges_.empty() && !closing_) co_await wait_for_change();
  if (closing_) co_return;
  const bool slow = read.status == head_status::timed_out;
  const bool no_memory = read.status == head_status::no_memory;
  const auto name = slow        ? std::string_view("head-timeout")
                    : no_memory ? std::string_view("memory")
                                : fault_name(read.fault);
  if (no_memory) home_.note_limited("memory");
  home_.counters().add("refused_heads_total", {{"fault", std::string(name)}});
  linger_ = true;
  local_response wanted{slow ? 408U : fault_status(read.fault),
                        head_error("head: " + std::string(name))};
  if (no_memory) {
    wanted = no_room_response("", "no memory is left for the request",
                              home_.settings().limits.retry_after);
  }
  const auto answer = settle(std::move(wanted), false);
  const std::string text = format_local_response(answer, {.close = true}, home_.settings().names);
  outgoing pieces;
  pieces.add(text);
  deadline_.set(monotonic_now() + home_.settings().limits.body_time);
  while (pieces.write_some(socket_) == asio::error::would_block && !deadline_.expired()) {
    auto [code] = co_await socket_.async_wait(tcp_socket::wait_write, as_task);
    if (code && !deadline_.expired()) break;
  }
}

task<void> session::start_exchange(std::size_t head_size, held_kind kind) {
  reading_request_ = true;
  // From here on the buffer counts as the exchange's.
  home_.memory().remove(id_, held_kind::heads, sizeof(wire_buffer));
  home_.memory().on_bytes(id_, memory_budget::progress_bytes, monotonic_now());
  auto work =
      std::make_unique<exchange>(*this, next_number_++, std::move(buffer_), head_size, kind);
  auto& started = *work;
  exchanges_.push_back(std::move(work));
  update_waits();
  asio::co_spawn(home_.io(), run_exchange(started), [](const std::exception_ptr& thrown) {
    if (thrown) log_line(log_level::error, {.message = "unhandled exception in a request"});
  });
  while (reading_request_ && !closing_) co_await wait_for_change();
}

// Exchanges end in the order of their requests, unless the caller has closed the connection.
task<void> session::run_exchange(exchange& work) {
  const bool keep = co_await work.run();
  std::erase_if(exchanges_, [&](const auto& one) { return one.get() == &work; });
  update_waits();
  on_exchange_done(keep);
}

void session::on_exchange_done(bool keep) {
  if (!keep && !closing_) {
    // Requests behind an answer that closes the connection count as not received.
    closing_ = true;
    linger_ = !caller_gone_;
    boost::system::error_code ignored;
    socket_.cancel(ignored);
    for (const auto& later : exchanges_) later->scope().abort();
  }
  if (!exchanges_.empty()) {
    exchanges_.front()->scope().wake();
  } else if (!closing_ && !idle_ && !buffer_ && !reading_request_) {
    become_idle();  // run() is waiting for the next head already
  }
  notify_change();
}

// Closing a socket with unread bytes resets the connection, and the caller might lose the answer.
// So what still comes is read and discarded, up to max_linger_bytes and for max_linger_time.
task<void> session::close_lingering() {
  boost::system::error_code code;
  socket_.shutdown(tcp_socket::shutdown_send, code);
  if (code) co_return;
  give_buffer();
  // What is read is discarded at once, so that all connections of a thread can share it.
  thread_local std::array<char, wire_buffer::capacity> discarded;
  deadline_.set(monotonic_now() + max_linger_time);
  std::size_t taken = 0;
  while (taken < max_linger_bytes) {
    const auto size = socket_.read_some(asio::buffer(discarded), code);
    taken += size;
    if (code == asio::error::would_block) {
      auto [wait_code] = co_await socket_.async_wait(tcp_socket::wait_read, as_task);
      if (wait_code || deadline_.expired()) co_return;
      code.clear();
    }
    if (code) co_return;
  }
}

}  // namespace plantainpaddle
