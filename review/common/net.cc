#include "common/net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <set>
#include <thread>

namespace review {
namespace {

const auto start_time = std::chrono::steady_clock::now();

sockaddr_in parse_address(const std::string& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  const auto colon = address.rfind(':');
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
  out.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
  return out;
}

bool wait_for(int fd, short events, std::int64_t timeout_ms) {
  pollfd waiting{fd, events, 0};
  const auto until = now_ms() + std::max<std::int64_t>(0, timeout_ms);
  while (true) {
    const auto left = std::max<std::int64_t>(0, until - now_ms());
    const int ready = ::poll(&waiting, 1, static_cast<int>(left));
    if (ready > 0) return true;
    if (ready == 0 || errno != EINTR) return false;
  }
}

std::string lower(std::string text) {
  for (auto& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

std::string trim(std::string text) {
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.pop_back();
  std::size_t begin = 0;
  while (begin < text.size() && (text[begin] == ' ' || text[begin] == '\t')) ++begin;
  return text.substr(begin);
}

}  // namespace

std::int64_t now_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               start_time)
      .count();
}

void sleep_ms(std::int64_t length) {
  if (length > 0) std::this_thread::sleep_for(std::chrono::milliseconds(length));
}

record::record(const std::string& file) : file_(std::fopen(file.c_str(), "w")) {
  if (file_ == nullptr) std::exit(2);
}

record::~record() { std::fclose(file_); }

void record::line(const char* format, ...) {
  const std::lock_guard lock(mutex_);
  std::fprintf(file_, "%8.3f ", static_cast<double>(now_ms()) / 1000);
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(file_, format, arguments);
  va_end(arguments);
  std::fputc('\n', file_);
  std::fflush(file_);
}

std::string message::find(std::string_view name) const {
  const auto wanted = lower(std::string(name));
  for (const auto& each : fields) {
    if (each.name == wanted) return each.value;
  }
  return {};
}

connection::~connection() { ::close(fd_); }

bool connection::send(std::string_view bytes) {
  while (!bytes.empty()) {
    const auto size = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (size < 0 && errno == EINTR) continue;
    if (size <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(size));
  }
  return true;
}

bool connection::wait_readable(std::int64_t timeout_ms) const {
  return wait_for(fd_, POLLIN, timeout_ms);
}

bool connection::fill(std::int64_t until_ms) {
  if (!wait_for(fd_, POLLIN, until_ms - now_ms())) return false;
  char piece[65536];
  const auto size = ::recv(fd_, piece, sizeof piece, 0);
  if (size <= 0) return false;
  buffer_.append(piece, static_cast<std::size_t>(size));
  return true;
}

bool connection::read_head(message& out, bool is_response, std::int64_t timeout_ms,
                           std::string* raw) {
  const auto until = now_ms() + timeout_ms;
  std::size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (buffer_.size() > (1 << 20) || !fill(until)) return false;
  }
  const std::string head = buffer_.substr(0, end + 2);
  if (raw != nullptr) *raw = head;
  buffer_.erase(0, end + 4);
  out = message{};
  std::size_t place = head.find("\r\n");
  out.first_line = head.substr(0, place);
  for (place += 2; place < head.size();) {
    const auto next = head.find("\r\n", place);
    const std::string line = head.substr(place, next - place);
    place = next + 2;
    const auto colon = line.find(':');
    if (colon == std::string::npos) return false;
    out.fields.push_back({lower(line.substr(0, colon)), trim(line.substr(colon + 1))});
  }
  const auto space = out.first_line.find(' ');
  if (space == std::string::npos) return false;
  if (is_response) {
    out.status = std::atoi(out.first_line.c_str() + space + 1);
    if (!out.first_line.starts_with("HTTP/1.1 ") || out.status < 100) return false;
  } else {
    out.method = out.first_line.substr(0, space);
    out.target = out.first_line.substr(space + 1, out.first_line.rfind(' ') - space - 1);
  }
  const auto length = out.find("content-length");
  if (!length.empty()) {
    out.length = std::atoll(length.c_str());
  } else if (lower(out.find("transfer-encoding")) == "chunked") {
    out.length = -1;
  } else {
    out.length = is_response ? -2 : 0;
  }
  return true;
}

