// What the data path is told at start. docs/CALLERS.md says how the limits show to callers.
#pragma once

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "base/time.h"
#include "entry/deadlines.h"
#include "routing/admission.h"
#include "upstream/header_names.h"

namespace plantainpaddle {

struct proxy_limits {
  std::size_t connections = 20'000;      // callers' connections of the instance
  std::size_t hop_connections = 512;     // to one dispatcher
  std::size_t waiting_for_owner = 1024;  // requests of a traffic thread
  duration idle_time = seconds(60);      // a connection without a request
  duration head_time = seconds(10);      // from a head's first byte to its last
  duration body_time = seconds(10);      // either side's time for body_progress bytes of a body
  std::size_t body_progress = 1024;      // bytes
  duration connect_time = milliseconds(250);
  // An upstream's machine that doesn't acknowledge bytes for so long can't be reached; 0: as the
  // system has it. Twice the time after which a lost packet is sent again.
  duration tcp_user_timeout{0};
  duration sweep_period = deadline_sweeper::sweep_period;  // of deadlines
  duration drain_idle_time = milliseconds(500);  // idle connections outlive the drain's begin by it
  std::size_t held_body = 1 << 20;    // bytes of a request that are held, to be sent again
  std::size_t held_total = 64 << 20;  // bytes that a traffic thread holds of all requests
  // Answers are held until they are whole or fill a buffer, so that one that is cut off can be
  // replaced; otherwise they are passed on as they come.
  bool buffer_answers = false;
  duration owner_wait = seconds(3600);  // for a key's owner; the request's deadline ends it too
  // An upstream that said that it doesn't own a key is asked again after that, unless the owner is
  // another by then.
  duration misdirected_wait = milliseconds(20);
  duration owner_retry_delay = milliseconds(60);  // before a key's owner is tried again
  duration retry_after = milliseconds(1);         // told to callers whose request found no upstream
  // An upstream's silence before an answer's first byte, after which its connection is given up.
  per_class<duration> silence{milliseconds(1000), milliseconds(2000), seconds(10), seconds(10)};
};

struct proxy_settings {
  std::string listen_callers;  // "IP:port" each
  std::string listen_forward;  // for requests of other instances; empty: none
  std::uint32_t threads = 2;
  std::string instance;
  domain_id domain;
  header_names names = own_header_names;
  // Other instances send to the upstreams without a dispatcher, so that slots are estimated.
  bool shared_upstreams = false;
  // All of it runs on the thread that calls proxy::run(); `threads` must be 1.
  bool own_thread = true;
  proxy_limits limits;
};

}  // namespace plantainpaddle
