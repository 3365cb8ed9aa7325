// HTTP messages of the control paths: small, whole, in memory. The data path streams and has its
// own.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plantainpaddle {

struct http_header {
  std::string name;
  std::string value;
};

struct http_request {
  std::string method = "GET";
  std::string target = "/";
  std::vector<http_header> headers;
  std::string body;
  std::string arrived_at;  // at a server: its IP address that was called
};

// The next piece of a streamed body; nothing at its end.
using chunk_source = std::function<boost::asio::awaitable<std::optional<std::string>>()>;

struct http_response {
  unsigned status = 200;  // 0: the server closes the connection without an answer
  std::vector<http_header> headers;
  std::string body;
  chunk_source stream;  // if set, the body is chunked and comes from here
};

// The first header of that name, compared without case; empty if there is none.
std::string_view find_header(const std::vector<http_header>& headers, std::string_view name);

http_response json_response(unsigned status, std::string body);

}  // namespace plantainpaddle
