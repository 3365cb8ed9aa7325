// Opens connections to upstreams that are known to lead to them. An order that reaches another
// upstream would give it keys that others of its service hold, or take some away from it.
//
//   upstream_dialer dialer(io, self, presence);
//   dialer.open({upstream, address, connect_timeout}, [](upstream_dialer::opened link) { ... });
//
// Handlers are called once, never from inside a call. Calls that are under way refer to the dialer,
// so it is destroyed only once the io_context no longer runs.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "base/error.h"
#include "base/ids.h"
#include "ownership/upstream_presence.h"
#include "upstream/order_link.h"

namespace plantainpaddle {

class upstream_dialer {
 public:
  struct target {
    upstream_id upstream;
    std::string address;
    duration connect_timeout{0};
  };
  // errc::not_owner: another upstream has the address. Other errors don't tell who is there.
  using opened = result<std::shared_ptr<order_link>>;
  using handler = std::function<void(opened)>;

  upstream_dialer(boost::asio::io_context& io, instance_id self, upstream_presence& presence)
      : io_(io), self_(std::move(self)), presence_(presence) {}

  // on_connected, which may be empty, is called as soon as there is a connection.
  void open(const target& to, handler done, std::function<void()> on_connected = {});
  // The clock of upstream_presence.
  static monotonic_time now() { return monotonic_time(time_since_boot()); }

 private:
  void identify(const target& to, const std::shared_ptr<order_link>& link, handler done);
  void on_identity(const target& to, const std::shared_ptr<order_link>& link, monotonic_time asked,
                   const result<http_response>& answer, const handler& done);

  boost::asio::io_context& io_;
  instance_id self_;
  upstream_presence& presence_;
};

}  // namespace plantainpaddle
