// Requests between entry instances over Cap'n Proto RPC, on a thread of its own.
//
//   peer_network network(settings, [](const peer_identity& from, peer_request request, peer_replier
//   reply) {
//     ...; reply(acknowledgement{});
//   });
//   network.call(address, question, milliseconds(200), [](result<peer_answer> answer) { ... });
//
// serve and done run on the network's thread: hand over to another thread and return at once. done
// is called exactly once. A call that times out closes its connection; the next one makes a new
// one.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "base/error.h"
#include "base/time.h"
#include "base/traffic_counter.h"
#include "peer/messages.h"

namespace plantainpaddle {

struct peer_settings {
  std::string listen;  // "IP:port"; port 0 takes a free one
  peer_identity identity;
  std::size_t max_message_bytes = 8 << 20;
};

struct peer_answer {
  peer_identity from;
  peer_reply reply;
};

// May be called on any thread, at most once; dropping it lets the caller's timeout pass.
using peer_replier = std::function<void(peer_reply)>;

class peer_network {
 public:
  using serve_handler =
      std::function<void(const peer_identity& from, peer_request request, peer_replier reply)>;
  using done_handler = std::function<void(result<peer_answer>)>;

  peer_network(peer_settings settings, serve_handler serve);
  ~peer_network();
  peer_network(const peer_network&) = delete;
  peer_network& operator=(const peer_network&) = delete;

  // The address in use, once the network listens; the error if it can't.
  result<std::string> start();
  void call(const std::string& address, peer_request request, duration timeout, done_handler done);

  // Cap'n Proto messages of calls and answers, without their RPC frames.
  traffic_totals traffic() const;
  // Processor time of the network's thread.
  duration cpu_time() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace plantainpaddle
