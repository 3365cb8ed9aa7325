// The settings of the data path, fixed at start. docs/CALLERS.md describes how the limits show to
// callers.
#pragma once

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "base/time.h"
#include "entry/deadlines.h"
#include "routing/admission.h"
#include "routing/memory_budget.h"
#include "upstream/header_names.h"
#include "upstream/message_parser.h"

namespace plantainpaddle {

struct proxy_limits {
  std::size_t connections = 20'000;      // most connections that the instance accepts
  std::size_t hop_connections = 512;     // most connections to one dispatcher
  std::size_t waiting_for_owner = 1024;  // most requests per traffic thread
  duration idle_time = seconds(60);      // a connection without a request is closed after it
  duration head_time = seconds(10);      // from the first byte of a head to its last
  // While a body is transferred, either side must move body_progress bytes within body_time.
  duration body_time = seconds(10);
  std::size_t body_progress = 1024;
  duration connect_time = milliseconds(250);
  // TCP_USER_TIMEOUT of connections to upstreams, but for long requests: bytes that the upstream's
  // machine doesn't acknowledge for so long end the connection. 0: the system's default. Where it
  // is set, it is twice the time after which a lost packet is sent again.
  duration tcp_user_timeout{0};
  duration sweep_period = deadline_sweeper::sweep_period;  // between checks of deadlines
  // Requests are taken for so long in a drain, unless its begin says otherwise.
  duration drain_idle_time = milliseconds(500);
  std::size_t held_body = 1 << 20;  // most bytes of a body kept in memory, to be sent again
  // Memory for callers' connections and their requests and responses, of all traffic threads.
  memory_budget_limits memory;
  std::size_t pipelined = 8;                  // most requests in progress on one connection
  std::size_t head_fields = max_head_fields;  // most fields of a request's head
  // Whether an answer is buffered until it is complete or fills the buffer, so that one that is cut
  // off can be replaced by a retry's. Otherwise answers are passed on as they arrive.
  bool buffer_answers = false;
  // Most bytes of a response's body whose length isn't declared, in chunks or up to the close.
  std::uint64_t undeclared_body = std::uint64_t{256} << 20;
  // Longest wait until a key has an owner; the request's deadline ends it too.
  duration owner_wait = seconds(3600);
  // Delay before an upstream that answered that it doesn't own a key is sent the request again. A
  // new owner is sent it at once.
  duration misdirected_wait = milliseconds(20);
  duration owner_retry_delay = milliseconds(60);  // before the same owner is tried again
  duration retry_after = milliseconds(1);  // sent to callers when no upstream takes their request
  // An upstream's connection is given up if no byte of the answer arrives for so long.
  per_class<duration> first_byte_timeout{milliseconds(1000), milliseconds(2000), seconds(10),
                                         seconds(10)};
};

struct proxy_settings {
  std::string listen_callers;  // "IP:port"
  std::string listen_forward;  // "IP:port", for requests from other instances; empty: none
  std::uint32_t threads = 2;
  std::string instance;
  domain_id domain;
  header_names names = own_header_names;
  // Whether other instances send to the same upstreams without a dispatcher, so that the use of
  // their slots is estimated.
  bool shared_upstreams = false;
  // Whether the proxy starts threads. Otherwise all of it runs on the thread that calls
  // proxy::run(), and `threads` must be 1.
  bool own_thread = true;
  proxy_limits limits;
};

}  // namespace plantainpaddle
