#include "upstream/stream.h"

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

}  // namespace plantainpaddle
