// What one request of a connection waits with: its deadline, its timer, the buffer with its bytes,
// and the sockets that a cancellation reaches. Several requests of a connection may be under way;
// each has a scope of its own.
#pragma once

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
  // number: the request's place on its connection. buffer begins with its head.
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

  // When cancel() is called next; expired() then.
  void set_deadline(monotonic_time due) { deadline_.set(due); }
  bool expired() const { return deadline_.expired(); }
  // The socket that cancel() reaches; nullptr: none.
  void set_active_socket(tcp_socket* active) { active_socket_ = active; }
  // Whether cancel() reaches the caller's socket too, which requests share.
  void use_caller_socket(bool used) { uses_caller_socket_ = used; }
  // Ends whatever it waits for.
  void cancel();
  // As if the caller had gone away.
  void abort() {
    caller_gone_ = true;
    cancel();
  }
  bool caller_gone() const { return caller_gone_; }

  // Waits until then, wake() or cancel().
  task<void> pause_until(monotonic_time due);
  void wake();
  // Waits until the answers to all earlier requests of the connection are out; false: the caller
  // won't get one any more.
  task<bool> wait_turn();

  // The admission whose decision is awaited; the decision once it is there.
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
  std::optional<task_timer> timer_;
  tcp_socket* active_socket_ = nullptr;
  bool uses_caller_socket_ = false;
  bool caller_gone_ = false;
  admission_id awaited_ = 0;
  std::optional<bool> decision_;
};

// Marks the caller's socket as used by a scope for as long as it lives.
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
