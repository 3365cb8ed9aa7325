#include "entry/acceptor.h"

#include <boost/asio/post.hpp>

#include "http/address.h"

namespace plantainpaddle {

namespace asio = boost::asio;

namespace {

constexpr duration failure_pause = milliseconds(50);  // out of descriptors, say

}  // namespace

connection_acceptor::connection_acceptor(std::vector<worker*> workers, bool internal)
    : workers_(std::move(workers)),
      internal_(internal),
      acceptor_(workers_.front()->io()),
      pause_(workers_.front()->io()) {}

result<std::string> connection_acceptor::listen(const std::string& address) {
  const auto endpoint = parse_address(address);
  if (!endpoint) return endpoint.error();
  boost::system::error_code code;
  acceptor_.open(endpoint->protocol(), code);
  if (!code) acceptor_.set_option(asio::socket_base::reuse_address(true), code);
  if (!code) acceptor_.bind(*endpoint, code);
  if (!code) acceptor_.listen(asio::socket_base::max_listen_connections, code);
  if (code) return error{errc::unavailable, step::listen, address, code.message()};
  return format_address(acceptor_.local_endpoint());
}

void connection_acceptor::start() {
  asio::post(acceptor_.get_executor(), [this] { accept_next(); });
}

void connection_acceptor::accept_next() {
  acceptor_.async_accept(workers_[next_]->io(),
                         [this](const boost::system::error_code& code, tcp_socket socket) {
                           if (!acceptor_.is_open()) return;
                           if (!code) {
                             deal(std::move(socket));
                             return accept_next();
                           }
                           pause_.expires_after(failure_pause);
                           pause_.async_wait([this](const boost::system::error_code& stopped) {
                             if (!stopped && acceptor_.is_open()) accept_next();
                           });
                         });
}

void connection_acceptor::deal(tcp_socket socket) {
  auto& home = *workers_[next_];
  next_ = (next_ + 1) % workers_.size();
  auto& shared = home.shared();
  if (shared.connections.fetch_add(1) >= shared.settings().limits.connections) {
    --shared.connections;
    home.counters().add("refused_connections_total", {});
    return;
  }
  home.take(std::move(socket), internal_);
}

void connection_acceptor::take_backlog() {
  boost::system::error_code code;
  acceptor_.non_blocking(true, code);
  while (!code) {
    tcp_socket socket(workers_[next_]->io());
    acceptor_.accept(socket, code);
    if (!code) deal(std::move(socket));
  }
}

void connection_acceptor::close() {
  asio::post(acceptor_.get_executor(), [this] {
    if (!acceptor_.is_open()) return;
    take_backlog();
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    pause_.cancel();
  });
}

}  // namespace plantainpaddle
