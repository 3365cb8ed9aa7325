#include "http/message.h"

#include <boost/beast/core/string.hpp>

namespace plantainpaddle {

std::string_view find_header(const std::vector<http_header>& headers, std::string_view name) {
  for (const auto& header : headers) {
    if (boost::beast::iequals(header.name, name)) return header.value;
  }
  return {};
}

http_response json_response(unsigned status, std::string body) {
  http_response response;
  response.status = status;
  response.headers.push_back({"Content-Type", "application/json"});
  response.body = std::move(body);
  return response;
}

}  // namespace plantainpaddle
