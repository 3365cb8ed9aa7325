#include "upstream/order_link.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>

#include "http/address.h"
#include "http/beast_message.h"
#include "http/quiet.h"

namespace plantainpaddle {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t max_answer_bytes = 64 << 10;

}  // namespace

struct order_link::state {
  struct order {
    http_request request;
    duration timeout;
    handler done;
  };

  state(const asio::any_io_executor& e, std::string a)
      : executor(e), stream(e), address(std::move(a)) {}

  // A response can only be told by its place: bytes of no order would be taken for the next one's.
  bool is_clean() { return buffer.size() == 0 && is_quiet(stream.socket().native_handle()); }

  void reset() {
    if (!open) return;
    open = false;
    beast::error_code ignored;
    stream.socket().close(ignored);
  }

  asio::any_io_executor executor;
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  std::string address;
  std::deque<order> waiting;
  bool busy = true;  // connecting, or an order is under way
  bool open = true;

  static asio::awaitable<void> carry_out(std::shared_ptr<state> link);
};

std::shared_ptr<order_link> order_link::open(asio::any_io_executor executor,
                                             const std::string& address, duration timeout,
                                             open_handler done) {
  auto self = std::make_shared<state>(executor, address);
  auto connect = [](std::shared_ptr<state> link, duration limit,
                    open_handler told) -> asio::awaitable<void> {
    const auto endpoint = parse_address(link->address);
    if (!endpoint) {
      link->open = false;
      told(endpoint.error());
      co_return co_await state::carry_out(link);
    }
    link->stream.expires_after(limit);
    auto [code] = co_await link->stream.async_connect(*endpoint, as_result);
    if (code || !link->open) {
      link->reset();
      told(error{errc::unavailable, step::connect, link->address, code.message()});
      co_return co_await state::carry_out(link);
    }
    beast::error_code ignored;
    link->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    // However it is closed, also by a timeout: what the network still holds must not arrive later.
    link->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    told(std::nullopt);
    co_await state::carry_out(link);
  };
  asio::co_spawn(executor, connect(self, timeout, std::move(done)), asio::detached);
  return std::shared_ptr<order_link>(new order_link(self));
}

order_link::~order_link() { close(); }

bool order_link::is_open() const { return state_->open; }

void order_link::close() { state_->reset(); }

void order_link::send(http_request request, duration timeout, handler done) {
  auto& self = *state_;
  self.waiting.push_back({std::move(request), timeout, std::move(done)});
  if (self.busy) return;
  self.busy = true;
  asio::co_spawn(self.executor, state::carry_out(state_), asio::detached);
}

// One order after the other, until none waits.
asio::awaitable<void> order_link::state::carry_out(std::shared_ptr<state> link) {
  while (!link->waiting.empty()) {
    auto next = std::move(link->waiting.front());
    link->waiting.pop_front();
    if (link->open && !link->is_clean()) link->reset();
    if (!link->open) {
      next.done(error{errc::cancelled, step::grant, link->address, "the link is over"});
      continue;
    }
    http::request<http::string_body> message = to_beast_request(next.request, link->address);
    link->stream.expires_after(next.timeout);
    auto [write_code, written] = co_await http::async_write(link->stream, message, as_result);
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_answer_bytes);
    beast::error_code code = write_code;
    if (!code) {
      auto [read_code, size] =
          co_await http::async_read(link->stream, link->buffer, parser, as_result);
      code = read_code;
    }
    if (code) {
      link->reset();
      const bool late = code == beast::error::timeout;
      next.done(error{late ? errc::timed_out : errc::unavailable, step::grant, link->address,
                      code.message()});
      continue;
    }
    link->stream.expires_never();
    if (!parser.get().keep_alive()) link->reset();
    next.done(from_beast_response(parser.release()));
  }
  link->busy = false;
}

}  // namespace plantainpaddle
