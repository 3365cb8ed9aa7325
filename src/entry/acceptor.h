// A listening socket whose connections are assigned to the workers in turn, so that also a few
// connections load the threads evenly.
//
//   connection_acceptor acceptor(workers, false);
//   auto address = acceptor.listen("127.0.0.1:0");
//   acceptor.start();
//   acceptor.close();
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
  // `workers` is not empty and outlives the acceptor's use; the first one's thread accepts.
  // internal: the connections come from other instances of this system.
  connection_acceptor(std::vector<worker*> workers, bool internal);

  // Binds to "IP:port" and returns the address in use; port 0 takes a free one. Fails with
  // bad-input or unavailable.
  result<std::string> listen(const std::string& address);
  // Begins to accept. Any thread.
  void start();
  // Accepts the connections that are in the backlog already, then closes the socket. Any thread.
  void close();

 private:
  using acceptor = boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, io_executor>;

  void accept_next();
  // Hands a connection to the next worker, or closes it if the instance has too many.
  void assign(tcp_socket socket);
  void accept_backlog();

  std::vector<worker*> workers_;
  bool internal_;
  acceptor acceptor_;
  task_timer retry_timer_;
  std::size_t next_worker_ = 0;
};

}  // namespace plantainpaddle
