// What the kernel knows of the delivery of bytes that were written to a connection.
//
//   const auto before = read_delivery(fd);   // nothing is under way
//   write(fd, request); ...                  // reading ends without a byte
//   if (before && is_undelivered(*before, read_delivery(fd))) ...   // it can't have arrived
#pragma once

#include <cstdint>
#include <optional>

namespace plantainpaddle {

struct delivery {
  std::uint64_t acknowledged = 0;  // bytes, since the connection was opened
  bool closed = false;             // both sides have ended it, or it was reset
  bool operator==(const delivery&) const = default;
};

// Returns nullopt if the kernel doesn't tell.
std::optional<delivery> read_delivery(int socket);

// Whether nothing that was written after `before` can have reached the process on the other side,
// given that reading came to a regular end (no reset) without a byte. The other side's FIN
// acknowledges all that had arrived when it was sent. If it acknowledges none of the bytes, the
// other side had closed before they arrived; the reset that follows shows that it doesn't read any
// more. A reset alone shows nothing, since it acknowledges nothing.
bool is_undelivered(const delivery& before, const std::optional<delivery>& after);

}  // namespace plantainpaddle
