// "IP:port" texts to endpoints. Names aren't resolved: settings and tables hold IP numbers.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>

#include "base/error.h"

namespace plantainpaddle {

result<boost::asio::ip::tcp::endpoint> parse_address(std::string_view text);
std::string format_address(const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace plantainpaddle
