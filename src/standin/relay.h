// Byte-level fault relay between processes: passes TCP connections on, and on order holds, cuts,
// delays or forgets them.
//
//   fault_relay relay(executor);
//   auto address = relay.add("a1-store", "127.0.0.1:0", "127.0.0.1:2379");
//   relay.set("a1-store", {.mode = relay_mode::hold, .direction = relay_direction::up});
//
// handle() is the same over HTTP: POST /control/routes {"name","listen","to"}, POST /control/fault
// {"route","mode","direction","connections","delay_ms"} (no route: all), GET /control/routes. One
// thread; 16 KiB of memory for each direction of a connection.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <string>

#include "base/error.h"
#include "base/time.h"
#include "http/message.h"

namespace plantainpaddle {

enum class relay_mode {
  pass,
  hold,    // bytes and closes wait until the next pass; new connections are accepted and wait too
  cut,     // closes connections, and new ones at once
  forget,  // drops bytes and closes without a sign; a forgotten connection never recovers
};

enum class relay_direction { both, up, down };  // up: towards the route's target

struct relay_fault {
  relay_mode mode = relay_mode::pass;
  relay_direction direction = relay_direction::both;  // of hold and forget
  bool only_existing = false;                         // new connections pass
  duration delay{0};                                  // added to each piece
};

class fault_relay {
 public:
  explicit fault_relay(boost::asio::any_io_executor executor);
  ~fault_relay();
  fault_relay(const fault_relay&) = delete;
  fault_relay& operator=(const fault_relay&) = delete;

  // The address at which the route listens.
  result<std::string> add(const std::string& name, const std::string& listen,
                          const std::string& to);
  // Empty name: all routes. False: no such route.
  bool set(const std::string& name, const relay_fault& fault);
  http_response handle(const http_request& request);
  void close();

 private:
  struct route;
  struct connection;
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace plantainpaddle
