// What the load tool sends: classes of requests, each with its own arrivals, keys and sizes.
//
//   result<load_plan> plan = parse_load_plan(text, "plan.json");
//
// docs/LOAD.md lists the names with unit, default and bounds.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/time.h"

namespace plantainpaddle {

struct load_class {
  std::string name;
  std::string service;       // for the records only
  std::uint32_t shards = 1;  // of the service, for the records only
  double rate = 100;         // requests per second, Poisson arrivals
  duration from{0};          // since the start
  duration to{0};            // 0: until the end
  std::string method = "GET";
  std::string path;  // "{key}" is replaced
  std::string host;
  std::string key_header;  // empty: none
  bool once = false;       // must not run twice: the checker counts it
  // Keys are named "k0", "k1" and so on; on the platform they are the numbers alone.
  std::uint64_t keys = 1000;
  double zipf = 0;  // exponent; 0: all keys alike
  std::uint64_t hot_keys = 0;
  double hot_share = 0;  // of the requests, on the hot keys
  duration hot_move{0};  // the hot set changes after this; 0: never
  std::uint64_t tenants = 1;
  std::uint64_t upload_bytes = 0;
  std::uint64_t answer_bytes = 0;
  std::uint64_t slow_bytes_per_second = 0;  // of the caller, both ways; 0: as fast as it goes
  duration busy{0};                         // of the upstream stand-in
  duration deadline = seconds(2);

  bool operator==(const load_class&) const = default;
};

// Whose header fields and statuses the requests use: the product's own, or the users' platform's.
enum class load_form { own, platform };

struct load_plan {
  load_form form = load_form::own;
  std::vector<std::string> targets;  // "IP:port"
  // For each target, the address of its GET /readyz; empty: none are asked. A target that answers
  // with another status than 200 gets no requests, as behind a balancer.
  std::vector<std::string> readiness;
  duration length = seconds(5);
  std::uint64_t seed = 1;
  std::uint32_t threads = 1;
  std::uint64_t outstanding = 20'000;  // more are counted as not run
  std::vector<load_class> classes;

  bool operator==(const load_plan&) const = default;
};

result<load_plan> parse_load_plan(std::string_view text, const std::string& file);

}  // namespace plantainpaddle