bool connection::read_body(message& out, std::int64_t timeout_ms) {
  const auto until = now_ms() + timeout_ms;
  if (out.length == -2) {
    while (fill(until)) {
    }
    out.body += std::exchange(buffer_, {});
    return true;
  }
  if (out.length >= 0) {
    const auto size = static_cast<std::size_t>(out.length);
    while (buffer_.size() < size) {
      if (!fill(until)) return false;
    }
    out.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return true;
  }
  while (true) {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n")) == std::string::npos) {
      if (!fill(until)) return false;
    }
    const auto size = std::strtoull(buffer_.c_str(), nullptr, 16);
    buffer_.erase(0, end + 2);
    while (buffer_.size() < size + 2) {
      if (!fill(until)) return false;
    }
    out.body.append(buffer_, 0, size);
    buffer_.erase(0, size + 2);
    if (size == 0) return true;
  }
}

void connection::shut_down() const { ::shutdown(fd_, SHUT_RDWR); }

int connect_to(const std::string& address, std::int64_t timeout_ms) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const auto to = parse_address(address);
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  bool open = ::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0;
  if (!open && errno == EINPROGRESS && wait_for(fd, POLLOUT, timeout_ms)) {
    int failure = 0;
    socklen_t size = sizeof failure;
    ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &failure, &size);
    open = failure == 0;
  }
  if (!open) {
    ::close(fd);
    return -1;
  }
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  return fd;
}

int listen_at(std::string& address) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto at = parse_address(address);
  const int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  socklen_t size = sizeof at;
  if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(fd, 512) != 0 ||
      ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) != 0) {
    std::exit(2);
  }
  address = address.substr(0, address.find(':') + 1) + std::to_string(ntohs(at.sin_port));
  return fd;
}

std::string free_address(const std::string& ip) {
  std::string address = ip + ":0";
  ::close(listen_at(address));
  return address;
}

std::string format_request(const std::string& method, const std::string& target,
                           const std::vector<field>& fields, const std::string& body) {
  std::string out = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& each : fields) out += each.name + ": " + each.value + "\r\n";
  if (!body.empty() || method != "GET") {
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return out + "\r\n" + body;
}

std::string format_response(int status, const std::string& reason, const std::vector<field>& fields,
                            const std::string& body) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n";
  for (const auto& each : fields) out += each.name + ": " + each.value + "\r\n";
  out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return out + body;
}

std::optional<message> call(const std::string& address, const std::string& method,
                            const std::string& target, const std::vector<field>& fields,
                            const std::string& body, std::int64_t timeout_ms) {
  const auto until = now_ms() + timeout_ms;
  const int fd = connect_to(address, timeout_ms);
  if (fd < 0) return std::nullopt;
  connection link(fd);
  message answer;
  if (!link.send(format_request(method, target, fields, body)) ||
      !link.read_head(answer, true, until - now_ms()) ||
      !link.read_body(answer, until - now_ms())) {
    return std::nullopt;
  }
  return answer;
}

struct acceptor::state {
  int fd = -1;
  handler serve;
  bool stopped = false;
  std::mutex mutex;
  std::set<connection*> open;
};

acceptor::acceptor(const std::string& ip, handler serve)
    : address_(ip + ":0"), state_(std::make_shared<state>()) {
  state_->serve = std::move(serve);
  state_->fd = listen_at(address_);
  std::thread([self = state_] {
    while (true) {
      const int fd = ::accept4(self->fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0 && errno != EINVAL) continue;
      if (fd < 0) break;  // shut down
      const int one = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      std::thread([self, fd] {
        connection link(fd);
        {
          const std::lock_guard lock(self->mutex);
          if (self->stopped) return;
          self->open.insert(&link);
        }
        self->serve(link);
        const std::lock_guard lock(self->mutex);
        self->open.erase(&link);
      }).detach();
    }
    ::close(self->fd);
  }).detach();
}

acceptor::~acceptor() { stop(); }

void acceptor::stop() {
  const std::lock_guard lock(state_->mutex);
  if (std::exchange(state_->stopped, true)) return;
  ::shutdown(state_->fd, SHUT_RDWR);
  for (const auto* each : state_->open) each->shut_down();
}

}  // namespace review
