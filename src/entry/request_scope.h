// A request_scope holds what one request needs for waiting: its deadline, its timer, the buffer
// with its bytes, and the sockets on which cancel() ends operations. Pipelined requests of a
// connection run at the same time, each with its own scope.
#pragma once

#include <algorithm>
#include <memory>
#include <optional>

#include "entry/deadlines.h"
#include "routing/admission.h"
#include "upstream/stream.h"
#include "upstream/wire_buffer.h"

namespace plantainpaddle {

class session;
class worker;

class request_scope {
 public:
  // `number` counts the requests of the connection from 0. `buffer` begins with the request's head.
  request_scope(session& caller, std::uint64_t number, std::unique_ptr<wire_buffer> buffer);
  ~request_scope();
  request_scope(const request_scope&) = delete;
  request_scope& operator=(const request_scope&) = delete;

  session& caller() { return caller_; }
  worker& owning_worker() { return worker_; }
  std::uint64_t id() const { return id_; }
  std::uint64_t number() const { return number_; }
  tcp_socket& socket();  // the caller's
  wire_buffer& buffer() { return *buffer_; }

  // Calls cancel() at `due`, and again at each sweep until the deadline is set anew; expired() is
  // true from then on.
  void set_deadline(monotonic_time due) { deadline_.set(std::min(due, latest_)); }
  // Cuts the present deadline and later ones to that time.
  void limit_deadline(monotonic_time latest) {
    latest_ = latest;
    if (deadline_.due() > latest) deadline_.set(latest);
  }
  bool expired() const { return deadline_.expired(); }
  // Sets the socket, besides the caller's, whose operations cancel() ends; nullptr: none.
  void set_active_socket(tcp_socket* active) { active_socket_ = active; }
  // Sets whether cancel() also ends operations on the caller's socket, which requests share.
  void use_caller_socket(bool used) { uses_caller_socket_ = used; }
  // Ends the request's waits on the timer and on these sockets.
  void cancel();
  // Ends the request as if the caller had disconnected.
  void abort() {
    caller_gone_ = true;
    cancel();
  }
  bool caller_gone() const { return caller_gone_; }
  // Whether the request waits for the caller to send or to read; it does from the begin.
  void set_waits_for_caller(bool waits);
  bool waits_for_caller() const { return waits_for_caller_; }

  // Waits until `due`, wake() or cancel().
  task<void> pause_until(monotonic_time due);
  void wake();
  // Waits until the responses to all earlier requests of the connection are out. False means that
  // the caller has disconnected.
  task<bool> wait_turn();

  // Expects the decision on the admission `id`; decision() is empty until decide() is called for
  // it.
  void await_decision(admission_id id) {
    awaited_ = id;
    decision_.reset();
  }
  void decide(admission_id id, bool admitted);
  std::optional<bool> decision() const { return decision_; }

 private:
  session& caller_;
  worker& worker_;
  std::uint64_t id_;
  std::uint64_t number_;
  std::unique_ptr<wire_buffer> buffer_;
  deadline_entry deadline_;
  monotonic_time latest_ = monotonic_time::max();  // of all deadlines
  std::optional<task_timer> timer_;
  tcp_socket* active_socket_ = nullptr;
  bool uses_caller_socket_ = false;
  bool caller_gone_ = false;
  bool waits_for_caller_ = true;
  admission_id awaited_ = 0;
  std::optional<bool> decision_;
};

// Lets cancel() reach the caller's socket for the lifetime of this object.
class caller_socket_use {
 public:
  explicit caller_socket_use(request_scope& scope) : scope_(scope) {
    scope_.use_caller_socket(true);
  }
  ~caller_socket_use() { scope_.use_caller_socket(false); }
  caller_socket_use(const caller_socket_use&) = delete;
  caller_socket_use& operator=(const caller_socket_use&) = delete;

 private:
  request_scope& scope_;
};

}  // namespace plantainpaddle
