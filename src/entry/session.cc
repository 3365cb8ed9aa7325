// The watch on the caller: a request that is answered at once needs none, so it begins only after
// watch_delay. It waits for the caller's socket to become readable, then looks at what came: an end
// means that the caller went away and cancels the request.
#include "entry/session.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include "entry/exchange.h"
#include "entry/heads.h"
#include "entry/worker.h"

namespace plantainpaddle {

namespace asio = boost::asio;

namespace {

constexpr duration watch_delay = milliseconds(10);
constexpr duration linger_time = seconds(1);
constexpr std::size_t linger_bytes = 1 << 20;

error refused(std::string detail) {
  return {errc::bad_input, step::parse_request, "", std::move(detail)};
}

}  // namespace

session::session(worker& home, std::uint64_t id, tcp_socket socket, bool internal)
    : home_(home),
      id_(id),
      socket_(std::move(socket)),
      internal_(internal),
      deadline_(home.sweeper(), [this] { on_deadline(); }) {
  prepare_socket(socket_);
  boost::system::error_code code;
  const auto peer = socket_.remote_endpoint(code);
  if (!code && !internal_) forwarded_ = forwarded_element(peer.address());
}

session::~session() { home_.buffers().give(std::move(buffer_)); }

void session::cancel() {
  boost::system::error_code ignored;
  socket_.cancel(ignored);
  if (active_ != nullptr) active_->cancel(ignored);
  if (timer_) timer_->cancel();
}

void session::on_deadline() {
  if (!watch_pending_) return cancel();
  watch_pending_ = false;
  deadline_.set(watch_due_);
  watch();
}

void session::set_deadline(monotonic_time due) {
  watch_pending_ = false;
  deadline_.set(due);
}

void session::watch_until(monotonic_time due) {
  if (watch_armed_) return deadline_.set(due);
  watch_due_ = due;
  watch_pending_ = true;
  deadline_.set(std::min(due, monotonic_now() + watch_delay));
}

// The handler may come after the session is gone: it finds the session by its id.
void session::watch() {
  if (watch_armed_) return;
  watch_armed_ = true;
  socket_.async_wait(tcp_socket::wait_read,
                     [&home = home_, id = id_](const boost::system::error_code& code) {
                       auto* self = home.find(id);
                       if (self == nullptr) return;
                       self->watch_armed_ = false;
                       if (code || !self->in_exchange_) return;
                       if (peek_peer(self->socket_) != peer_state::gone) return;
                       self->caller_gone_ = true;
                       self->cancel();
                     });
}

task<void> session::pause_until(monotonic_time due) {
  const auto now = monotonic_now();
  if (due <= now) co_return;
  if (!timer_) timer_.emplace(home_.io());
  timer_->expires_after(due - now);
  co_await timer_->async_wait(as_task);
}

void session::wake() {
  if (timer_) timer_->cancel();
}

void session::decide(admission_id id, bool admitted) {
  if (id != awaited_) return;
  decision_ = admitted;
  wake();
}

void session::begin_drain(monotonic_time close_idle_at) {
  if (idle_) deadline_.set(std::min(deadline_.due(), close_idle_at));
  deadline_.park(false);
}

task<void> session::run() {
  while (true) {
    const head_read read = co_await read_head();
    if (read.end == head_end::closed) break;
    if (read.end != head_end::whole) {
      co_await refuse(read);
      break;
    }
    if (!co_await serve(read.size)) break;
  }
  if (linger_ && !caller_gone_) co_await close_lingering();
}

// Waits without a buffer, so that idle connections cost little.
task<bool> session::wait_readable() {
  auto [code] = co_await socket_.async_wait(tcp_socket::wait_read, as_task);
  co_return !code && !deadline_.expired();
}

task<session::head_read> session::read_head() {
  const auto& limits = home_.settings().limits;
  std::size_t searched = 0;
  if (!buffer_ || buffer_->unread().empty()) {
    home_.buffers().give(std::move(buffer_));
    idle_ = true;
    const auto now = monotonic_now();
    deadline_.set(now + (home_.draining() ? limits.drain_idle_time : limits.idle_time));
    deadline_.park(!home_.draining());
    const bool readable = co_await wait_readable();
    idle_ = false;
    deadline_.park(false);
    if (!readable) co_return head_read{};
    buffer_ = home_.buffers().take();
  }
  deadline_.set(monotonic_now() + limits.head_time);
  while (true) {
    const head_read seen = examine(searched);
    if (seen.end != head_end::closed) co_return seen;
    boost::system::error_code code;
    buffer_->end += socket_.read_some(buffer_->space(), code);
    if (code == asio::error::would_block) {
      if (co_await wait_readable()) continue;
      if (deadline_.expired()) co_return head_read{head_end::too_slow};
      co_return head_read{};
    }
    if (code) co_return head_read{};
  }
}

// What the bytes read so far amount to; `closed` stands for "more are wanted".
session::head_read session::examine(std::size_t& searched) {
  const auto bytes = buffer_->unread();
  if (bytes.empty()) return {};
  const auto size = find_head_end(bytes, searched);
  searched = bytes.size();
  const auto fault = size != 0 ? check_head(bytes.substr(0, size)) : check_start(bytes);
  if (fault != head_fault::none) return {head_end::faulty, 0, fault};
  if (size > max_head_bytes || (size == 0 && bytes.size() >= max_head_bytes)) {
    return {head_end::faulty, 0, head_fault::too_long};
  }
  if (size != 0) return {head_end::whole, size};
  return {};
}

task<void> session::refuse(const head_read& read) {
  const bool slow = read.end == head_end::too_slow;
  const auto name = slow ? std::string_view("head-timeout") : fault_name(read.fault);
  home_.counters().add("refused_heads_total", {{"fault", std::string(name)}});
  linger_ = true;
  own_answer answer{slow ? 408U : fault_status(read.fault), refused("head: " + std::string(name))};
  co_await send(answer, {.close = true});
}

task<bool> session::send(const own_answer& answer, const own_answer_frame& frame) {
  const std::string text = format_own_answer(answer, frame);
  outgoing pieces;
  pieces.add(text);
  set_deadline(monotonic_now() + home_.settings().limits.body_time);
  while (true) {
    const auto code = pieces.write_some(socket_);
    if (!code) co_return true;
    if (code != asio::error::would_block) co_return false;
    auto [wait_code] = co_await socket_.async_wait(tcp_socket::wait_write, as_task);
    if (wait_code || deadline_.expired()) co_return false;
  }
}

task<bool> session::serve(std::size_t head_size) {
  auto messages = home_.messages().take();
  in_exchange_ = true;
  bool keep = false;
  bool pipelined = false;
  {
    exchange work(*this, *messages, head_size);
    keep = co_await work.run();
    pipelined = work.pipelined();
    linger_ = !keep;
  }
  in_exchange_ = false;
  watch_pending_ = false;
  active_ = nullptr;
  home_.messages().give(std::move(messages));
  if (keep && pipelined) {
    co_await refuse({head_end::faulty, 0, head_fault::pipelining});
    co_return false;
  }
  if (keep) buffer_->move_unread(0);
  co_return keep;
}

// Closing with unread bytes would reset the connection, and the caller might lose the answer.
task<void> session::close_lingering() {
  boost::system::error_code code;
  socket_.shutdown(tcp_socket::shutdown_send, code);
  if (code) co_return;
  if (!buffer_) buffer_ = home_.buffers().take();
  deadline_.set(monotonic_now() + linger_time);
  std::size_t taken = 0;
  while (taken < linger_bytes) {
    const auto size = socket_.read_some(asio::buffer(buffer_->bytes), code);
    taken += size;
    if (code == asio::error::would_block) {
      if (!co_await wait_readable()) co_return;
      code.clear();
    }
    if (code) co_return;
  }
}

}  // namespace plantainpaddle
