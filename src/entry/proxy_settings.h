// What the data path is told at start. docs/CALLERS.md says how the limits show to callers.
#pragma once

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "base/time.h"
#include "routing/admission.h"

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
  duration drain_idle_time = milliseconds(500);  // idle connections outlive the drain's begin by it
  // An upstream's silence before an answer's first byte, after which its connection is given up.
  per_class<duration> silence{milliseconds(1000), milliseconds(2000), seconds(10), seconds(10)};
};

struct proxy_settings {
  std::string listen_callers;  // "IP:port" each
  std::string listen_forward;  // for requests of other instances; empty: none
  std::uint32_t threads = 2;
  std::string instance;
  domain_id domain;
  proxy_limits limits;
};

}  // namespace plantainpaddle
