// Clients of a soak: each keeps to one instance, holds its connection open until that is closed,
// and connects again. Some wait before their first request, some pipeline safe requests, some
// upload.
//
//   std::vector<soak_request> seen = run_clients({.instances = {"127.0.0.1:24001"}, .seed = 7,
//   ...});
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "load/record.h"

namespace plantainpaddle {

struct soak_request {
  load_record seen;  // target: the instance's address; scheduled: when it began to be sent
  std::uint64_t connection = 0;
  std::size_t behind = 0;  // requests before it on the connection whose answers were due
  std::size_t before = 0;  // requests answered on the connection before it was sent
  duration sent{0};        // its last byte was written; 0: it wasn't
  duration budget{0};      // the time it had
};

struct soak_load {
  std::vector<std::string> instances;  // addresses for callers
  std::size_t clients_per_instance = 15;
  std::uint64_t seed = 1;
  duration length = seconds(20);
};

// Blocks until all requests have ended.
std::vector<soak_request> run_clients(const soak_load& load);

}  // namespace plantainpaddle
