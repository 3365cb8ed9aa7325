// Blocking sockets and HTTP/1.1 messages for the stand-ins of this review. Loopback only.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace lab {

using clock = std::chrono::steady_clock;

inline clock::time_point start_time() {
  static const clock::time_point start = clock::now();
  return start;
}
inline long now_ms() {
  return static_cast<long>(
      std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - start_time()).count());
}
inline void sleep_ms(long ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}
inline void sleep_until_ms(long at) { sleep_ms(at - now_ms()); }

using header_list = std::vector<std::pair<std::string, std::string>>;

struct message {
  std::string first;  // the start line's words
  std::string second;
  std::string third;
  header_list headers;
  std::string body;
  bool whole = false;   // the message came to its proper end
  bool began = false;   // at least one byte came
  bool reset = false;   // the connection was reset
  int status() const { return std::atoi(second.c_str()); }
  std::string header(std::string_view name) const {
    for (const auto& [key, value] : headers) {
      if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0)
        return value;
    }
    return {};
  }
};

// A connected socket with read-ahead.
class link {
 public:
  explicit link(int fd) : fd_(fd) {
    const int one = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  }
  ~link() { close(); }
  link(const link&) = delete;
  link& operator=(const link&) = delete;
  int fd() const { return fd_; }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  // Closes so that the other side gets a reset.
  void reset() {
    const ::linger now{1, 0};
    if (fd_ >= 0) ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
  }
  // Writes all; false if the other side is gone, or took nothing for stall_ms.
  bool write(std::string_view bytes, long stall_ms = 20000) {
    while (!bytes.empty()) {
      pollfd ready{fd_, POLLOUT, 0};
      if (::poll(&ready, 1, static_cast<int>(stall_ms)) != 1) return false;
      const auto size = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (size < 0 && (errno == EAGAIN || errno == EINTR)) continue;
      if (size <= 0) return false;
      bytes.remove_prefix(static_cast<std::size_t>(size));
    }
    return true;
  }
  // Reads some bytes into the read-ahead; false at the end, after an error or at `until`.
  bool fill(long until) {
    while (true) {
      const long left = until - now_ms();
      if (left <= 0) return false;
      pollfd ready{fd_, POLLIN, 0};
      const int found = ::poll(&ready, 1, static_cast<int>(left));
      if (found < 0 && errno == EINTR) continue;
      if (found <= 0) return false;
      char bytes[65536];
      const auto size = ::recv(fd_, bytes, sizeof bytes, 0);
      if (size < 0 && errno == EINTR) continue;
      if (size < 0) reset_ = true;
      if (size == 0) ended_ = true;
      if (size <= 0) return false;
      buffer_.append(bytes, static_cast<std::size_t>(size));
      return true;
    }
  }
  // Reads one message with a length, in chunks, or (of a response) up to the close.
  message read(long until, bool response) {
    message out;
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      out.began = !buffer_.empty();
      if (!fill(until)) {
        out.began = !buffer_.empty();
        out.reset = reset_;
        return out;
      }
    }
    out.began = true;
    parse_head(out, std::string_view(buffer_).substr(0, end + 2));
    buffer_.erase(0, end + 4);
    if (strcasecmp(out.header("Transfer-Encoding").c_str(), "chunked") == 0) {
      out.whole = read_chunks(out, until);
    } else if (const auto length = out.header("Content-Length"); !length.empty()) {
      out.whole = read_length(out, std::strtoull(length.c_str(), nullptr, 10), until);
    } else if (response) {
      while (fill(until)) {
      }
      out.body = std::exchange(buffer_, {});
      out.whole = ended_;
    } else {
      out.whole = true;
    }
    out.reset = reset_;
    return out;
  }

 private:
  static void parse_head(message& out, std::string_view head) {
    const auto line_end = head.find("\r\n");
    std::string line(head.substr(0, line_end));
    const auto a = line.find(' ');
    const auto b = a == std::string::npos ? a : line.find(' ', a + 1);
    out.first = line.substr(0, a);
    if (a != std::string::npos) out.second = line.substr(a + 1, b == std::string::npos ? b : b - a - 1);
    if (b != std::string::npos) out.third = line.substr(b + 1);
    head.remove_prefix(line_end + 2);
    while (!head.empty()) {
      const auto end = head.find("\r\n");
      const auto field = head.substr(0, end);
      const auto colon = field.find(':');
      if (colon != std::string_view::npos) {
        auto value = field.substr(colon + 1);
        while (!value.empty() && value.front() == ' ') value.remove_prefix(1);
        out.headers.emplace_back(std::string(field.substr(0, colon)), std::string(value));
      }
      if (end == std::string_view::npos) break;
      head.remove_prefix(end + 2);
    }
  }
  bool read_length(message& out, std::size_t length, long until) {
    while (buffer_.size() < length) {
      if (!fill(until)) {
        out.body = std::exchange(buffer_, {});
        return false;
      }
    }
    out.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return true;
  }
  bool read_chunks(message& out, long until) {
    while (true) {
      std::size_t end = 0;
      while ((end = buffer_.find("\r\n")) == std::string::npos) {
        if (!fill(until)) return false;
      }
      const auto size = std::strtoull(buffer_.c_str(), nullptr, 16);
      while (buffer_.size() < end + 2 + size + 2) {
        if (!fill(until)) return false;
      }
      out.body.append(buffer_, end + 2, size);
      buffer_.erase(0, end + 2 + size + 2);
      if (size == 0) return true;
    }
  }

  int fd_;
  bool ended_ = false;
  bool reset_ = false;
  std::string buffer_;
};

inline sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Returns a socket that listens on a free port, and the port.
inline std::pair<int, std::uint16_t> listen_anywhere() {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = loopback(0);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) std::exit(2);
  ::listen(fd, 512);
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return {fd, ntohs(address.sin_port)};
}

inline std::uint16_t free_port() {
  const auto [fd, port] = listen_anywhere();
  ::close(fd);
  return port;
}

// -1 if nobody listens there.
inline int connect_to(std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = loopback(port);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) return fd;
  ::close(fd);
  return -1;
}

inline std::string render(const std::string& start, const header_list& headers,
                          const std::string& body, bool with_length = true) {
  std::string out = start + "\r\n";
  for (const auto& [name, value] : headers) out += name + ": " + value + "\r\n";
  if (with_length) out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return out + "\r\n" + body;
}

// Accepts connections, each with a thread of its own, until stop().
class listener {
 public:
  using handler = std::function<void(link&)>;
  explicit listener(handler serve) : serve_(std::move(serve)) {
    std::tie(fd_, port_) = listen_anywhere();
    std::thread([this] { accept_loop(); }).detach();
  }
  std::uint16_t port() const { return port_; }
  void stop() {
    if (!stopped_.exchange(true)) ::shutdown(fd_, SHUT_RDWR);
  }

 private:
  void accept_loop() {
    while (!stopped_) {
      const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (stopped_) break;
        continue;
      }
      std::thread([this, fd] {
        link own(fd);
        serve_(own);
      }).detach();
    }
    ::close(fd_);
  }
  handler serve_;
  int fd_ = -1;
  std::uint16_t port_ = 0;
  std::atomic<bool> stopped_{false};
};

}  // namespace lab
