// Each connection has two pumps, one for each direction. A pump reads a piece, waits for as long as
// its direction is held, and then writes or drops the piece. A change of the fault wakes all pumps.

#include "standin/relay.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <map>
#include <set>

#include "base/json.h"
#include "http/address.h"
#include "http/listen.h"

namespace plantainpaddle {

namespace asio = boost::asio;
namespace json = boost::json;
using tcp = asio::ip::tcp;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t piece_bytes = 16 << 10;
constexpr std::size_t max_control_bytes = 64 << 10;
constexpr std::int64_t max_delay_ms = 60'000;

bool covers(relay_direction fault, relay_direction way) {
  return fault == relay_direction::both || fault == way;
}

}  // namespace

struct fault_relay::connection {
  connection(tcp::socket from, const asio::any_io_executor& executor, relay_fault f)
      : caller(std::move(from)), target(executor), changed(executor), fault(f) {
    changed.expires_at(asio::steady_timer::time_point::max());
  }
  tcp::socket caller;
  tcp::socket target;
  asio::steady_timer changed;  // cancelled to wake the pumps
  relay_fault fault;
  bool forgets_up = false;
  bool forgets_down = false;

  bool& forgets(relay_direction way) {
    return way == relay_direction::up ? forgets_up : forgets_down;
  }
  bool holds(relay_direction way) const {
    return fault.mode == relay_mode::hold && covers(fault.direction, way);
  }

  void apply(const relay_fault& next) {
    fault = next;
    if (next.mode == relay_mode::forget) {
      forgets_up |= covers(next.direction, relay_direction::up);
      forgets_down |= covers(next.direction, relay_direction::down);
    }
    if (next.mode == relay_mode::cut) close();
    changed.cancel();
  }

  void close() {
    boost::system::error_code ignored;
    caller.set_option(asio::socket_base::linger(true, 0), ignored);
    caller.close(ignored);
    target.close(ignored);
    changed.cancel();
  }
};

struct fault_relay::route {
  route(const asio::any_io_executor& executor, tcp::endpoint to) : acceptor(executor), target(to) {}
  tcp::acceptor acceptor;
  tcp::endpoint target;
  relay_fault fault;
  std::set<std::shared_ptr<connection>> open;
  std::uint64_t accepted = 0;
};

struct fault_relay::state : std::enable_shared_from_this<fault_relay::state> {
  explicit state(asio::any_io_executor e) : executor(std::move(e)) {}
  asio::any_io_executor executor;
  std::map<std::string, std::shared_ptr<route>> routes;

  asio::awaitable<void> accept_loop(std::shared_ptr<route> on) {
    const auto self = shared_from_this();
    while (on->acceptor.is_open()) {
      auto [code, socket] = co_await on->acceptor.async_accept(as_result);
      if (!on->acceptor.is_open()) co_return;
      if (code) continue;
      ++on->accepted;
      const relay_fault fault = on->fault.only_existing ? relay_fault{} : on->fault;
      auto made = std::make_shared<connection>(std::move(socket), executor, fault);
      if (fault.mode == relay_mode::cut) {
        made->close();
        continue;
      }
      made->apply(fault);
      on->open.insert(made);
      asio::co_spawn(executor, run(on, made), asio::detached);
    }
  }

  asio::awaitable<void> run(std::shared_ptr<route> on, std::shared_ptr<connection> c) {
    boost::system::error_code ignored;
    c->caller.set_option(tcp::no_delay(true), ignored);
    auto [code] = co_await c->target.async_connect(on->target, as_result);
    if (code) {
      c->close();
      on->open.erase(c);
      co_return;
    }
    c->target.set_option(tcp::no_delay(true), ignored);
    asio::co_spawn(executor, pump(on, c, relay_direction::up), asio::detached);
    asio::co_spawn(executor, pump(on, c, relay_direction::down), asio::detached);
  }

