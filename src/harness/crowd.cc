#include "harness/crowd.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>
#include <vector>

#include "http/address.h"

namespace plantainpaddle {
namespace {

constexpr int poll_ms = 5;

class crowd_caller {
 public:
  crowd_caller(const crowd_settings& settings, std::size_t number)
      : settings_(settings), number_(number) {}
  ~crowd_caller() { end(); }
  crowd_caller(const crowd_caller&) = delete;
  crowd_caller& operator=(const crowd_caller&) = delete;
  crowd_caller(crowd_caller&& other) noexcept
      : settings_(other.settings_),
        number_(other.number_),
        fd_(std::exchange(other.fd_, -1)),
        opens_at_(other.opens_at_) {}
  crowd_caller& operator=(crowd_caller&&) = delete;

  // True if it has opened a connection.
  bool open_if_due(const boost::asio::ip::tcp::endpoint& to, monotonic_time now) {
    if (fd_ >= 0 || now < opens_at_) return false;
    opens_at_ = now + settings_.reopen_after;
    fd_ = socket(to.protocol().family(), SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (settings_.receive_buffer != 0) {
      const int size = settings_.receive_buffer;
      setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
    }
    if (connect(fd_, to.data(), static_cast<socklen_t>(to.size())) != 0 && errno != EINPROGRESS) {
      end();
      return false;
    }
    script_ = settings_.script(number_);
    sent_ = 0;
    writes_at_ = reads_at_ = now;
    return true;
  }

  // The events that it waits for.
  pollfd wanted(monotonic_time now) const {
    short events = 0;
    if (!all_sent() && now >= writes_at_) events |= POLLOUT;
    if (settings_.read_piece != 0 && now >= reads_at_) events |= POLLIN;
    return {.fd = fd_, .events = events, .revents = 0};
  }

  std::uint64_t handle(short events, monotonic_time now) {
    std::uint64_t written = 0;
    if ((events & POLLOUT) != 0) written = write_piece(now);
    if (fd_ >= 0 && (events & POLLIN) != 0) read_piece(now);
    if (fd_ >= 0 && (events & (POLLERR | POLLHUP | POLLNVAL)) != 0) close_at(now);
    return written;
  }

 private:
  std::uint64_t size() const {
    return script_.first.size() + script_.repeated + script_.last.size();
  }
  bool all_sent() const { return sent_ == size(); }

  std::string_view next_bytes() const {
    std::string_view part = script_.first;
    std::uint64_t place = sent_;
    if (place >= part.size()) {
      place -= part.size();
      if (place < script_.repeated) {
        const auto left = script_.repeated - place;
        part = std::string_view(script_.unit).substr(place % script_.unit.size()).substr(0, left);
        place = 0;
      } else {
        place -= script_.repeated;
        part = script_.last;
      }
    }
    return part.substr(place, settings_.piece);
  }

  std::uint64_t write_piece(monotonic_time now) {
    const auto bytes = next_bytes();
    const auto size = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (size < 0) {
      if (errno != EAGAIN) close_at(now);
      return 0;
    }
    sent_ += static_cast<std::uint64_t>(size);
    writes_at_ = now + settings_.pause;
    return static_cast<std::uint64_t>(size);
  }

  void read_piece(monotonic_time now) {
    bytes_.resize(settings_.read_piece);
    const auto size = recv(fd_, bytes_.data(), bytes_.size(), 0);
    if (size == 0 || (size < 0 && errno != EAGAIN)) return close_at(now);
    reads_at_ = now + settings_.read_pause;
  }

  void close_at(monotonic_time now) {
    end();
    opens_at_ = now + settings_.reopen_after;
  }

  void end() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }

  const crowd_settings& settings_;
  std::size_t number_;
  int fd_ = -1;
  crowd_script script_;
  std::uint64_t sent_ = 0;
  monotonic_time opens_at_{};
  monotonic_time writes_at_{};
  monotonic_time reads_at_{};
  std::vector<char> bytes_;
};

}  // namespace

crowd::crowd(const std::string& address, crowd_settings settings)
    : settings_(std::move(settings)), thread_([this, address] { run(address); }) {}

void crowd::stop() {
  stop_ = true;
  if (thread_.joinable()) thread_.join();
}

void crowd::run(const std::string& address) {
  const auto to = parse_address(address);
  if (!to) return;
  std::vector<crowd_caller> callers;
  callers.reserve(settings_.callers);
  for (std::size_t i = 0; i < settings_.callers; ++i) callers.emplace_back(settings_, i);
  std::vector<pollfd> waits(callers.size());
  while (!stop_) {
    const auto now = monotonic_now();
    for (std::size_t i = 0; i < callers.size(); ++i) {
      opened_ += callers[i].open_if_due(*to, now) ? 1 : 0;
      waits[i] = callers[i].wanted(now);
    }
    poll(waits.data(), waits.size(), poll_ms);
    for (std::size_t i = 0; i < callers.size(); ++i) {
      if (waits[i].revents != 0) sent_ += callers[i].handle(waits[i].revents, now);
    }
  }
}

}  // namespace plantainpaddle
