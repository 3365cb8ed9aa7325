// Blocking sockets on loopback, a small HTTP/1.1 reader and writer, and the record of a run.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

// Milliseconds of the steady clock since the program started.
std::int64_t now_ms();
void sleep_ms(std::int64_t length);

// The lines of record.txt. Thread-safe.
class record {
 public:
  explicit record(const std::string& file);
  ~record();
  void line(const char* format, ...) __attribute__((format(printf, 2, 3)));

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

struct field {
  std::string name;  // lower case
  std::string value;
};

struct message {
  std::string first_line;
  std::vector<field> fields;
  std::string body;
  int status = 0;  // of a response
  std::string method;
  std::string target;
  std::int64_t length = 0;  // of the body; -1: chunked; -2: up to the end of the connection

  std::string find(std::string_view name) const;
};

// A connected socket with a read buffer. Not thread-safe, except for shut_down().
class connection {
 public:
  explicit connection(int fd) : fd_(fd) {}
  ~connection();
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  bool send(std::string_view bytes);
  // Reads a head; false on the end of the connection, an error or bytes that are no head.
  // `raw`, if there is one, takes the bytes of the head.
  bool read_head(message& out, bool is_response, std::int64_t timeout_ms,
                 std::string* raw = nullptr);
  // Reads the body that `out.length` announces.
  bool read_body(message& out, std::int64_t timeout_ms);
  // Whether more bytes, or the end, can be read within the time.
  bool wait_readable(std::int64_t timeout_ms) const;
  void shut_down() const;
  int fd() const { return fd_; }

 private:
  bool fill(std::int64_t until_ms);

  int fd_;
  std::string buffer_;
};

// Returns -1 on failure.
int connect_to(const std::string& address, std::int64_t timeout_ms);
// Listens at the address, "IP:port"; port 0 is replaced by a free one.
int listen_at(std::string& address);
// A port of the IP address that nothing listens at.
std::string free_address(const std::string& ip);

// Sends one request on a new connection. No value if no whole response came.
std::optional<message> call(const std::string& address, const std::string& method,
                            const std::string& target, const std::vector<field>& fields,
                            const std::string& body, std::int64_t timeout_ms);

std::string format_request(const std::string& method, const std::string& target,
                           const std::vector<field>& fields, const std::string& body);
std::string format_response(int status, const std::string& reason, const std::vector<field>& fields,
                            const std::string& body);

// Accepts connections on a thread of its own and serves each on another one, until stop().
class acceptor {
 public:
  using handler = std::function<void(connection&)>;
  acceptor(const std::string& ip, handler serve);
  ~acceptor();
  const std::string& address() const { return address_; }
  void stop();

 private:
  struct state;
  std::string address_;
  std::shared_ptr<state> state_;
};

}  // namespace review
