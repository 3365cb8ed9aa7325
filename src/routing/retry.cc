// A token bucket filled by requests instead of time: when the load falls, so does the right to
// retry. The delay is uniform in (0, first_delay * 2^(attempts-1)], which spreads the retries of
// requests that failed together.

#include "routing/retry.h"

#include <algorithm>

namespace plantainpaddle {
namespace {

constexpr std::uint32_t max_doublings = 20;

}  // namespace

std::string_view retry_refusal_name(retry_refusal reason) noexcept {
  constexpr std::string_view names[] = {"none",     "complete", "may_have_run", "outer_layer",
                                        "attempts", "deadline", "budget"};
  return names[static_cast<std::size_t>(reason)];
}

retry_budget::retry_budget(retry_config config) : config_(config), tokens_(config.burst) {}

void retry_budget::set_config(const retry_config& config) {
  config_ = config;
  tokens_ = std::min(tokens_, config_.burst);
}

void retry_budget::on_request() { tokens_ = std::min(config_.burst, tokens_ + config_.share); }

bool retry_budget::take() {
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

retry_decision decide_retry(retry_budget& budget, const retry_context& question,
                            std::uint64_t random) {
  const auto& config = budget.config();
  const auto refuse = [](retry_refusal reason) { return retry_decision{false, {}, reason}; };
  if (question.known == run_state::complete) return refuse(retry_refusal::complete);
  if (question.known == run_state::unknown && !question.idempotent) {
    return refuse(retry_refusal::may_have_run);
  }
  if (question.outer_retries) return refuse(retry_refusal::outer_layer);
  if (question.attempts >= std::min(config.max_attempts, question.max_attempts)) {
    return refuse(retry_refusal::attempts);
  }
  const auto doublings = std::min(std::max(question.attempts, 1U) - 1, max_doublings);
  const auto bound = std::min<duration>(config.max_delay, config.first_delay * (1LL << doublings));
  const auto span = static_cast<std::uint64_t>(std::max<std::int64_t>(1, bound.count()));
  const duration delay{static_cast<std::int64_t>(random % span) + 1};
  if (question.now + delay + question.expected >= question.deadline) {
    return refuse(retry_refusal::deadline);
  }
  if (!budget.take()) return refuse(retry_refusal::budget);
  return {true, delay, retry_refusal::none};
}

}  // namespace plantainpaddle
