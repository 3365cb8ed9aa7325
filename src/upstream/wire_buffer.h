// The fixed buffer of one direction of one connection, and a pool of them.
//
//   auto buffer = buffers.take();
//   auto size = socket.read_some(buffer->space(), code);
//   buffer->end += size;
//
// A connection holds a buffer only while a message is on its way; an idle one holds none.
#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

namespace plantainpaddle {

struct wire_buffer {
  static constexpr std::size_t capacity = 32 << 10;  // bytes; a head takes at most half of it

  std::array<char, capacity> bytes;
  std::size_t begin = 0;  // first byte that isn't consumed
  std::size_t end = 0;    // behind the last byte read

  boost::asio::mutable_buffer space() { return {bytes.data() + end, capacity - end}; }
  std::string_view unread() const { return {bytes.data() + begin, end - begin}; }
  bool full() const { return end == capacity; }

  // Moves the unread bytes to `place`, which must not be behind begin.
  void move_unread(std::size_t place);
};

// Not thread-safe; one for each traffic thread.
class buffer_pool {
 public:
  static constexpr std::size_t max_free = 128;  // buffers kept for later

  std::unique_ptr<wire_buffer> take();
  void give(std::unique_ptr<wire_buffer> buffer);
  std::size_t in_use() const { return in_use_; }

 private:
  std::vector<std::unique_ptr<wire_buffer>> free_;
  std::size_t in_use_ = 0;
};

}  // namespace plantainpaddle
