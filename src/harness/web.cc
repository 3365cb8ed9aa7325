#include "harness/web.h"

#include <boost/asio/io_context.hpp>

#include "http/client.h"

namespace plantainpaddle {
namespace {

constexpr std::size_t max_answer_bytes = std::size_t{1} << 30;  // a journal of a million runs

result<std::string> body_of(const std::string& address, const http_request& request) {
  auto answer = web_call(address, request);
  if (!answer) return answer.error();
  if (answer->status != 200) {
    return error{errc::refused, step::read_answer, address,
                 request.target + ": status " + std::to_string(answer->status) + " " +
                     answer->body.substr(0, 200)};
  }
  return std::move(answer->body);
}

}  // namespace

result<http_response> web_call(const std::string& address, const http_request& request,
                               duration timeout) {
  boost::asio::io_context io(1);
  http_client client(io.get_executor(), {.body_bytes = max_answer_bytes});
  result<http_response> kept = error{errc::internal, step::send_request, address, "no answer"};
  client.send(address, request, timeout,
              [&kept](result<http_response> answer) { kept = std::move(answer); });
  io.run();
  return kept;
}

result<std::string> web_get(const std::string& address, const std::string& target) {
  return body_of(address, {"GET", target, {}, ""});
}

result<std::string> web_post(const std::string& address, const std::string& target,
                             const std::string& body) {
  return body_of(address, {"POST", target, {{"Content-Type", "application/json"}}, body});
}

}  // namespace plantainpaddle
