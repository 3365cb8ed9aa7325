// Fixtures for tests of the data path: an upstream that runs a script on each connection, and a
// caller on a raw socket. Both use blocking calls, with a timeout that only a fault reaches.
//
//   scripted_upstream upstream(scripted_upstream::echo);
//   proxy_fixture proxy({upstream.address()});
//   auto got = proxy.caller().get("/stock/1");
#pragma once

#include <sys/socket.h>

#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "entry/proxy.h"
#include "http/address.h"
#include "ownership/shard_map.h"

namespace plantainpaddle::testing {

using tcp = boost::asio::ip::tcp;

// A blocking connection that reads complete messages.
class raw_connection {
 public:
  raw_connection() : socket_(io_) {}
  explicit raw_connection(const std::string& address) : socket_(io_) {
    boost::system::error_code code;
    socket_.connect(*parse_address(address), code);
    set_timeouts();
  }

  tcp::socket& socket() { return socket_; }
  boost::asio::io_context& io() { return io_; }
  void set_timeouts() {
    const timeval limit{.tv_sec = 10, .tv_usec = 0};
    ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  }

  bool send(std::string_view bytes) {
    boost::system::error_code code;
    boost::asio::write(socket_, boost::asio::buffer(bytes), code);
    return !code;
  }

  // Waits for more bytes; false at the end of the connection or after the timeout.
  bool read_more() {
    char bytes[65536];
    const auto size = ::recv(socket_.native_handle(), bytes, sizeof bytes, 0);
    if (size <= 0) return false;
    unread_.append(bytes, static_cast<std::size_t>(size));
    return true;
  }

  // The next head with its empty line; an empty string at the end of the connection.
  std::string read_head() {
    while (true) {
      const auto end = unread_.find("\r\n\r\n");
      if (end != std::string::npos) return take(end + 4);
      if (!read_more()) return {};
    }
  }

  std::string read_bytes(std::size_t size) {
    while (unread_.size() < size && read_more()) continue;
    return take(std::min(size, unread_.size()));
  }

  // The decoded body that follows the head; `whole_body` says whether it is complete.
  std::string read_body(const std::string& head) {
    whole_body = false;
    if (head.find("Transfer-Encoding: chunked") == std::string::npos) {
      const auto header = head.find("Content-Length: ");
      const std::size_t size =
          header == std::string::npos ? 0 : std::stoull(head.substr(header + 16));
      auto body = read_bytes(size);
      whole_body = body.size() == size;
      return body;
    }
    std::string body;
    while (true) {
      while (unread_.find("\r\n") == std::string::npos) {
        if (!read_more()) return body;
      }
      const std::size_t size = std::stoull(take(unread_.find("\r\n") + 2), nullptr, 16);
      const auto chunk = read_bytes(size + 2);
      if (chunk.size() != size + 2) return body + chunk;
      if (size == 0) {
        whole_body = true;
        return body;
      }
      body += chunk.substr(0, size);
    }
  }

  // Whether the other side ends the connection and has sent nothing that is still unread.
  bool at_end() { return unread_.empty() && !read_more(); }
  void close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
  }
  void shutdown() {
    boost::system::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
  }

  bool whole_body = false;

 private:
  std::string take(std::size_t size) {
    std::string taken = unread_.substr(0, size);
    unread_.erase(0, size);
    return taken;
  }

  boost::asio::io_context io_;
  tcp::socket socket_;
  std::string unread_;
};

// An answer that a caller got; `whole` if both its head and its body are complete.
struct answer {
  std::string head;
  std::string body;
  bool whole = false;
  int status() const { return head.size() < 12 ? 0 : std::stoi(head.substr(9, 3)); }
  bool has(std::string_view text) const { return head.find(text) != std::string::npos; }
};

class raw_caller : public raw_connection {
 public:
  using raw_connection::raw_connection;

  // head_only: the answer has no body, as to a HEAD request.
  answer read_answer(bool head_only = false) {
    answer got;
    got.head = read_head();
    got.whole = !got.head.empty();
    if (head_only || !got.whole) return got;
    got.body = read_body(got.head);
    got.whole = whole_body;
    return got;
  }
  answer ask(std::string_view request, bool head_only = false) {
    send(request);
    return read_answer(head_only);
  }
  answer get(const std::string& target) {
    return ask("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n");
  }
};

// One connection that a scripted upstream has accepted.
class scripted_connection : public raw_connection {
 public:
  std::size_t number = 0;  // counts the upstream's connections from 0

