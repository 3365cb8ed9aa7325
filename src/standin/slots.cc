#include "standin/slots.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace plantainpaddle {

slot_queue::ticket::~ticket() {
  std::erase(owner_->waiting_, this);
  if (!has_slot_) return;
  --owner_->busy_;
  owner_->hand_out();
}

void slot_queue::ticket::cancel() {
  cancelled_ = true;
  wake_.cancel();
}

boost::asio::awaitable<slot_answer> slot_queue::ticket::take(monotonic_time deadline) {
  if (owner_->waiting_.empty() && owner_->busy_ < owner_->slots_) {
    ++owner_->busy_;
    has_slot_ = true;
    co_return slot_answer::taken;
  }
  if (owner_->waiting_.size() >= owner_->queue_) co_return slot_answer::full;
  owner_->waiting_.push_back(this);
  while (!has_slot_ && !cancelled_) {
    const monotonic_time now = monotonic_now();
    if (now >= deadline) break;
    wake_.expires_after(deadline - now);
    co_await wake_.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  }
  std::erase(owner_->waiting_, this);
  if (cancelled_) co_return slot_answer::cancelled;
  co_return has_slot_ ? slot_answer::taken : slot_answer::timed_out;
}

void slot_queue::resize(std::size_t slots, std::size_t queue) {
  slots_ = slots;
  queue_ = queue;
  hand_out();
}

void slot_queue::hand_out() {
  while (busy_ < slots_ && !waiting_.empty()) {
    ticket* next = waiting_.front();
    waiting_.pop_front();
    ++busy_;
    next->has_slot_ = true;
    next->wake_.cancel();
  }
}

}  // namespace plantainpaddle
