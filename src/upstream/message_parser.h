// HTTP/1.1 messages parsed in place in a wire_buffer, without allocation: Boost.Beast's parser with
// fields as views into the buffer and body bytes gathered where they were read.
//
//   message_parser<true> parser;
//   parser.parse_head(*buffer, head_size, code);       // a whole head, up to its empty line
//   parser.parse_body(*buffer, code);                  // as often as bytes come
//   forward(parser.body());  parser.clear_body();      // decoded bytes since the last clear
//
// All views point into the buffer, and live as long as its head isn't moved. Folded lines (RFC
// 9112, 5.2) are unfolded there. Trailers are dropped.
#pragma once

#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <span>
#include <string_view>

#include "upstream/wire_buffer.h"

namespace plantainpaddle {

struct head_field {
  boost::beast::http::field id = boost::beast::http::field::unknown;
  std::string_view name;
  std::string_view value;
};

inline constexpr std::size_t max_head_fields = 100;
inline constexpr std::size_t max_head_bytes = wire_buffer::capacity / 2;

// Replaces the line end of each folded field line in the head, the first head_size unread bytes, by
// blanks. A blank line start behind the start line is left for the parser to refuse.
void unfold_head(wire_buffer& buffer, std::size_t head_size);

template <bool is_request>
class message_parser final : public boost::beast::http::basic_parser<is_request> {
  using base = boost::beast::http::basic_parser<is_request>;
  using text = boost::beast::string_view;
  using code = boost::beast::error_code;

 public:
  message_parser() {
    base::header_limit(max_head_bytes);
    base::body_limit(boost::none);
  }

  void parse_head(wire_buffer& buffer, std::size_t head_size, code& ec) {
    unfold_head(buffer, head_size);
    base::eager(false);
    buffer.begin += base::put(boost::asio::const_buffer(buffer.unread().data(), head_size), ec);
    base::eager(true);
  }

  // Consumes body bytes of the buffer; code is clear if more are wanted or the body is whole.
  void parse_body(wire_buffer& buffer, code& ec) {
    ec = {};
    if (base::is_done() || buffer.begin == buffer.end) return;
    // Beast's parser asserts that what it asked for, after the size line of a last chunk, came
    // whole.
    if (wants_more_ && buffer.unread().size() < shortest_last_chunk) return;
    bytes_ = buffer.bytes.data();
    buffer.begin +=
        base::put(boost::asio::const_buffer(buffer.unread().data(), buffer.unread().size()), ec);
    wants_more_ = ec == boost::beast::http::error::need_more;
    if (wants_more_) ec = {};
  }

  std::span<const head_field> fields() const { return {fields_.data(), count_}; }
  std::string_view find(boost::beast::http::field id) const {
    for (const auto& field : fields()) {
      if (field.id == id) return field.value;
    }
    return {};
  }
  std::string_view find(std::string_view name) const {
    for (const auto& field : fields()) {
      if (boost::beast::iequals(field.name, name)) return field.value;
    }
    return {};
  }
  // Returns an empty value if the field occurs twice, too.
  std::string_view find_single(std::string_view name) const {
    std::string_view found;
    int occurrences = 0;
    for (const auto& field : fields()) {
      if (!boost::beast::iequals(field.name, name)) continue;
      found = field.value;
      ++occurrences;
    }
    return occurrences == 1 ? found : std::string_view();
  }

  boost::beast::http::verb method() const { return method_; }
  std::string_view method_text() const { return method_text_; }
  std::string_view target() const { return target_; }
  unsigned status() const { return status_; }
  std::string_view reason() const { return reason_; }

  // Decoded body bytes since the last clear_body(), one contiguous piece of the buffer.
  std::string_view body() const { return body_; }
  void clear_body() { body_ = {}; }
  std::uint64_t body_bytes() const { return body_bytes_; }  // decoded so far, all of them

 private:
  void on_request_impl(boost::beast::http::verb method, text method_text, text target, int,
                       code&) override {
    method_ = method;
    method_text_ = method_text;
    target_ = target;
  }
  void on_response_impl(int status, text reason, int, code&) override {
    status_ = static_cast<unsigned>(status);
    reason_ = reason;
  }
  void on_field_impl(boost::beast::http::field id, text name, text value, code& ec) override {
    if (head_done_) return;
    if (count_ == fields_.size()) {
      ec = boost::beast::http::error::header_limit;
      return;
    }
    fields_[count_++] = {id, name, value};
  }
  void on_header_impl(code&) override { head_done_ = true; }
  void on_body_init_impl(const boost::optional<std::uint64_t>&, code&) override {}
  std::size_t on_body_impl(text bytes, code&) override { return gather(bytes); }
  void on_chunk_header_impl(std::uint64_t, text, code&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, text bytes, code&) override {
    return gather(bytes);
  }
  void on_finish_impl(code&) override {}

  // Closes the gap that a chunk's frame leaves between two pieces: the decoded bytes never reach
  // beyond those already consumed.
  std::size_t gather(text bytes) {
    if (body_.empty()) {
      body_ = bytes;
    } else {
      char* end = bytes_ + (body_.data() + body_.size() - bytes_);
      if (end != bytes.data()) std::memmove(end, bytes.data(), bytes.size());
      body_ = {body_.data(), body_.size() + bytes.size()};
    }
    body_bytes_ += bytes.size();
    return bytes.size();
  }

  static constexpr std::size_t shortest_last_chunk = std::string_view("0\r\n\r\n").size();

  std::array<head_field, max_head_fields> fields_;
  std::size_t count_ = 0;
  bool head_done_ = false;
  bool wants_more_ = false;
  boost::beast::http::verb method_ = boost::beast::http::verb::unknown;
  std::string_view method_text_;
  std::string_view target_;
  std::string_view reason_;
  unsigned status_ = 0;
  char* bytes_ = nullptr;
  std::string_view body_;
  std::uint64_t body_bytes_ = 0;
};

}  // namespace plantainpaddle