  // The next request's head; its body is in request_body.
  std::string read_request() {
    auto head = read_head();
    request_body = head.empty() ? "" : read_body(head);
    return head;
  }
  void answer(std::string_view body, std::string_view extra = "", int status = 200) {
    send("HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n" + std::string(extra) + "\r\n" + std::string(body));
  }
  std::string request_body;
};

class scripted_upstream {
 public:
  // Runs on a thread of its own for each connection, which is closed when the script returns.
  using script = std::function<void(scripted_connection&)>;

  explicit scripted_upstream(script run) : script_(std::move(run)), acceptor_(io_) {
    const tcp::endpoint any_port(boost::asio::ip::make_address("127.0.0.1"), 0);
    acceptor_.open(any_port.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(any_port);
    acceptor_.listen();
    address_ = format_address(acceptor_.local_endpoint());
    thread_ = std::thread([this] { accept_all(); });
  }

  ~scripted_upstream() {
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
    thread_.join();
    {
      const std::lock_guard lock(mutex_);
      for (auto& connection : accepted_) connection.shutdown();
    }
    for (auto& thread : connection_threads_) thread.join();
  }
  scripted_upstream(const scripted_upstream&) = delete;
  scripted_upstream& operator=(const scripted_upstream&) = delete;

  const std::string& address() const { return address_; }
  std::size_t connections() const { return accepted_count_; }

  // Answers each request with its method, target and body until the connection ends.
  static void echo(scripted_connection& connection) {
    for (auto head = connection.read_request(); !head.empty(); head = connection.read_request()) {
      connection.answer(head.substr(0, head.find(" HTTP")) + " " + connection.request_body);
    }
  }

 private:
  void accept_all() {
    while (true) {
      boost::system::error_code code;
      tcp::socket socket(io_);
      acceptor_.accept(socket, code);
      if (code) return;
      const std::lock_guard lock(mutex_);
      auto& connection = accepted_.emplace_back();
      connection.number = accepted_count_++;
      const auto handle = socket.release();
      connection.socket().assign(tcp::v4(), handle);
      connection.set_timeouts();
      connection_threads_.emplace_back([this, &connection] {
        script_(connection);
        connection.shutdown();
      });
    }
  }

  script script_;
  boost::asio::io_context io_;
  tcp::acceptor acceptor_;
  std::string address_;
  std::thread thread_;
  std::mutex mutex_;
  std::list<scripted_connection> accepted_;
  std::vector<std::thread> connection_threads_;
  std::atomic<std::size_t> accepted_count_{0};
};

// A proxy in front of the upstreams of one service. Unless a test changes it, the key is the second
// path segment, and the shards are assigned to the upstreams in turn with fencing token 7.
class proxy_fixture {
 public:
  explicit proxy_fixture(std::vector<std::string> upstreams, proxy_settings settings = {}) {
    service.service.name = service_id{"shelf"};
    service.service.shards = 16;
    service.table_revision = revision_number{1};
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
      service.upstreams.push_back({.name = upstream_id{"u" + std::to_string(i)},
                                   .address = upstreams[i],
                                   .domain = domain_id{"d1"},
                                   .slots = 100,
                                   .connections = 100});
    }
    service.dispatchers.resize(upstreams.size());
    service.routes.push_back({.name = "all",
                              .path_prefix = "/",
                              .key_from = key_source::path_segment,
                              .key_name = "1",
                              .timeout = seconds(5)});
    for (std::uint32_t i = 0; i < service.service.shards; ++i) {
      service.shards.push_back({upstreams.empty()
                                    ? shard_target::no_upstream
                                    : i % static_cast<std::uint32_t>(upstreams.size()),
                                fence_number{7}});
    }
    settings.listen_callers = "127.0.0.1:0";
    settings.listen_forward = "127.0.0.1:0";
    settings.instance = "e1";
    settings.domain = domain_id{"d1"};
    traffic = std::make_unique<proxy>(settings, counters);
    address = *traffic->start();
    publish();
  }

  // Makes the proxy use `service` as it is now.
  void publish() {
    traffic->set_snapshot(std::make_shared<routing_snapshot>(routing_snapshot{{service}}));
  }
  shard_id shard(std::string_view key) const {
    return shard_of(service.service.name, key, service.service.shards);
  }
  raw_caller caller() const { return raw_caller(address); }

  metrics counters;
  service_snapshot service;
  std::unique_ptr<proxy> traffic;
  std::string address;
};

}  // namespace plantainpaddle::testing
