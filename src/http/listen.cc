#include "http/listen.h"

#include "http/address.h"

namespace plantainpaddle {

result<std::string> open_acceptor(boost::asio::ip::tcp::acceptor& acceptor,
                                  const std::string& address) {
  const auto endpoint = parse_address(address);
  if (!endpoint) return endpoint.error();
  boost::system::error_code code;
  acceptor.open(endpoint->protocol(), code);
  if (!code) acceptor.set_option(boost::asio::socket_base::reuse_address(true), code);
  if (!code) acceptor.bind(*endpoint, code);
  if (!code) acceptor.listen(boost::asio::socket_base::max_listen_connections, code);
  if (code) return error{errc::unavailable, step::listen, address, code.message()};
  return format_address(acceptor.local_endpoint());
}

}  // namespace plantainpaddle
