#include "entry/request_scope.h"

#include "entry/session.h"
#include "entry/worker.h"

namespace plantainpaddle {

request_scope::request_scope(session& caller, std::uint64_t number,
                             std::unique_ptr<wire_buffer> buffer)
    : caller_(caller),
      worker_(caller.home()),
      id_(worker_.next_id()),
      number_(number),
      buffer_(std::move(buffer)),
      deadline_(worker_.sweeper(), [this] { cancel(); }) {
  worker_.add_scope(*this);
}

request_scope::~request_scope() {
  worker_.remove_scope(id_);
  worker_.buffers().give(std::move(buffer_));
}

tcp_socket& request_scope::socket() { return caller_.socket(); }

void request_scope::cancel() {
  boost::system::error_code ignored;
  if (active_socket_ != nullptr) active_socket_->cancel(ignored);
  if (uses_caller_socket_) socket().cancel(ignored);
  wake();
}

task<void> request_scope::pause_until(monotonic_time due) {
  const auto now = monotonic_now();
  if (due <= now) co_return;
  if (!timer_) timer_.emplace(worker_.io());
  if (due == monotonic_time::max()) {
    timer_->expires_at(std::chrono::steady_clock::time_point::max());
  } else {
    timer_->expires_after(due - now);
  }
  co_await timer_->async_wait(as_task);
}

void request_scope::set_waits_for_caller(bool waits) {
  waits_for_caller_ = waits;
  caller_.update_waits();
}

void request_scope::wake() {
  if (timer_) timer_->cancel();
}

task<bool> request_scope::wait_turn() {
  while (!caller_gone_ && !caller_.has_turn(number_)) {
    set_deadline(monotonic_time::max());
    co_await pause_until(monotonic_time::max());
  }
  co_return !caller_gone_;
}

void request_scope::decide(admission_id id, bool admitted) {
  if (id != awaited_) return;
  decision_ = admitted;
  wake();
}

}  // namespace plantainpaddle
