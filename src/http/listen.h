// Opens an acceptor at "IP:port"; port 0 takes a free one. The answer is the address in use.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "base/error.h"

namespace plantainpaddle {

result<std::string> open_acceptor(boost::asio::ip::tcp::acceptor& acceptor,
                                  const std::string& address);

}  // namespace plantainpaddle
