// One caller's connection: reads heads, has each request carried out by an exchange, keeps the
// connection for the next one or closes it.
//
// An idle session holds no buffer and no parser. With a request under way it holds one wire_buffer
// for the caller's bytes, one for the upstream's, and the parsers' state.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "entry/deadlines.h"
#include "entry/http_guard.h"
#include "entry/own_answer.h"
#include "routing/admission.h"
#include "upstream/stream.h"
#include "upstream/wire_buffer.h"

namespace plantainpaddle {

class worker;

class session {
 public:
  session(worker& home, std::uint64_t id, tcp_socket socket, bool internal);
  ~session();
  session(const session&) = delete;
  session& operator=(const session&) = delete;

  // Until the connection ends.
  task<void> run();
  void begin_drain(monotonic_time close_idle_at);
  // Ends whatever it waits for.
  void cancel();
  // As if the caller had gone away.
  void abort() {
    caller_gone_ = true;
    cancel();
  }

  worker& home() { return home_; }
  std::uint64_t id() const { return id_; }
  // A connection from another instance of this system.
  bool internal() const { return internal_; }
  tcp_socket& socket() { return socket_; }
  wire_buffer& buffer() { return *buffer_; }
  bool expired() const { return deadline_.expired(); }
  const std::string& forwarded() const { return forwarded_; }

  // The socket that cancel() reaches besides the caller's own; nullptr: none.
  void set_active(tcp_socket* active) { active_ = active; }

  // When cancel() is called next; expired() then.
  void set_deadline(monotonic_time due);
  // The same for a wait during which the caller sends nothing, and looks whether it goes away, if
  // the wait isn't short. To be called with the request read whole only.
  void watch_until(monotonic_time due);
  // Looks from now on whether the caller goes away.
  void watch();
  bool caller_gone() const { return caller_gone_; }

  // Waits until then, wake() or cancel().
  task<void> pause_until(monotonic_time due);
  void wake();

  // The admission whose decision is awaited; the decision once it is there.
  void await_decision(admission_id id) {
    awaited_ = id;
    decision_.reset();
  }
  void decide(admission_id id, bool admitted);
  std::optional<bool> decision() const { return decision_; }

  // Sends an answer of the router's own.
  task<bool> send(const own_answer& answer, const own_answer_frame& frame);

 private:
  enum class head_end { whole, closed, faulty, too_slow };
  struct head_read {
    head_end end = head_end::closed;
    std::size_t size = 0;
    head_fault fault = head_fault::none;
  };

  task<head_read> read_head();
  task<bool> wait_readable();
  head_read examine(std::size_t& searched);
  task<void> refuse(const head_read& read);
  task<bool> serve(std::size_t head_size);
  task<void> close_lingering();
  void on_deadline();

  worker& home_;
  std::uint64_t id_;
  tcp_socket socket_;
  bool internal_;
  std::unique_ptr<wire_buffer> buffer_;
  deadline_entry deadline_;
  std::string forwarded_;
  tcp_socket* active_ = nullptr;
  std::optional<task_timer> timer_;
  monotonic_time watch_due_{};
  bool watch_pending_ = false;
  bool watch_armed_ = false;
  bool in_exchange_ = false;
  bool idle_ = false;
  bool caller_gone_ = false;
  bool linger_ = false;
  admission_id awaited_ = 0;
  std::optional<bool> decision_;
};

}  // namespace plantainpaddle
