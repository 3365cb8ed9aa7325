#include "entry/acceptor.h"

#include <boost/asio/post.hpp>

#include "http/address.h"

namespace plantainpaddle {

namespace asio = boost::asio;

namespace {

constexpr duration accept_retry_delay = milliseconds(50);  // e.g. when out of descriptors
// Most connections over the limit, while those that make room for them are being closed.
constexpr std::size_t max_closing = 16;

}  // namespace

connection_acceptor::connection_acceptor(std::vector<worker*> workers, bool internal)
    : workers_(std::move(workers)),
      internal_(internal),
      acceptor_(workers_.front()->io()),
      retry_timer_(workers_.front()->io()) {}

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
  acceptor_.async_accept(workers_[next_worker_]->io(), [this](const boost::system::error_code& code,
                                                              tcp_socket socket) {
    if (!acceptor_.is_open()) return;
    if (!code) {
      assign(std::move(socket));
      return accept_next();
    }
    retry_timer_.expires_after(accept_retry_delay);
    retry_timer_.async_wait([this](const boost::system::error_code& stopped) {
      if (!stopped && acceptor_.is_open()) accept_next();
    });
  });
}

void connection_acceptor::assign(tcp_socket socket) {
  auto& target = *workers_[next_worker_];
  next_worker_ = (next_worker_ + 1) % workers_.size();
  auto& shared = target.shared();
  const std::size_t open = shared.connections.fetch_add(1);
  const std::size_t limit = shared.settings().limits.connections;
  // A connection that makes room is closed a little later.
  const bool room = open < limit || (open < limit + max_closing && &target == workers_.front() &&
                                     target.make_room());
  if (!room) {
    --shared.connections;
    target.counters().add("refused_connections_total", {});
    return;
  }
  target.add_connection(std::move(socket), internal_);
}

void connection_acceptor::accept_backlog() {
  boost::system::error_code code;
  acceptor_.non_blocking(true, code);
  while (!code) {
    tcp_socket socket(workers_[next_worker_]->io());
    acceptor_.accept(socket, code);
    if (!code) assign(std::move(socket));
  }
}

void connection_acceptor::close() {
  asio::post(acceptor_.get_executor(), [this] {
    if (!acceptor_.is_open()) return;
    accept_backlog();
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    retry_timer_.cancel();
  });
}

}  // namespace plantainpaddle
