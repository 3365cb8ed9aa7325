#include "upstream/stream.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace plantainpaddle {

peer_state peek_peer(tcp_socket& socket) {
  char byte = 0;
  const auto size = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (size > 0) return peer_state::has_data;
  if (size < 0 && (errno == EAGAIN || errno == EINTR)) return peer_state::quiet;
  return peer_state::gone;
}

void prepare_socket(tcp_socket& socket) {
  boost::system::error_code ignored;
  socket.non_blocking(true, ignored);
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

void limit_unacknowledged(tcp_socket& socket, std::chrono::milliseconds limit) {
  boost::system::error_code ignored;
  using user_timeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  socket.set_option(user_timeout(static_cast<int>(limit.count())), ignored);
}

}  // namespace plantainpaddle
