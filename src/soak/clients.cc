#include "soak/clients.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <random>

#include "http/address.h"
#include "load/exchange.h"
#include "platform/platform_headers.h"
#include "soak/layout.h"

namespace plantainpaddle {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr duration connect_timeout = seconds(1);
constexpr duration least_reconnect_pause = milliseconds(5);
constexpr duration most_reconnect_pause = milliseconds(150);
constexpr duration longest_first_wait = milliseconds(5500);
constexpr duration give_up_margin = seconds(1);  // beyond the time budget
constexpr std::size_t longest_pipeline = 6;

enum class client_kind { steady, pipeliner, uploader, waiter, adjuster };
constexpr std::size_t client_kinds = 5;

class client_pool {
 public:
  explicit client_pool(const soak_load& load) : load_(load) {}

  std::vector<soak_request> run() {
    until_ = monotonic_now() + load_.length;
    const std::size_t count = load_.instances.size() * load_.clients_per_instance;
    for (std::size_t i = 0; i < count; ++i) asio::co_spawn(io_, run_client(i), asio::detached);
    io_.run();
    return std::move(requests_);
  }

 private:
  struct client {
    std::size_t number;
    std::string address;
    client_kind kind;
    std::mt19937_64 random;

    duration draw(duration least, duration most) {
      return least + duration(static_cast<duration::rep>(
                         random() % static_cast<std::uint64_t>((most - least).count() + 1)));
    }
    bool chance(std::size_t percent) { return random() % 100 < percent; }
  };

  asio::awaitable<void> sleep(duration length) {
    asio::steady_timer timer(io_);
    timer.expires_after(length);
    co_await timer.async_wait(as_result);
  }

  asio::awaitable<void> run_client(std::size_t number) {
    client self{number, load_.instances[number % load_.instances.size()],
                static_cast<client_kind>(number / load_.instances.size() % client_kinds),
                std::mt19937_64(load_.seed * 1'000'003 + number)};
    const auto endpoint = parse_address(self.address);
    while (monotonic_now() < until_) {
      load_connection connection(io_.get_executor());
      connection.stream.expires_after(connect_timeout);
      auto [code] = co_await connection.stream.async_connect(*endpoint, as_result);
      if (!code) {
        beast::error_code ignored;
        connection.stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        co_await use_connection(self, connection);
      }
      co_await sleep(self.draw(least_reconnect_pause, most_reconnect_pause));
    }
  }

  asio::awaitable<void> use_connection(client& self, load_connection& connection) {
    const std::uint64_t number = ++connections_;
    std::size_t answered = 0;
    if (self.kind == client_kind::waiter) {
      co_await sleep(self.draw(duration{0}, longest_first_wait));
    }
    while (monotonic_now() < until_) {
      const std::size_t count =
          self.kind == client_kind::pipeliner ? 1 + self.random() % longest_pipeline : 1;
      std::vector<std::size_t> places;
      std::vector<exchange_spec> specs;
      std::vector<sent_request> sent;
      for (std::size_t i = 0; i < count; ++i) {
        const std::size_t place = requests_.size();
        places.push_back(place);
        requests_.push_back(
            {.seen = make_record(self), .connection = number, .behind = i, .before = answered});
        specs.push_back(make_spec(self, requests_[place]));
      }
      for (std::size_t i = 0; i < count; ++i) {
        requests_[places[i]].seen.scheduled = monotonic_now().time_since_epoch();
        sent.push_back(co_await send_request(connection, specs[i]));
        if (!sent[i].code) requests_[places[i]].sent = monotonic_now().time_since_epoch();
      }
      bool open = true;
      for (std::size_t i = 0; i < count; ++i) {
        exchange_answer answer;
        answer.detail = "behind an answer that closes the connection";
        if (open) answer = co_await read_answer(connection, specs[i], sent[i]);
        open = open && answer.reusable;
        finish(requests_[places[i]], std::move(answer));
      }
      if (!open) co_return;
      answered += count;
      co_await sleep(pause_of(self));
    }
  }

  static duration pause_of(client& self) {
    if (self.kind == client_kind::waiter || self.chance(3)) {
      return self.draw(milliseconds(100), milliseconds(2500));
    }
    return self.draw(milliseconds(5), milliseconds(80));
  }

  load_record make_record(const client& self) {
    load_record record;
    record.id = "soak-" + std::to_string(load_.seed) + "-" + std::to_string(self.number) + "-" +
                std::to_string(requests_.size());
    record.target = self.address;
    return record;
  }

  static exchange_spec make_spec(client& self, soak_request& request) {
    load_record& record = request.seen;
    const bool safe = self.kind == client_kind::steady
                          ? self.chance(70)
                          : self.kind == client_kind::pipeliner ||
                                (self.kind == client_kind::waiter && self.chance(50));
    const auto& route = self.kind == client_kind::uploader   ? upload_route
                        : self.kind == client_kind::adjuster ? adjust_route
                        : safe                               ? stock_route
                                                             : order_route;
    record.klass = route.klass;
    record.service = route.service;
    record.once = route.once;
    // Some keys are far busier than others.
    record.shard = static_cast<std::uint32_t>(self.chance(30) ? self.random() % 4 * 16'384
                                                              : self.random() % 65'536);
    request.budget = route.budget;
    exchange_spec spec{.names = platform_header_names,
                       .method = std::string(route.method),
                       .target = std::string(route.prefix) + std::to_string(record.shard),
                       .host = "localhost",
                       .id = record.id,
                       .key_header = route.keyed ? std::string(platform_key_header) : "",
                       .key = std::to_string(record.shard),
                       .klass = record.klass,
                       .upload_bytes = route.upload_bytes,
                       .answer_bytes = self.chance(90) ? 400U : 40'000U,
                       .busy = self.chance(90) ? self.draw(milliseconds(1), milliseconds(20))
                                               : self.draw(milliseconds(100), milliseconds(1700)),
                       .deadline = route.budget,
                       .give_up = route.budget + give_up_margin};
    if (spec.upload_bytes > 4096) {
      spec.upload_bytes = spec.upload_bytes / 8 * (1 + self.random() % 8);
      if (self.chance(40)) spec.slow_bytes_per_second = spec.upload_bytes;
    }
    return spec;
  }

  static void finish(soak_request& request, exchange_answer answer) {
    request.seen.outcome = answer.outcome;
    request.seen.status = answer.status;
    request.seen.upstream = std::move(answer.upstream);
    request.seen.detail = std::move(answer.detail);
    request.seen.end = monotonic_now().time_since_epoch();
  }

  soak_load load_;
  monotonic_time until_{};
  asio::io_context io_{1};
  std::vector<soak_request> requests_;
  std::uint64_t connections_ = 0;
};

}  // namespace

std::vector<soak_request> run_clients(const soak_load& load) { return client_pool(load).run(); }

}  // namespace plantainpaddle
