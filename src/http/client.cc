#include "http/client.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "http/address.h"
#include "http/beast_message.h"
#include "http/quiet.h"

namespace plantainpaddle {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {
constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr duration stream_connect_timeout = seconds(2);
constexpr int max_response_timeouts = 10;  // a whole response may take so many time-outs
}  // namespace

struct http_client::connection {
  explicit connection(const asio::any_io_executor& executor) : stream(executor) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  monotonic_time idle_since{};
};

struct http_client::state {
  asio::any_io_executor executor;
  http_client_limits limits;
  traffic_counter traffic;
  std::map<std::string, std::vector<std::unique_ptr<connection>>> idle;

  std::unique_ptr<connection> take_idle(const std::string& address) {
    auto& waiting = idle[address];
    const auto oldest = monotonic_now() - limits.idle_time;
    while (!waiting.empty()) {
      auto taken = std::move(waiting.back());
      waiting.pop_back();
      const bool clean =
          taken->buffer.size() == 0 && is_quiet(taken->stream.socket().native_handle());
      if (clean && taken->idle_since >= oldest) return taken;
    }
    return nullptr;
  }

  void keep(const std::string& address, std::unique_ptr<connection> done) {
    auto& waiting = idle[address];
    if (waiting.size() >= limits.idle_per_address) return;
    done->idle_since = monotonic_now();
    waiting.push_back(std::move(done));
  }
};

namespace {

// Lets http_call::cancel() close a connection as long as a call uses it.
class stop_guard {
 public:
  stop_guard(std::shared_ptr<http_call> call, beast::tcp_stream& stream) : call_(std::move(call)) {
    if (call_) call_->stop = [&stream] { stream.close(); };
  }
  ~stop_guard() {
    if (call_) call_->stop = nullptr;
  }
  stop_guard(const stop_guard&) = delete;
  stop_guard& operator=(const stop_guard&) = delete;

