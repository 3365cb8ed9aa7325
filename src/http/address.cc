#include "http/address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace plantainpaddle {

result<boost::asio::ip::tcp::endpoint> parse_address(std::string_view text) {
  const error bad{errc::bad_input, step::connect, std::string(text),
                  "found \"" + std::string(text) + "\", \"IP:port\" is wanted"};
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return bad;
  std::string host(text.substr(0, colon));
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code code;
  const auto ip = boost::asio::ip::make_address(host, code);
  const std::string_view digits = text.substr(colon + 1);
  unsigned port = 0;
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  const bool whole = parsed.ec == std::errc() && parsed.ptr == digits.data() + digits.size();
  if (code || !whole || port > 65535) return bad;
  return boost::asio::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

std::string format_address(const boost::asio::ip::tcp::endpoint& endpoint) {
  const std::string ip = endpoint.address().to_string();
  const std::string host = endpoint.address().is_v6() ? "[" + ip + "]" : ip;
  return host + ":" + std::to_string(endpoint.port());
}

}  // namespace plantainpaddle
