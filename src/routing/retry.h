// Whether a failed request is sent again.
//
//   retry_budget budget({});              // one for each service and instance
//   budget.on_request();                  // for each request that a caller sent
//   auto decision = decide_retry(budget, question, random_number());
//   if (decision.retry) wait(decision.delay);
//
// Never past the deadline, never what may have run and isn't idempotent, never where an outer layer
// retries, and never more than a share of the requests.
#pragma once

#include <cstdint>
#include <string_view>

#include "base/time.h"

namespace plantainpaddle {

// Set on a request by the layer that retries it; a layer that sees it never does.
inline constexpr std::string_view retry_owner_header = "plantainpaddle-retried-by";

// What is known of a request that got no complete answer.
enum class run_state { not_run, unknown, complete };

struct retry_config {
  double share = 0.08;  // retries per request
  double burst = 10;    // most retries at once
  std::uint32_t max_attempts = 3;
  duration first_delay = milliseconds(5);  // bound of the first delay; doubled for each next one
  duration max_delay = milliseconds(200);

  bool operator==(const retry_config&) const = default;
};

// Over any span the retries are at most burst + share * requests.
class retry_budget {
 public:
  explicit retry_budget(retry_config config);
  // Tokens in hand stay, as far as the new burst allows.
  void set_config(const retry_config& config);
  void on_request();
  bool take();  // one retry; false: the budget is used up
  double tokens() const { return tokens_; }
  const retry_config& config() const { return config_; }

 private:
  retry_config config_;
  double tokens_;
};

struct retry_context {
  std::uint32_t attempts = 1;  // sent so far
  run_state known = run_state::unknown;
  bool idempotent = false;
  std::uint32_t max_attempts = ~0U;  // of the route; the smaller of this and the budget's counts
  bool outer_retries = false;        // the request carries retry_owner_header
  duration expected{0};              // time that another attempt takes as a rule
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

// Takes a token from the budget if the answer is yes. random: 64 random bits for the jitter.
retry_decision decide_retry(retry_budget& budget, const retry_context& question,
                            std::uint64_t random);

}  // namespace plantainpaddle
