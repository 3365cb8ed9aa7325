#include "upstream/delivery.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cstddef>

namespace plantainpaddle {

namespace {

// The kernel's structure goes on behind the part that the C library declares. The header that
// declares all of it can't be included together with the C library's.
struct extended_info {
  tcp_info declared;
  std::uint64_t pacing_rate;
  std::uint64_t max_pacing_rate;
  std::uint64_t bytes_acked;
};
static_assert(offsetof(extended_info, bytes_acked) == 120);

}  // namespace

std::optional<delivery> read_delivery(int socket) {
  extended_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return std::nullopt;
  if (size < sizeof info) return std::nullopt;
  return delivery{.acknowledged = info.bytes_acked,
                  .closed = info.declared.tcpi_state == TCP_CLOSE};
}

bool is_undelivered(const delivery& before, const std::optional<delivery>& after) {
  return after && after->closed && after->acknowledged == before.acknowledged;
}

}  // namespace plantainpaddle
