#include "standin/late_copy.h"

#include <boost/beast/http/write.hpp>
#include <sstream>
#include <utility>

namespace plantainpaddle {

namespace http = boost::beast::http;

void late_copy::keep(const http::response<http::string_body>& message) {
  std::ostringstream out;
  out << message;
  bytes_ = out.str();
}

std::string late_copy::take() { return std::exchange(bytes_, {}); }

}  // namespace plantainpaddle
