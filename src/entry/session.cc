// The reader goes on while requests are under way: it sees at once that the caller went away, and
// takes the next request. Only while an exchange reads its request's body does the reader pause.
#include "entry/session.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "base/log.h"
#include "entry/exchange.h"
#include "entry/heads.h"
#include "entry/worker.h"

namespace plantainpaddle {

namespace asio = boost::asio;

namespace {

constexpr duration linger_time = seconds(1);
constexpr std::size_t linger_bytes = 1 << 20;

error refused(std::string detail) {
  return {errc::bad_input, step::parse_request, "", std::move(detail)};
}

}  // namespace

session::session(worker& home, tcp_socket socket, bool internal)
    : home_(home),
      socket_(std::move(socket)),
      internal_(internal),
      deadline_(home.sweeper(),
                [this] {
                  boost::system::error_code ignored;
                  socket_.cancel(ignored);
                }),
      change_(home.io()) {
  prepare_socket(socket_);
  boost::system::error_code code;
  const auto peer = socket_.remote_endpoint(code);
  if (!code && !internal_) forwarded_ = forwarded_element(peer.address());
}

session::~session() { home_.buffers().give(std::move(buffer_)); }

void session::abort() {
  caller_gone_ = true;
  closing_ = true;
  boost::system::error_code ignored;
  socket_.cancel(ignored);
  for (const auto& work : under_way_) work->scope().abort();
  notify();
}

void session::begin_drain(monotonic_time close_idle_at) {
  if (idle_) deadline_.set(std::min(deadline_.due(), close_idle_at));
  deadline_.set_idle(false);
}

bool session::has_turn(std::uint64_t number) const {
  return !under_way_.empty() && under_way_.front()->scope().number() == number;
}

void session::on_request_read(std::string_view rest) {
  reading_request_ = false;
  if (!rest.empty()) {
    if (!buffer_) buffer_ = home_.buffers().take();
    std::copy(rest.begin(), rest.end(), buffer_->bytes.begin());
    buffer_->end = rest.size();
  }
  notify();
}

task<void> session::wait_change() {
  change_.expires_at(std::chrono::steady_clock::time_point::max());
  co_await change_.async_wait(as_task);
}

void session::notify() { change_.cancel(); }

// While the instance drains, the requests under way are the connection's last ones.
bool session::must_not_read() const {
  return reading_request_ || under_way_.size() >= max_pipelined ||
         (home_.draining() && !under_way_.empty());
}

task<void> session::run() {
  while (!closing_) {
    while (!closing_ && must_not_read()) co_await wait_change();
    if (closing_) break;
    const head_read read = co_await read_head();
    if (read.end == head_end::closed) break;
    if (read.end != head_end::whole) {
      co_await refuse(read);
      break;
    }
    co_await serve(read.size);
  }
  const bool by_caller = !closing_;
  closing_ = true;
  if (by_caller && !linger_) abort();
  while (!under_way_.empty()) co_await wait_change();
  if (linger_ && !caller_gone_) co_await close_lingering();
}

void session::become_idle() {
  idle_ = true;
  idle_since_ = monotonic_now();
  deadline_.set(idle_since_ + home_.limits().idle_time);
  if (home_.draining()) {
    deadline_.set(idle_since_ + home_.settings().limits.drain_idle_time);
  } else {
    deadline_.set_idle(true);
  }
}

void session::refresh_idle_time() {
  if (idle_ && !home_.draining()) deadline_.set(idle_since_ + home_.limits().idle_time);
}

// Waits without a buffer, so that idle connections cost little. An exchange of this connection may
// cancel the wait, which is then begun anew.
task<bool> session::wait_readable() {
  while (true) {
    auto [code] = co_await socket_.async_wait(tcp_socket::wait_read, as_task);
    if (closing_ || deadline_.expired()) co_return false;
    if (!code) co_return true;
    if (code != asio::error::operation_aborted) co_return false;
  }
}

task<session::head_read> session::read_head() {
  std::size_t searched = 0;
  if (!buffer_ || buffer_->unread().empty()) {
    if (under_way_.empty()) {
      become_idle();
    } else {
      deadline_.set(monotonic_time::max());
    }
    home_.buffers().give(std::move(buffer_));
    const bool readable = co_await wait_readable();
    idle_ = false;
    deadline_.set_idle(false);
    if (!readable) co_return head_read{};
    buffer_ = home_.buffers().take();
  }
  deadline_.set(monotonic_now() + home_.limits().head_time);
  while (true) {
    const head_read seen = examine(searched);
    if (seen.end != head_end::closed) {
      deadline_.set(monotonic_time::max());
      co_return seen;
    }
    boost::system::error_code code;
    buffer_->end += socket_.read_some(buffer_->space(), code);
    if (code == asio::error::would_block) {
      if (co_await wait_readable()) continue;
      if (deadline_.expired() && !closing_) co_return head_read{head_end::too_slow};
      co_return head_read{};
    }
    if (code) co_return head_read{};
  }
}

// What the bytes read so far amount to; `closed` stands for "more are wanted".
session::head_read session::examine(std::size_t& searched) {
  const auto bytes = buffer_->unread();
  if (bytes.empty()) return {};
  const std::size_t most = std::min(max_head_bytes, home_.limits().head_bytes);
  const auto size = find_head_end(bytes, searched);
  searched = bytes.size();
  const auto fault = size != 0 ? check_head(bytes.substr(0, size)) : check_partial_head(bytes);
  if (fault != head_fault::none) return {head_end::faulty, 0, fault};
  if (size > most || (size == 0 && bytes.size() >= most)) {
    return {head_end::faulty, 0, head_fault::too_long};
  }
  if (size != 0) return {head_end::whole, size};
  return {};
}

// Its turn comes when all requests before it are answered.
task<void> session::refuse(const head_read& read) {
  while (!under_way_.empty() && !closing_) co_await wait_change();
  if (closing_) co_return;
  const bool slow = read.end == head_end::too_slow;
  const auto name = slow ? std::string_view("head-timeout") : fault_name(read.fault);
  home_.counters().add("refused_heads_total", {{"fault", std::string(name)}});
  linger_ = true;
  const local_response answer{slow ? 408U : fault_status(read.fault),
                              refused("head: " + std::string(name))};
  const std::string text = format_local_response(answer, {.close = true}, home_.settings().names);
  outgoing pieces;
  pieces.add(text);
  deadline_.set(monotonic_now() + home_.settings().limits.body_time);
  while (pieces.write_some(socket_) == asio::error::would_block) {
    auto [code] = co_await socket_.async_wait(tcp_socket::wait_write, as_task);
    if (code || deadline_.expired()) break;
  }
}

task<void> session::serve(std::size_t head_size) {
  reading_request_ = true;
  auto work = std::make_unique<exchange>(*this, next_number_++, std::move(buffer_), head_size);
  auto& started = *work;
  under_way_.push_back(std::move(work));
  asio::co_spawn(home_.io(), carry_out(started), [](const std::exception_ptr& thrown) {
    if (thrown) log_line(log_level::error, {.message = "a request ended in an exception"});
  });
  while (reading_request_ && !closing_) co_await wait_change();
}

// Exchanges end in the order of their requests, unless the caller went away.
task<void> session::carry_out(exchange& work) {
  const bool keep = co_await work.run();
  std::erase_if(under_way_, [&](const auto& one) { return one.get() == &work; });
  finish(keep);
}

void session::finish(bool keep) {
  if (!keep && !closing_) {
    // What was read behind an answer that closes the connection counts as not read.
    closing_ = true;
    linger_ = !caller_gone_;
    boost::system::error_code ignored;
    socket_.cancel(ignored);
    for (const auto& later : under_way_) later->scope().abort();
  }
  if (!under_way_.empty()) {
    under_way_.front()->scope().wake();
  } else if (!closing_ && !idle_ && !buffer_ && !reading_request_) {
    become_idle();  // the reader waits already
  }
  notify();
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
      auto [wait_code] = co_await socket_.async_wait(tcp_socket::wait_read, as_task);
      if (wait_code || deadline_.expired()) co_return;
      code.clear();
    }
    if (code) co_return;
  }
}

}  // namespace plantainpaddle
