// The parsers and texts of one exchange, kept for the next one.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "upstream/message_parser.h"

namespace plantainpaddle {

struct message_state {
  std::optional<message_parser<true>> request;
  std::optional<message_parser<false>> response;
  std::string head;  // the head that is being sent
  std::string body;  // the request's, decoded, as far as it is held
  std::string request_id;
};

// Not thread-safe; one for each traffic thread.
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
