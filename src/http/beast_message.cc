#include "http/beast_message.h"

namespace plantainpaddle {

namespace http = boost::beast::http;

http::request<http::string_body> to_beast_request(const http_request& request,
                                                  const std::string& address) {
  http::request<http::string_body> message;
  message.method_string(request.method);
  message.target(request.target);
  message.version(11);
  message.set(http::field::host, address);
  for (const auto& header : request.headers) message.set(header.name, header.value);
  message.body() = request.body;
  message.prepare_payload();
  return message;
}

http_response from_beast_response(http::response<http::string_body>&& message) {
  http_response response;
  response.status = message.result_int();
  for (const auto& field : message) {
    response.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  response.body = std::move(message.body());
  return response;
}

}  // namespace plantainpaddle
