#include "http/server.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <set>

#include "http/listen.h"

namespace plantainpaddle {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {
constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
}

struct http_server::state : std::enable_shared_from_this<http_server::state> {
  state(asio::any_io_executor e, http_server_limits l)
      : executor(std::move(e)), limits(l), acceptor(executor) {}

  asio::any_io_executor executor;
  http_server_limits limits;
  asio::ip::tcp::acceptor acceptor;
  handler serve;
  // A connection that is open. It waits for its caller to send or to read unless it is being
  // served.
  struct connection {
    beast::tcp_stream* stream = nullptr;
    bool served = false;
    bool closing = false;
    monotonic_time since{};  // it waits
  };
  std::set<connection*> open;
  std::size_t closing = 0;  // of the open ones
  std::uint64_t limited = 0;

  bool make_room();
  asio::awaitable<void> accept_loop();
  asio::awaitable<void> session(asio::ip::tcp::socket socket);
  asio::awaitable<bool> answer(beast::tcp_stream& stream, http_response response, bool keep_alive,
                               bool head);
  asio::awaitable<bool> answer_stream(beast::tcp_stream& stream, http_response response);
};

namespace {

http_request from_beast(http::request<http::string_body>&& message) {
  http_request request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  request.body = std::move(message.body());
  return request;
}

}  // namespace

// Closes the connection that has waited for its caller for longest. False: the new one is refused.
bool http_server::state::make_room() {
  ++limited;
  if (!limits.makes_room) return false;
  connection* longest = nullptr;
  for (auto* one : open) {
    if (one->served || one->closing) continue;
    if (longest == nullptr || one->since < longest->since) longest = one;
  }
  if (longest == nullptr) return false;
  longest->closing = true;
  ++closing;
  beast::error_code ignored;
  longest->stream->socket().close(ignored);
  return true;
}

asio::awaitable<void> http_server::state::accept_loop() {
  const auto self = shared_from_this();
  while (acceptor.is_open()) {
    auto [code, socket] = co_await acceptor.async_accept(as_result);
    if (code == asio::error::operation_aborted || !acceptor.is_open()) co_return;
    if (code) continue;
    if (open.size() - closing >= limits.connections && !make_room()) continue;
    asio::co_spawn(executor, session(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> http_server::state::session(asio::ip::tcp::socket socket) {
  const auto self = shared_from_this();
  beast::tcp_stream stream(std::move(socket));
  beast::error_code ignored;
  stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  connection own{.stream = &stream};
  open.insert(&own);
  beast::flat_buffer buffer(limits.read_ahead);
  const auto local = stream.socket().local_endpoint(ignored);
  while (true) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(limits.body_bytes);
    own.served = false;
    own.since = monotonic_now();
    stream.expires_after(limits.idle_time);
    auto [code, size] = co_await http::async_read(stream, buffer, parser, as_result);
    if (code) break;
    stream.expires_never();
    own.served = true;
    const bool keep_alive = parser.get().keep_alive();
    const bool head = parser.get().method() == http::verb::head;
    http_request request = from_beast(parser.release());
    request.arrived_at = local.address().to_string();
    http_response response = co_await serve(std::move(request));
    if (response.status == 0) break;  // no answer
    own.served = false;
    own.since = monotonic_now();
    const bool again = response.stream
                           ? co_await answer_stream(stream, std::move(response))
                           : co_await answer(stream, std::move(response), keep_alive, head);
    if (!again) break;
  }
  open.erase(&own);
  if (own.closing) --closing;
}

asio::awaitable<bool> http_server::state::answer(beast::tcp_stream& stream, http_response response,
                                                 bool keep_alive, bool head) {
  http::response<http::string_body> message;
  message.result(response.status);
  message.version(11);
  for (const auto& header : response.headers) message.set(header.name, header.value);
  message.keep_alive(keep_alive);
  message.body() = std::move(response.body);
  message.prepare_payload();
  if (head) message.body().clear();
  stream.expires_after(limits.idle_time);
  auto [code, size] = co_await http::async_write(stream, message, as_result);
  co_return !code && keep_alive;
}

asio::awaitable<bool> http_server::state::answer_stream(beast::tcp_stream& stream,
                                                        http_response response) {
  http::response<http::empty_body> message;
  message.result(response.status);
  message.version(11);
  for (const auto& header : response.headers) message.set(header.name, header.value);
  message.chunked(true);
  http::response_serializer<http::empty_body> serializer(message);
  auto [code, size] = co_await http::async_write_header(stream, serializer, as_result);
  if (code) co_return false;
  while (auto chunk = co_await response.stream()) {
    auto [write_code, written] =
        co_await asio::async_write(stream, http::make_chunk(asio::buffer(*chunk)), as_result);
    if (write_code) co_return false;
  }
  co_await asio::async_write(stream, http::make_chunk_last(), as_result);
  co_return false;
}

http_server::http_server(asio::any_io_executor executor, http_server_limits limits)
    : state_(std::make_shared<state>(std::move(executor), limits)) {}

http_server::~http_server() { close(); }

result<std::string> http_server::listen(const std::string& address, handler serve) {
  auto used = open_acceptor(state_->acceptor, address);
  if (!used) return used;
  state_->serve = std::move(serve);
  asio::co_spawn(state_->executor, state_->accept_loop(), asio::detached);
  return used;
}

void http_server::close() {
  beast::error_code ignored;
  state_->acceptor.close(ignored);
  for (const auto* one : state_->open) one->stream->socket().close(ignored);
}

std::uint64_t http_server::limited() const { return state_->limited; }

}  // namespace plantainpaddle
