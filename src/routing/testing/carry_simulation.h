// Simulation of an instance's connections to upstreams that refuse requests and send responses
// twice: the copies arrive late, in any order with other requests, broken connections, limits,
// further attempts and callers that repeat an id.
//
//   carry_outcome seen = play_carrying(random_carry_scenario(7));
//   BOOST_TEST(seen.violation.empty());
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace plantainpaddle::testing {

struct carry_scenario {
  std::size_t upstreams = 2;
  bool keyed = false;        // each request goes to the same upstream again
  std::size_t limit = 2;     // connections to an upstream
  std::size_t capacity = 6;  // requests that a connection remembers
  std::size_t max_attempts = 3;
  double refused = 0.4;        // share of arrivals
  double copied = 0.4;         // share of responses that are sent a second time
  double repeated = 0.2;       // share of refused requests that callers send again under their id
  double broken = 0.02;        // connections that break, in each step
  std::size_t requests = 40;   // begun in all
  std::size_t concurrent = 5;  // under way at most
  std::uint64_t seed = 1;
};

struct carry_outcome {
  std::string violation;  // empty: none
  std::size_t runs = 0;
  std::size_t promises = 0;
  std::size_t skipped = 0;   // copies that were told from responses
  std::size_t replaced = 0;  // idle connections closed for a request that might not use them
};

carry_outcome play_carrying(const carry_scenario& scenario);
carry_scenario random_carry_scenario(std::uint64_t seed);

}  // namespace plantainpaddle::testing
