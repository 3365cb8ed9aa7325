#include "http/quiet.h"

#include <sys/socket.h>

#include <cerrno>

namespace plantainpaddle {

bool is_quiet(int socket) {
  char byte = 0;
  const auto size = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size < 0 && (errno == EAGAIN || errno == EINTR);
}

}  // namespace plantainpaddle
