// Stand-in of the platform, in memory, with faults on order: a key-value service in both forms that
// the product knows (etcd v3 over HTTP/JSON, and the metadata store with its items, polls and
// leases), and the list of instances. docs/PLATFORM.md has the protocol and the faults.
//
//   platform_standin platform(executor);
//   auto address = platform.listen("127.0.0.1:0");
//   auto control = platform.listen_control("127.0.0.1:0");   // answers also while it is down
//
// The control paths are served at both addresses: PUT /control/instances, POST /control/faults,
// POST /control/items (what operators and upstreams write), GET /control/counters. One thread.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <string>

#include "base/error.h"

namespace plantainpaddle {

class platform_standin {
 public:
  explicit platform_standin(boost::asio::any_io_executor executor);
  ~platform_standin();
  platform_standin(const platform_standin&) = delete;
  platform_standin& operator=(const platform_standin&) = delete;

  result<std::string> listen(const std::string& address);
  result<std::string> listen_control(const std::string& address);
  void close();

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace plantainpaddle
