// An accepted connection doesn't show that an upstream is alive, because the kernel also accepts
// for a frozen process. start_probe() therefore sends a request and waits for one byte of the
// response. For start_connect_probe() the connection is enough: it only asks about the machine.
#include "entry/prober.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include "http/address.h"
#include "upstream/stream.h"

namespace plantainpaddle {

namespace asio = boost::asio;

namespace {

task<bool> exchange_any(tcp_socket& socket, asio::ip::tcp::endpoint endpoint, std::string address) {
  auto [connect_code] = co_await socket.async_connect(endpoint, as_task);
  if (connect_code) co_return false;
  const std::string request = "GET " + std::string(probe_target) + " HTTP/1.1\r\nHost: " + address +
                              "\r\nConnection: close\r\n\r\n";
  auto [write_code, written] = co_await asio::async_write(socket, asio::buffer(request), as_task);
  if (write_code) co_return false;
  std::array<char, 64> answer{};
  auto [read_code, size] = co_await socket.async_read_some(asio::buffer(answer), as_task);
  co_return !read_code && size != 0;
}

// Returns a socket that is closed when `timer` fires after `limit`; cancelling the timer stops
// that.
std::shared_ptr<tcp_socket> make_socket_with_timeout(io_executor executor, task_timer& timer,
                                                     duration limit) {
  auto socket = std::make_shared<tcp_socket>(executor);
  timer.expires_after(limit);
  timer.async_wait([socket](const boost::system::error_code& code) {
    boost::system::error_code ignored;
    if (!code) socket->close(ignored);
  });
  return socket;
}

task<void> probe_connect(io_executor executor, std::shared_ptr<placement> placed,
                         upstream_id upstream, std::string address) {
  const auto endpoint = parse_address(address);
  bool connected = false;
  if (endpoint) {
    task_timer timer(executor);
    const auto socket = make_socket_with_timeout(executor, timer, connect_probe_timeout);
    auto [code] = co_await socket->async_connect(*endpoint, as_task);
    connected = !code;
    timer.cancel();
  }
  placed->on_probe(upstream, connected, monotonic_now());
}

task<void> probe(io_executor executor, std::shared_ptr<service_health> health, std::size_t upstream,
                 std::string address) {
  const auto endpoint = parse_address(address);
  if (!endpoint) co_return;
  task_timer timer(executor);
  const auto socket = make_socket_with_timeout(executor, timer, probe_timeout);
  const bool answered = co_await exchange_any(*socket, *endpoint, address);
  timer.cancel();
  health->on_probe(upstream, answered, monotonic_now());
}

}  // namespace

void start_probe(asio::io_context& io, std::shared_ptr<service_health> health, std::size_t upstream,
                 const std::string& address) {
  asio::co_spawn(io, probe(io.get_executor(), std::move(health), upstream, address),
                 asio::detached);
}

void start_connect_probe(asio::io_context& io, std::shared_ptr<placement> placed,
                         const upstream_id& upstream, const std::string& address) {
  asio::co_spawn(io, probe_connect(io.get_executor(), std::move(placed), upstream, address),
                 asio::detached);
}

}  // namespace plantainpaddle