 private:
  std::shared_ptr<http_call> call_;
};

error failed(const beast::error_code& code, step at, const std::string& address, errc otherwise) {
  const bool timeout = code == beast::error::timeout;
  return error{timeout ? errc::timed_out : otherwise, at, address, code.message()};
}

}  // namespace

http_client::http_client(asio::any_io_executor executor, http_client_limits limits)
    : state_(std::make_shared<state>()) {
  state_->executor = std::move(executor);
  state_->limits = limits;
}

http_client::~http_client() = default;

traffic_totals http_client::traffic() const { return state_->traffic.totals(); }

void http_client::forget(const std::string& address) { state_->idle.erase(address); }

void http_client::send(const std::string& address, http_request request, duration timeout,
                       handler done, bool fresh, std::shared_ptr<http_call> call) {
  auto work = [](std::shared_ptr<state> self, std::string address, http_request request,
                 duration timeout, bool fresh,
                 std::shared_ptr<http_call> call) -> asio::awaitable<result<http_response>> {
    const auto endpoint = parse_address(address);
    if (!endpoint) co_return endpoint.error();
    auto used = fresh ? nullptr : self->take_idle(address);
    const bool connected = used != nullptr;
    if (!connected) used = std::make_unique<connection>(self->executor);
    const stop_guard guard(call, used->stream);
    if (!connected) {
      used->stream.expires_after(timeout);
      auto [code] = co_await used->stream.async_connect(*endpoint, as_result);
      if (code) {
        // Nothing was sent, so that even a timeout here means: not received.
        co_return error{errc::unavailable, step::connect, address, code.message()};
      }
      beast::error_code ignored;
      used->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    }
    used->stream.expires_after(timeout);
    auto message = to_beast_request(request, address);
    auto [write_code, written] = co_await http::async_write(used->stream, message, as_result);
    self->traffic.sent(written);
    if (write_code) co_return failed(write_code, step::send_request, address, errc::protocol);
    http::response_parser<http::string_body> parser;
    parser.body_limit(self->limits.body_bytes);
    std::size_t size = 0;
    const auto last = monotonic_now() + timeout * max_response_timeouts;
    while (!parser.is_done()) {
      used->stream.expires_after(std::min<duration>(timeout, last - monotonic_now()));
      auto [code, part] =
          co_await http::async_read_some(used->stream, used->buffer, parser, as_result);
      self->traffic.received(part);
      size += part;
      if (code) {
        error e = failed(code, step::read_answer, address, errc::protocol);
        e.detail += ", " + std::to_string(size) + " bytes received";
        co_return e;
      }
      if (call && call->on_progress) call->on_progress();
    }
    used->stream.expires_never();
    const bool keep = parser.get().keep_alive();
    http_response response = from_beast_response(parser.release());
    if (keep) self->keep(address, std::move(used));
    co_return response;
  };
  asio::co_spawn(state_->executor,
                 work(state_, address, std::move(request), timeout, fresh, std::move(call)),
                 [done = std::move(done), address](const std::exception_ptr& thrown,
                                                   result<http_response> answer) {
                   if (thrown) {
                     done(error{errc::internal, step::send_request, address, "exception"});
                   } else {
                     done(std::move(answer));
                   }
                 });
}

std::shared_ptr<void> http_client::stream(const std::string& address, http_request request,
                                          duration idle, chunk_handler on_line) {
  struct token {
    std::shared_ptr<connection> used;
    chunk_handler on_line;
    bool stopped = false;
  };
  auto shared = std::make_shared<token>();
  shared->used = std::make_shared<connection>(state_->executor);
  shared->on_line = std::move(on_line);
  auto work = [](std::shared_ptr<state> client, std::shared_ptr<token> self, std::string address,
                 http_request request, duration idle) -> asio::awaitable<void> {
    const std::size_t limit = client->limits.body_bytes;
    const auto end = [&](error e) {
      if (!self->stopped) self->on_line(std::move(e));
    };
    const auto endpoint = parse_address(address);
    if (!endpoint) co_return end(endpoint.error());
    auto& stream = self->used->stream;
    stream.expires_after(std::min<duration>(idle, stream_connect_timeout));
    auto [code] = co_await stream.async_connect(*endpoint, as_result);
    if (code) co_return end(failed(code, step::connect, address, errc::unavailable));
    auto message = to_beast_request(request, address);
    auto [write_code, written] = co_await http::async_write(stream, message, as_result);
    client->traffic.sent(written);
    if (write_code) co_return end(failed(write_code, step::send_request, address, errc::protocol));
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    std::string text;
    while (!self->stopped) {
      stream.expires_after(idle);
      auto [read_code, size] =
          co_await http::async_read_some(stream, self->used->buffer, parser, as_result);
      client->traffic.received(size);
      if (read_code) co_return end(failed(read_code, step::read_answer, address, errc::protocol));
      if (parser.is_header_done() && parser.get().result_int() != 200) {
        co_return end({errc::unavailable, step::read_answer, address,
                       "status " + std::to_string(parser.get().result_int())});
      }
      text += parser.get().body();
      parser.get().body().clear();
      if (text.size() > limit) {
        co_return end({errc::limit_exceeded, step::read_answer, address, "a line is too long"});
      }
      for (auto line_end = text.find('\n'); line_end != std::string::npos && !self->stopped;
           line_end = text.find('\n')) {
        std::string line = text.substr(0, line_end);
        text.erase(0, line_end + 1);
        self->on_line(std::move(line));
      }
      if (parser.is_done()) co_return end({errc::unavailable, step::read_answer, address, "ended"});
    }
  };
  asio::co_spawn(state_->executor, work(state_, shared, address, std::move(request), idle),
                 asio::detached);
  // Not a null pointer: the owner asks the token whether it has a stream.
  return {static_cast<void*>(shared.get()), [shared](void*) {
            shared->stopped = true;
            beast::error_code ignored;
            shared->used->stream.socket().close(ignored);
          }};
}

}  // namespace plantainpaddle
