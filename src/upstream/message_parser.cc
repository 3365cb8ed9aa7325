// Beast unfolds a folded value into an array on the stack of its parser, so that a view of the
// value would outlive the bytes. Without folds, it passes views of the parsed bytes only.
#include "upstream/message_parser.h"

namespace plantainpaddle {

void unfold_head(wire_buffer& buffer, std::size_t head_size) {
  constexpr std::string_view line_end = "\r\n";
  char* const bytes = buffer.bytes.data() + buffer.begin;
  const std::string_view head(bytes, head_size);
  auto end = head.find(line_end);  // of the start line
  if (end == std::string_view::npos) return;
  end = head.find(line_end, end + line_end.size());
  while (end != std::string_view::npos) {
    const auto next = end + line_end.size();
    if (next < head.size() && (head[next] == ' ' || head[next] == '\t')) {
      bytes[end] = bytes[end + 1] = ' ';
    }
    end = head.find(line_end, next);
  }
}

}  // namespace plantainpaddle
