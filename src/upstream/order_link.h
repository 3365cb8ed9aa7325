// One connection to an upstream over which orders go one after the other, and that is never
// replaced silently: what was said over it reached one life of the upstream.
//
//   auto link = order_link::open(executor, address, timeout, [](const std::optional<error>&
//   failure) { ... }); link->send(request, timeout, [](result<http_response> answer) { ... });
//   link->close();
//
// After an error, a timeout, or an answer that closes the connection, the link is over: is_open()
// is false, and all further sends fail. Handlers are called once, never from inside a call. Not
// thread-safe.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/error.h"
#include "base/time.h"
#include "http/message.h"

namespace plantainpaddle {

class order_link : public std::enable_shared_from_this<order_link> {
 public:
  using open_handler = std::function<void(const std::optional<error>&)>;
  using handler = std::function<void(result<http_response>)>;

  static std::shared_ptr<order_link> open(boost::asio::any_io_executor executor,
                                          const std::string& address, duration timeout,
                                          open_handler done);
  ~order_link();
  order_link(const order_link&) = delete;
  order_link& operator=(const order_link&) = delete;

  void send(http_request request, duration timeout, handler done);
  // Resets the connection, so that nothing of it is delivered later.
  void close();
  bool is_open() const;

 private:
  struct state;
  explicit order_link(std::shared_ptr<state> s) : state_(std::move(s)) {}
  std::shared_ptr<state> state_;
};

}  // namespace plantainpaddle
