// The link over which orders go: however it ends, nothing of it is delivered later.
#include "upstream/order_link.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>

#include "http/address.h"

namespace plantainpaddle {

namespace {

namespace asio = boost::asio;

// An upstream that takes one connection and plays a script on its blocking socket.
class one_connection {
 public:
  explicit one_connection(std::function<void(asio::ip::tcp::socket&)> play)
      : acceptor_(io_, {asio::ip::make_address("127.0.0.1"), 0}),
        address_(format_address(acceptor_.local_endpoint())),
        thread_([this, play = std::move(play)] {
          asio::ip::tcp::socket socket(io_);
          boost::system::error_code code;
          acceptor_.accept(socket, code);
          if (!code) play(socket);
        }) {}
  ~one_connection() { thread_.join(); }
  one_connection(const one_connection&) = delete;
  one_connection& operator=(const one_connection&) = delete;
  const std::string& address() const { return address_; }

 private:
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  std::string address_;
  std::thread thread_;
};

std::string read_some(asio::ip::tcp::socket& socket, boost::system::error_code& code) {
  std::string bytes(4096, ' ');
  bytes.resize(socket.read_some(asio::buffer(bytes), code));
  return bytes;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(order_links)

BOOST_AUTO_TEST_CASE(a_timeout_resets_the_connection) {
  boost::system::error_code seen;
  std::optional<error> told;
  {
    one_connection upstream([&](asio::ip::tcp::socket& socket) {
      read_some(socket, seen);  // the order
      read_some(socket, seen);  // what ends the connection
    });
    asio::io_context io;
    auto link = order_link::open(
        io.get_executor(), upstream.address(), seconds(5),
        [](const std::optional<error>& failure) { BOOST_TEST(!failure.has_value()); });
    link->send({"POST", "/grant", {}, "{}"}, milliseconds(50),
               [&](const result<http_response>& answer) {
                 if (!answer) told = answer.error();
               });
    io.run();
    BOOST_TEST(!link->is_open());
  }
  BOOST_REQUIRE(told.has_value());
  BOOST_TEST((told->code == errc::timed_out));
  // An orderly end would let the kernel deliver what it still holds.
  BOOST_TEST((seen == asio::error::connection_reset));
}

BOOST_AUTO_TEST_CASE(orders_go_one_after_the_other_until_the_upstream_closes) {
  one_connection upstream([](asio::ip::tcp::socket& socket) {
    boost::system::error_code code;
    for (const auto* connection : {"keep-alive", "close"}) {
      read_some(socket, code);
      const std::string answer =
          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: " + std::string(connection) +
          "\r\n\r\n";
      asio::write(socket, asio::buffer(answer), code);
    }
  });
  asio::io_context io;
  int answered = 0;
  int failed = 0;
  auto link = order_link::open(io.get_executor(), upstream.address(), seconds(5),
                               [](const std::optional<error>&) {});
  for (int i = 0; i < 3; ++i) {
    link->send({"POST", "/grant", {}, "{}"}, seconds(5),
               [&](const result<http_response>& answer) { ++(answer ? answered : failed); });
  }
  io.run();
  BOOST_TEST(answered == 2);
  BOOST_TEST(failed == 1);
  BOOST_TEST(!link->is_open());
}

// Guards against a late copy of a response that is taken for the response to the next order.
BOOST_AUTO_TEST_CASE(bytes_of_no_order_end_the_link) {
  const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  for (const bool at_once : {true, false}) {
    one_connection upstream([&](asio::ip::tcp::socket& socket) {
      boost::system::error_code code;
      read_some(socket, code);
      asio::write(socket, asio::buffer(at_once ? response + response : response), code);
      if (!at_once) asio::write(socket, asio::buffer(response), code);
      read_some(socket, code);
    });
    asio::io_context io;
    auto link = order_link::open(io.get_executor(), upstream.address(), seconds(5),
                                 [](const std::optional<error>&) {});
    for (const bool answered : {true, false}) {
      bool told = false;
      link->send({"POST", "/grant", {}, "{}"}, seconds(5),
                 [&](const result<http_response>& answer) {
                   told = true;
                   BOOST_TEST(answer.has_value() == answered);
                 });
      io.restart();
      io.run();
      BOOST_TEST(told);
      std::this_thread::sleep_for(milliseconds(20));  // for the copy to arrive
    }
    BOOST_TEST(!link->is_open());
  }
}

BOOST_AUTO_TEST_CASE(nobody_there_is_told) {
  asio::io_context io;
  std::optional<error> told;
  auto link = order_link::open(io.get_executor(), "127.0.0.1:1", seconds(5),
                               [&](const std::optional<error>& failure) { told = failure; });
  io.run();
  BOOST_TEST(told.has_value());
  BOOST_TEST(!link->is_open());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle
