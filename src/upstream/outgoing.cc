#include "upstream/outgoing.h"

#include <charconv>
#include <span>

namespace plantainpaddle {

void outgoing::add(std::string_view piece) {
  if (!piece.empty()) pieces_[count_++] = boost::asio::buffer(piece);
}

void outgoing::add_chunk(std::string_view chunk) {
  if (chunk.empty()) return;
  char* const start = size_line_.data();
  char* end = std::to_chars(start, start + size_line_.size() - 2, chunk.size(), 16).ptr;
  *end++ = '\r';
  *end++ = '\n';
  add({start, static_cast<std::size_t>(end - start)});
  add(chunk);
  add("\r\n");
}

boost::system::error_code outgoing::write_some(tcp_socket& socket) {
  boost::system::error_code code;
  while (!done()) {
    const std::span<const boost::asio::const_buffer> left(pieces_.data() + first_, count_ - first_);
    consume(socket.write_some(left, code));
    if (code) break;
  }
  return code;
}

void outgoing::consume(std::size_t size) {
  written_ += size;
  while (size != 0) {
    auto& piece = pieces_[first_];
    const std::size_t taken = std::min(size, piece.size());
    piece += taken;
    size -= taken;
    if (piece.size() == 0) ++first_;
  }
}

}  // namespace plantainpaddle
