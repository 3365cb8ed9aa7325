// Retry policy: decides whether a failed request is sent again, and after which delay.
//
//   retry_budget budget({});              // one for each service and instance
//   budget.on_request();                  // for each request that a caller sent
//   auto decision = decide_retry(budget, question, random_number());
//   if (decision.retry) wait(decision.delay);
//
// A request is not retried if the attempt would end after its deadline, if it may have run and
// isn't idempotent, if an outer layer retries it, or if the retry budget, a share of all requests,
// is used up. Not thread-safe.
#pragma once

#include <cstdint>
#include <string_view>

#include "base/time.h"

namespace plantainpaddle {

// Header that a layer sets on the requests that it retries itself. A layer that receives it doesn't
// retry the request.
inline constexpr std::string_view retry_owner_header = "plantainpaddle-retried-by";

// What is known about the execution of a failed request at the upstream.
enum class run_state { not_run, unknown, complete };

struct retry_config {
  double share = 0.08;  // retries per request
  double burst = 10;    // most tokens; a token is one retry
  std::uint32_t max_attempts = 3;
  duration first_delay = milliseconds(5);  // bound of the first delay; doubles with each retry
  duration max_delay = milliseconds(200);  // largest bound of a delay

  bool operator==(const retry_config&) const = default;
};

// Bounds the retries: over any span they are at most burst + share * requests.
class retry_budget {
 public:
  explicit retry_budget(retry_config config);
  // Keeps the present tokens, up to the new burst.
  void set_config(const retry_config& config);
  void on_request();  // adds `share` tokens
  bool take();        // takes the token for one retry; false if the budget is used up
  double tokens() const { return tokens_; }
  const retry_config& config() const { return config_; }

 private:
  retry_config config_;
  double tokens_;
};

// A failed request, as far as the decision depends on it.
struct retry_context {
  std::uint32_t attempts = 1;  // sent so far
  run_state known = run_state::unknown;
  bool idempotent = false;
  std::uint32_t max_attempts = ~0U;  // of the route; the config's counts if it is smaller
  bool outer_retries = false;        // the request carries retry_owner_header
  duration expected{0};              // estimated duration of another attempt
  monotonic_time deadline;
  monotonic_time now;
};

enum class retry_refusal { none, complete, may_have_run, outer_layer, attempts, deadline, budget };
std::string_view retry_refusal_name(retry_refusal reason) noexcept;

struct retry_decision {
  bool retry = false;
  duration delay{0};
  retry_refusal reason = retry_refusal::none;
};

// Takes a token from the budget if the request is to be retried. `random` holds 64 random bits for
// the jitter.
retry_decision decide_retry(retry_budget& budget, const retry_context& context,
                            std::uint64_t random);

}  // namespace plantainpaddle
