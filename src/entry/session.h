// One caller's connection: reads request heads, starts an exchange for each request, and closes the
// connection in the end.
//
//   session caller(worker, id, std::move(socket), false);
//   co_await caller.run();
//
// Up to proxy_limits::pipelined requests of a connection are processed concurrently, fewer while
// memory is short; their answers go out in the order of the requests. An idle session holds no
// buffer and no parser. Each request in progress holds one wire_buffer for the caller's bytes, one
// for the upstream's, and the state of the parsers. The worker's memory_budget counts them under
// the session's id. Not thread-safe: all members are called on the worker's thread.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "entry/deadlines.h"
#include "entry/http_guard.h"
#include "entry/local_response.h"
#include "routing/memory_budget.h"
#include "upstream/stream.h"
#include "upstream/wire_buffer.h"

namespace plantainpaddle {

class exchange;
class request_scope;
class worker;

class session {
 public:
  session(worker& home, std::uint64_t id, tcp_socket socket, bool internal);
  ~session();
  session(const session&) = delete;
  session& operator=(const session&) = delete;

  // Serves requests until the connection ends.
  task<void> run();
  // If no request is in progress, closes the connection once requests are no longer taken.
  // Otherwise the requests in progress are its last ones.
  void begin_drain();
  // Gives up the requests whose responses keep back others that are ready.
  void release_ready_responses();
  // Ends all requests that have no response yet, with one of the router's own.
  void end_waits();
  // Ends the connection to make room for others: refuses its only request if nothing of it has
  // been sent, else aborts.
  void shed();
  // Cancels all requests and closes, as if the caller had closed the connection.
  void abort();
  // Applies the worker's current idle time to an idle connection.
  void refresh_idle_time();

  worker& home() { return home_; }
  std::uint64_t id() const { return id_; }
  // Whether another instance of this system opened the connection.
  bool internal() const { return internal_; }
  tcp_socket& socket() { return socket_; }
  // The caller's element of the Forwarded field; empty for an internal connection.
  const std::string& forwarded() const { return forwarded_; }

  // For exchanges:

  // Whether the answers to all earlier requests have been sent.
  bool has_turn(std::uint64_t number) const;
  // Whether no later request has been read. A later one needs the connection for its answer.
  bool is_last(std::uint64_t number) const { return number + 1 == next_number_; }
  // Resumes reading after an exchange has read its whole request; `rest` is what followed it.
  void on_request_read(std::string_view rest);
  // To be called when a request begins or ceases to wait for the caller.
  void update_waits();

 private:
  enum class head_status { complete, closed, invalid, timed_out, no_memory };
  struct head_result {
    head_status status = head_status::closed;
    std::size_t size = 0;
    head_fault fault = head_fault::none;
  };

  bool must_pause_reading() const;
  bool take_buffer();
  void give_buffer();
  task<std::optional<held_kind>> claim_request();
  task<head_result> read_head();
  task<bool> wait_readable();
  head_result check_buffered_head(std::size_t& searched);
  task<void> reject_head(const head_result& read);
  task<void> start_exchange(std::size_t head_size, held_kind kind);
  task<void> run_exchange(exchange& work);
  void on_exchange_done(bool keep);
  task<void> close_lingering();
  task<void> wait_for_change();
  void notify_change();
  void become_idle();

  worker& home_;
  std::uint64_t id_;
  tcp_socket socket_;
  bool internal_;
  std::unique_ptr<wire_buffer> buffer_;
  deadline_entry deadline_;
  std::string forwarded_;
  task_timer change_signal_;
  std::deque<std::unique_ptr<exchange>> exchanges_;  // in progress, in the order of requests
  std::uint64_t next_number_ = 0;
  bool reading_request_ = false;  // an exchange reads its request from the socket
  bool awaits_head_ = false;
  bool idle_ = false;
  monotonic_time idle_since_{};
  bool closing_ = false;  // no further request is read
  bool caller_gone_ = false;
  bool linger_ = false;  // discard unread bytes before closing
};

}  // namespace plantainpaddle
