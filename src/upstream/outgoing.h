// Several pieces written to a socket as one, as far as the kernel takes them at once.
//
//   outgoing pieces;
//   pieces.add(head); pieces.add(body);
//   auto code = pieces.write_some(socket);      // would_block: wait until the socket is writable
//   if (pieces.done()) ...
//
// The pieces must live until they are written.
#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "upstream/stream.h"

namespace plantainpaddle {

class outgoing {
 public:
  static constexpr std::size_t max_pieces = 5;

  void add(std::string_view piece);
  // Adds a chunk's size line, the chunk and its end; nothing for an empty one.
  void add_chunk(std::string_view chunk);
  void add_last_chunk() { add("0\r\n\r\n"); }

  // Writes until all is written or the socket takes no more: clear, would_block, or a failure.
  boost::system::error_code write_some(tcp_socket& socket);
  bool done() const { return first_ == count_; }
  std::uint64_t written() const { return written_; }

 private:
  void consume(std::size_t size);

  std::array<boost::asio::const_buffer, max_pieces> pieces_;
  std::array<char, 20> size_line_{};
  std::size_t first_ = 0;
  std::size_t count_ = 0;
  std::uint64_t written_ = 0;
};

}  // namespace plantainpaddle
