// Blocking HTTP/1.1 over loopback sockets, for the stand-ins and drivers of the review.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>

namespace lab {

// Milliseconds of the machine's monotonic clock, which all processes of a case share.
inline std::int64_t now_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline void sleep_ms(std::int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

using fields = std::map<std::string, std::string>;  // names in lower case

struct message {
  std::string start;  // the first line
  fields head;
  std::string body;
  std::string method, target;  // of a request
  int status = 0;              // of a response
};

inline sockaddr_in parse_endpoint(const std::string& address) {
  sockaddr_in out{};
  const auto colon = address.rfind(':');
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
  return out;
}

inline int listen_at(const std::string& address) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const auto endpoint = parse_endpoint(address);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&endpoint), sizeof endpoint) != 0 ||
      ::listen(fd, 512) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

inline int connect_to(const std::string& address) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto endpoint = parse_endpoint(address);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&endpoint), sizeof endpoint) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool send_all(int fd, const std::string& text) {
  std::size_t done = 0;
  while (done < text.size()) {
    const auto sent = ::send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
    if (sent <= 0) return false;
    done += static_cast<std::size_t>(sent);
  }
  return true;
}

// One direction of a connection. `pending` holds bytes that were read but not consumed.
class reader {
 public:
  explicit reader(int fd) : fd_(fd) {}

  // False: the connection ended, or nothing came until `until` (milliseconds; 0: no limit).
  bool fill(std::int64_t until = 0) {
    if (until != 0) {
      pollfd wait{fd_, POLLIN, 0};
      const auto left = until - now_ms();
      if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) <= 0) return false;
    }
    char bytes[16384];
    const auto size = ::recv(fd_, bytes, sizeof bytes, 0);
    if (size <= 0) return false;
    pending.append(bytes, static_cast<std::size_t>(size));
    return true;
  }

  bool head(message& out, std::int64_t until = 0) {
    std::size_t end;
    while ((end = pending.find("\r\n\r\n")) == std::string::npos) {
      if (!fill(until)) return false;
    }
    const std::string text = pending.substr(0, end + 2);
    pending.erase(0, end + 4);
    std::size_t line = text.find("\r\n");
    out.start = text.substr(0, line);
    out.head.clear();
    while (line + 2 < text.size()) {
      const auto next = text.find("\r\n", line + 2);
      const auto field = text.substr(line + 2, next - line - 2);
      line = next;
      const auto colon = field.find(':');
      if (colon == std::string::npos) continue;
      std::string name = field.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
      auto value = field.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      out.head[name] = value;
    }
    const auto first = out.start.find(' ');
    const auto second = out.start.find(' ', first + 1);
    if (out.start.rfind("HTTP/", 0) == 0) {
      out.status = std::atoi(out.start.c_str() + first + 1);
    } else if (first != std::string::npos && second != std::string::npos) {
      out.method = out.start.substr(0, first);
      out.target = out.start.substr(first + 1, second - first - 1);
    }
    return true;
  }

  bool take(std::size_t size, std::string& out, std::int64_t until = 0) {
    while (pending.size() < size) {
      if (!fill(until)) return false;
    }
    out.append(pending, 0, size);
    pending.erase(0, size);
    return true;
  }

  bool body(message& out, std::int64_t until = 0) {
    out.body.clear();
    const auto length = out.head.find("content-length");
    if (length != out.head.end()) return take(std::stoul(length->second), out.body, until);
    const auto coding = out.head.find("transfer-encoding");
    if (coding == out.head.end()) return true;
    while (true) {
      std::size_t end;
      while ((end = pending.find("\r\n")) == std::string::npos) {
        if (!fill(until)) return false;
      }
      const auto size = std::stoul(pending.substr(0, end), nullptr, 16);
      pending.erase(0, end + 2);
      if (!take(size, out.body, until)) return false;
      std::string line_end;
      if (!take(2, line_end, until)) return false;
      if (size == 0) return true;
    }
  }

  std::string pending;

 private:
  int fd_;
};

inline std::string format_response(int status, const fields& head, const std::string& body) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const auto& [name, value] : head) out += name + ": " + value + "\r\n";
  out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  return out;
}

inline std::string header_of(const message& m, const std::string& name) {
  const auto found = m.head.find(name);
  return found == m.head.end() ? std::string() : found->second;
}

// One call on a connection of its own; nothing if it wasn't answered in time.
inline std::optional<message> call(const std::string& address, const std::string& request,
                                   std::int64_t timeout_ms) {
  const int fd = connect_to(address);
  if (fd < 0) return std::nullopt;
  reader in(fd);
  message answer;
  const auto until = now_ms() + timeout_ms;
  const bool done = send_all(fd, request) && in.head(answer, until) && in.body(answer, until);
  ::close(fd);
  if (!done) return std::nullopt;
  return answer;
}

// Accepts for ever; `serve` runs in a thread for each connection and closes nothing.
inline void accept_loop(int listener, const std::function<void(int)>& serve) {
  while (true) {
    const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::thread([fd, serve] {
      serve(fd);
      ::close(fd);
    }).detach();
  }
}

}  // namespace lab
