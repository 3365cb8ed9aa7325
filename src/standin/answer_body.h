// Answer bodies that a caller can check byte by byte: a first line in JSON that repeats the
// request, then bytes that follow from the request id.
//
//   std::string head = format_answer_head({upstream, target, id, received, checksum, size});
//   fill_pattern(pattern_seed(id), offset, buffer, length);
//
// The same pattern fills request bodies, so that both sides can check without keeping them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/error.h"

namespace plantainpaddle {

// Request headers that steer one request at the stand-in; routers pass them on unread.
inline constexpr std::string_view standin_class_header = "Standin-Class";
inline constexpr std::string_view standin_size_header = "Standin-Size";  // bytes after the head
inline constexpr std::string_view standin_busy_header = "Standin-Busy-Us";

// Hash of a stream of bytes, in pieces of any length.
class running_checksum {
 public:
  void add(std::string_view bytes);
  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 14695981039346656037ULL;
};

struct answer_head {
  std::string upstream;
  std::string target;
  std::string id;
  std::uint64_t received = 0;  // bytes of the request's body
  std::uint64_t checksum = 0;  // of the request's body
  std::uint64_t size = 0;      // bytes that follow the line

  bool operator==(const answer_head&) const = default;
};

// One line with its end.
std::string format_answer_head(const answer_head& head);
result<answer_head> parse_answer_head(std::string_view line);

std::uint64_t pattern_seed(std::string_view request_id);
void fill_pattern(std::uint64_t seed, std::uint64_t offset, char* out, std::size_t length);

}  // namespace plantainpaddle
