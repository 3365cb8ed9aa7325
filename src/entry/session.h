// One caller's connection: reads heads, has each request carried out by an exchange, and closes the
// connection in the end. Requests that come before earlier ones are answered are carried out beside
// them, up to max_pipelined; answers go out in the order of the requests.
//
// An idle session holds no buffer and no parser. Each request under way holds one wire_buffer for
// the caller's bytes, one for the upstream's, and the parsers' state.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "entry/deadlines.h"
#include "entry/http_guard.h"
#include "entry/local_response.h"
#include "upstream/stream.h"
#include "upstream/wire_buffer.h"

namespace plantainpaddle {

class exchange;
class request_scope;
class worker;

class session {
 public:
  static constexpr std::size_t max_pipelined = 8;  // requests under way on one connection

  session(worker& home, tcp_socket socket, bool internal);
  ~session();
  session(const session&) = delete;
  session& operator=(const session&) = delete;

  // Until the connection ends.
  task<void> run();
  void begin_drain(monotonic_time close_idle_at);
  // As if the caller had gone away.
  void abort();
  // The time that idle connections may last has changed.
  void refresh_idle_time();

  worker& home() { return home_; }
  // A connection from another instance of this system.
  bool internal() const { return internal_; }
  tcp_socket& socket() { return socket_; }
  const std::string& forwarded() const { return forwarded_; }

  // For exchanges. Whether the answers to all earlier requests are out.
  bool has_turn(std::uint64_t number) const;
  // Whether a later request has been read already: it counts on its answer.
  bool is_last(std::uint64_t number) const { return number + 1 == next_number_; }
  // The request was read whole; `rest` came behind it.
  void on_request_read(std::string_view rest);

 private:
  enum class head_end { whole, closed, faulty, too_slow };
  struct head_read {
    head_end end = head_end::closed;
    std::size_t size = 0;
    head_fault fault = head_fault::none;
  };

  bool must_not_read() const;
  task<head_read> read_head();
  task<bool> wait_readable();
  head_read examine(std::size_t& searched);
  task<void> refuse(const head_read& read);
  task<void> serve(std::size_t head_size);
  task<void> carry_out(exchange& work);
  void finish(bool keep);
  task<void> close_lingering();
  task<void> wait_change();
  void notify();
  void become_idle();

  worker& home_;
  tcp_socket socket_;
  bool internal_;
  std::unique_ptr<wire_buffer> buffer_;
  deadline_entry deadline_;
  std::string forwarded_;
  task_timer change_;
  std::deque<std::unique_ptr<exchange>> under_way_;  // in the order of their requests
  std::uint64_t next_number_ = 0;
  bool reading_request_ = false;  // an exchange reads the socket
  bool idle_ = false;
  monotonic_time idle_since_{};
  bool closing_ = false;  // no further request is served
  bool caller_gone_ = false;
  bool linger_ = false;
};

}  // namespace plantainpaddle
