// A listener whose connections are dealt out to the traffic threads in turn, so that few
// connections load them evenly.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

#include "base/error.h"
#include "entry/worker.h"

namespace plantainpaddle {

class connection_acceptor {
 public:
  // workers must outlive the acceptor's run; the first one's thread accepts.
  connection_acceptor(std::vector<worker*> workers, bool internal);

  // The address in use.
  result<std::string> listen(const std::string& address);
  void start();
  // Takes what has connected already, then closes. Any thread.
  void close();

 private:
  using acceptor = boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, io_executor>;

  void accept_next();
  void deal(tcp_socket socket);
  void take_backlog();

  std::vector<worker*> workers_;
  bool internal_;
  acceptor acceptor_;
  task_timer pause_;
  std::size_t next_ = 0;
};

}  // namespace plantainpaddle
