// An answer that an upstream stand-in sends a second time: late, where the next answer on its
// connection is due.
//
//   late_copy copy;
//   copy.keep(message);                // when the answer has been written
//   std::string bytes = copy.take();   // when the next request has arrived; empty: no copy
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>

namespace plantainpaddle {

class late_copy {
 public:
  void keep(const boost::beast::http::response<boost::beast::http::string_body>& message);
  std::string take();

 private:
  std::string bytes_;
};

}  // namespace plantainpaddle
