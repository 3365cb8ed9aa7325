#include "upstream/wire_buffer.h"

#include <cstring>

namespace plantainpaddle {

void wire_buffer::move_unread(std::size_t place) {
  const std::size_t size = end - begin;
  if (size != 0 && place != begin) std::memmove(bytes.data() + place, bytes.data() + begin, size);
  begin = place;
  end = place + size;
}

std::unique_ptr<wire_buffer> buffer_pool::take() {
  ++in_use_;
  if (free_.empty()) return std::unique_ptr<wire_buffer>(new wire_buffer);  // bytes stay unset
  auto buffer = std::move(free_.back());
  free_.pop_back();
  buffer->begin = buffer->end = 0;
  return buffer;
}

void buffer_pool::give(std::unique_ptr<wire_buffer> buffer) {
  if (!buffer) return;
  --in_use_;
  if (free_.size() < max_free) free_.push_back(std::move(buffer));
}

}  // namespace plantainpaddle
