// The slots of an upstream: so many requests run at once, others wait in a bounded queue, first
// come first served.
//
//   slot_queue slots(executor, 6, 64);
//   slot_queue::ticket ticket(slots);
//   switch (co_await ticket.take(deadline)) { case slot_answer::taken: ... }
//
// One thread. A ticket gives its slot back when it is destroyed.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>

#include "base/time.h"

namespace plantainpaddle {

enum class slot_answer { taken, full, timed_out, cancelled };

class slot_queue {
 public:
  slot_queue(boost::asio::any_io_executor executor, std::size_t slots, std::size_t queue)
      : executor_(std::move(executor)), slots_(slots), queue_(queue) {}

  class ticket {
   public:
    explicit ticket(slot_queue& owner) : owner_(&owner), wake_(owner.executor_) {}
    ~ticket();
    ticket(const ticket&) = delete;
    ticket& operator=(const ticket&) = delete;

    boost::asio::awaitable<slot_answer> take(monotonic_time deadline);
    // Wakes a waiting take() with slot_answer::cancelled.
    void cancel();

   private:
    friend class slot_queue;
    slot_queue* owner_;
    boost::asio::steady_timer wake_;
    bool has_slot_ = false;
    bool cancelled_ = false;
  };

  // A lower number of slots takes effect as running requests end.
  void resize(std::size_t slots, std::size_t queue);
  std::size_t busy() const { return busy_; }
  std::size_t waiting() const { return waiting_.size(); }

 private:
  void hand_out();

  boost::asio::any_io_executor executor_;
  std::size_t slots_;
  std::size_t queue_;
  std::size_t busy_ = 0;
  std::deque<ticket*> waiting_;
};

}  // namespace plantainpaddle