  asio::awaitable<void> pump(std::shared_ptr<route> on, std::shared_ptr<connection> c,
                             relay_direction way) {
    tcp::socket& from = way == relay_direction::up ? c->caller : c->target;
    tcp::socket& to = way == relay_direction::up ? c->target : c->caller;
    std::array<char, piece_bytes> piece{};
    while (true) {
      auto [code, size] = co_await from.async_read_some(asio::buffer(piece), as_result);
      while (c->holds(way) && to.is_open()) co_await c->changed.async_wait(as_result);
      if (c->forgets(way)) {
        if (code) co_return;  // the other side never learns of it
        continue;
      }
      if (code) break;
      if (c->fault.delay.count() > 0) {
        asio::steady_timer timer(executor);
        timer.expires_after(c->fault.delay);
        co_await timer.async_wait(as_result);
      }
      auto [write_code, written] =
          co_await asio::async_write(to, asio::buffer(piece.data(), size), as_result);
      if (write_code) break;
    }
    c->close();
    on->open.erase(c);
  }
};

fault_relay::fault_relay(asio::any_io_executor executor)
    : state_(std::make_shared<state>(std::move(executor))) {}

fault_relay::~fault_relay() { close(); }

void fault_relay::close() {
  for (auto& [name, on] : state_->routes) {
    boost::system::error_code ignored;
    on->acceptor.close(ignored);
    for (const auto& c : on->open) c->close();
    on->open.clear();
  }
}

result<std::string> fault_relay::add(const std::string& name, const std::string& listen,
                                     const std::string& to) {
  const auto target = parse_address(to);
  if (!target) return target.error();
  if (state_->routes.contains(name)) {
    return error{errc::conflict, step::listen, name, "there is such a route"};
  }
  auto made = std::make_shared<route>(state_->executor, *target);
  auto used = open_acceptor(made->acceptor, listen);
  if (!used) return used;
  state_->routes[name] = made;
  asio::co_spawn(state_->executor, state_->accept_loop(made), asio::detached);
  return used;
}

bool fault_relay::set(const std::string& name, const relay_fault& fault) {
  bool found = false;
  for (auto& [route_name, on] : state_->routes) {
    if (!name.empty() && route_name != name) continue;
    found = true;
    on->fault = fault;
    const auto open = on->open;  // a cut changes the set
    for (const auto& c : open) c->apply(fault);
  }
  return found;
}

http_response fault_relay::handle(const http_request& request) {
  const auto refuse = [](unsigned status, const std::string& why) {
    return json_response(status, json::serialize(json::object{{"error", why}}));
  };
  if (request.method == "GET") {
    json::object out;
    for (const auto& [name, on] : state_->routes) {
      out[name] = json::object{{"open", on->open.size()}, {"accepted", on->accepted}};
    }
    return json_response(200, json::serialize(out));
  }
  const auto value = parse_json(request.body, step::settings, max_control_bytes);
  if (!value) return refuse(400, to_string(value.error()));
  error_list errors;
  object_reader reader(*value, "$", step::settings, errors);
  if (request.target == "/control/routes") {
    const std::string name = reader.text("name");
    const std::string listen = reader.text("listen", "127.0.0.1:0");
    const std::string to = reader.text("to");
    reader.finish();
    if (!errors.empty()) return refuse(400, to_string(join_errors(errors)));
    const auto added = add(name, listen, to);
    if (!added) return refuse(409, to_string(added.error()));
    return json_response(200, json::serialize(json::object{{"listen", *added}}));
  }
  if (request.target == "/control/fault") {
    const std::string name = reader.text("route", "");
    relay_fault fault;
    fault.mode =
        static_cast<relay_mode>(reader.choice("mode", {"pass", "hold", "cut", "forget"}, 0));
    fault.direction =
        static_cast<relay_direction>(reader.choice("direction", {"both", "up", "down"}, 0));
    fault.only_existing = reader.choice("connections", {"all", "existing"}, 0) == 1;
    fault.delay = milliseconds(reader.integer("delay_ms", 0, max_delay_ms, 0));
    reader.finish();
    if (!errors.empty()) return refuse(400, to_string(join_errors(errors)));
    return set(name, fault) ? json_response(200, "{}") : refuse(404, "no such route");
  }
  return refuse(404, "no such page");
}

}  // namespace plantainpaddle
