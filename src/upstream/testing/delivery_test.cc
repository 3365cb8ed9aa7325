// Tests which ends of a connection prove that nothing arrived, on real connections over loopback.
#include "upstream/delivery.h"

#include <sys/socket.h>

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <thread>

namespace plantainpaddle::testing {

namespace {

using tcp = boost::asio::ip::tcp;

// An idle connection, over which one request and its response have passed.
struct connection_fixture {
  connection_fixture() {
    tcp::acceptor acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    here.connect(acceptor.local_endpoint());
    acceptor.accept(there);
    exchange("first");
    before = read_delivery(here.native_handle()).value();
  }

  void exchange(const std::string& text) {
    boost::asio::write(here, boost::asio::buffer(text));
    there.read_some(boost::asio::buffer(bytes));
    boost::asio::write(there, boost::asio::buffer(text));
    here.read_some(boost::asio::buffer(bytes));
  }
  void send() {
    boost::system::error_code ignored;
    boost::asio::write(here, boost::asio::buffer(std::string("request")), ignored);
  }
  // Reads until the connection's end. Returns whether that was a regular one, without a byte.
  bool ends_regularly() {
    boost::system::error_code code;
    const auto size = here.read_some(boost::asio::buffer(bytes), code);
    return size == 0 && code == boost::asio::error::eof;
  }
  bool is_proven() { return is_undelivered(before, read_delivery(here.native_handle())); }

  boost::asio::io_context io;
  tcp::socket here{io};
  tcp::socket there{io};
  std::array<char, 64> bytes{};
  delivery before;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(deliveries)

BOOST_FIXTURE_TEST_CASE(a_request_on_a_connection_closed_before_has_not_arrived,
                        connection_fixture) {
  there.close();
  send();
  BOOST_TEST(ends_regularly());
  BOOST_TEST(is_proven());
}

// Guards against a request that is sent twice: the upstream read it and closed without a response.
BOOST_FIXTURE_TEST_CASE(a_request_that_was_read_counts_as_delivered, connection_fixture) {
  send();
  there.read_some(boost::asio::buffer(bytes));
  there.close();
  BOOST_TEST(ends_regularly());
  BOOST_TEST(!is_proven());
}

// Guards against an upstream that has only ended its own direction and still reads.
BOOST_FIXTURE_TEST_CASE(a_request_to_a_half_closed_side_counts_as_delivered, connection_fixture) {
  there.shutdown(tcp::socket::shutdown_send);
  send();
  BOOST_TEST(ends_regularly());
  BOOST_TEST(!is_proven());
  there.read_some(boost::asio::buffer(bytes));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));  // a delayed acknowledgement
  BOOST_TEST(!is_proven());
}

// Guards against a reset, which acknowledges nothing, taken for a proof: the upstream may have read
// the request before it.
BOOST_FIXTURE_TEST_CASE(a_reset_is_no_regular_end, connection_fixture) {
  send();
  there.read_some(boost::asio::buffer(bytes));
  there.set_option(boost::asio::socket_base::linger(true, 0));
  there.close();
  BOOST_TEST(!ends_regularly());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace plantainpaddle::testing
