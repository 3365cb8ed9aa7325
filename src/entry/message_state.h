// The parsers and text buffers of an exchange, and a pool that keeps them for later exchanges, so
// that a request allocates little.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "upstream/message_parser.h"

namespace plantainpaddle {

// Reused state of one exchange.
struct message_state {
  std::optional<message_parser<true>> request;
  std::optional<message_parser<false>> response;
  std::string head;  // the head being sent, to an upstream or the caller
  std::string body;  // the held part of the request's body, decoded
  std::string request_id;
};

// Keeps up to max_free states. Each traffic thread has its own pool; not thread-safe.
class message_pool {
 public:
  static constexpr std::size_t max_free = 32;
  static constexpr std::size_t max_kept_body = 16 << 10;  // bytes of a free state's body buffer

  std::unique_ptr<message_state> take() {
    if (free_.empty()) return std::make_unique<message_state>();
    auto state = std::move(free_.back());
    free_.pop_back();
    return state;
  }

  void give(std::unique_ptr<message_state> state) {
    if (!state || free_.size() >= max_free) return;
    if (state->body.capacity() > max_kept_body) state->body = {};
    state->body.clear();
    free_.push_back(std::move(state));
  }

 private:
  std::vector<std::unique_ptr<message_state>> free_;
};

}  // namespace plantainpaddle
