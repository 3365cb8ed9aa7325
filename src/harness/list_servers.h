// Instance lists that differ by who asks, so that each pair of entries has a link of its own
// through the relay. Served on a thread of its own; the platform's list stays as it is.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "base/error.h"
#include "http/server.h"

namespace plantainpaddle {

class list_servers {
 public:
  list_servers();
  ~list_servers();
  list_servers(const list_servers&) = delete;
  list_servers& operator=(const list_servers&) = delete;

  // The address at which an instance reads its list.
  result<std::string> listen(const std::string& instance);
  void set(const std::string& instance, const std::string& list);

 private:
  boost::asio::awaitable<http_response> show(std::string instance);

  boost::asio::io_context io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  std::mutex mutex_;
  std::map<std::string, std::string> lists_;
  std::map<std::string, std::unique_ptr<http_server>> servers_;  // used by the thread
  std::thread thread_;
};

}  // namespace plantainpaddle
