// Tests the client of the control paths against a server that plays a script.
#include "http/client.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>

#include "http/address.h"

namespace plantainpaddle::testing {

namespace asio = boost::asio;

namespace {

// Responds to the first request on each connection with the number of the connection, and once more
// after that.
class doubling_server {
 public:
  doubling_server()
      : acceptor_(io_, {asio::ip::make_address("127.0.0.1"), 0}),
        address_(format_address(acceptor_.local_endpoint())),
        thread_([this] { serve(); }) {}
  ~doubling_server() { thread_.join(); }
  doubling_server(const doubling_server&) = delete;
  doubling_server& operator=(const doubling_server&) = delete;
  const std::string& address() const { return address_; }

 private:
  void serve() {
    std::vector<asio::ip::tcp::socket> open;
    for (int i = 0; i < 2; ++i) {
      boost::system::error_code code;
      auto& socket = open.emplace_back(io_);
      acceptor_.accept(socket, code);
      std::string bytes(4096, ' ');
      socket.read_some(asio::buffer(bytes), code);
      const std::string response =
          "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + std::to_string(i);
      asio::write(socket, asio::buffer(response + response), code);
    }
  }

  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  std::string address_;
  std::thread thread_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(http_clients)

// Guards against a second copy of a response that is taken for the response to the next request.
BOOST_AUTO_TEST_CASE(a_copy_of_a_response_isnt_the_next_response) {
  doubling_server server;
  asio::io_context io;
  http_client client(io.get_executor());
  for (const std::string expected : {"0", "1"}) {
    std::string body;
    client.send(server.address(), {"GET", "/", {}, ""}, seconds(5),
                [&](const result<http_response>& answer) {
                  if (answer) body = answer->body;
                });
    io.restart();
    io.run();
    BOOST_TEST(body == expected);
    std::this_thread::sleep_for(milliseconds(20));  // for the copy to arrive
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle::testing
