#include "harness/loopback.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include "http/address.h"
#include "http/listen.h"

using namespace plantainpaddle;

// Guards against processes of two benches at once that get the same port: that of a process which
// is being restarted looked free.
BOOST_AUTO_TEST_CASE(an_address_is_reserved_also_while_nobody_listens) {
  const std::string address = free_address();
  const auto endpoint = *parse_address(address);
  for (int i = 0; i < 2; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    BOOST_TEST(bind(fd, endpoint.data(), endpoint.size()) != 0);
    close(fd);
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor(io);
    BOOST_TEST(open_acceptor(acceptor, address).has_value());
    boost::asio::ip::tcp::socket client(io);
    client.connect(endpoint);
  }
}
