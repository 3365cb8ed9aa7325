// Messages of the control paths as Boost.Beast has them. Only for sources that use Beast anyway.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>

#include "http/message.h"

namespace plantainpaddle {

boost::beast::http::request<boost::beast::http::string_body> to_beast_request(
    const http_request& request, const std::string& address);
http_response from_beast_response(
    boost::beast::http::response<boost::beast::http::string_body>&& message);

}  // namespace plantainpaddle
