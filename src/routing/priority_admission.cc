#include "routing/priority_admission.h"

#include <algorithm>

#include "base/durations.h"
#include "base/unit_fraction.h"

namespace plantainpaddle {

namespace {

// Expected times are means. A tenth of the target is left for what they are off by.
constexpr double target_share = 0.9;
// Room becomes short between these loads per slot. Below the first, an upstream of four slots that
// gets requests at random times has a free one nine times of ten; at the second all slots are used.
constexpr double roomy_usage = 0.75;
constexpr double full_usage = 1.0;
// Older reports don't tell whether there is room: the requests of then have ended, and with an
// exchange of observations that works, reports of busy upstreams are a few 100 ms old.
constexpr duration max_report_age = seconds(1);
// A caller with less than this share of its time used hasn't waited after a refusal. One that tries
// again at once is treated as one that comes for the first time.
constexpr double returned_share = 0.05;
// By how many ranks a caller that returns goes before others of its priority, and among requests
// that are late in any case, before those that come for the first time.
constexpr double return_bonus = 0.5;
constexpr double late_return_bonus = 0.25;
// Callers honour a Retry-After of up to a third of their time, of which some passes on the way.
constexpr double retry_share = 0.3;
constexpr duration min_retry_after = milliseconds(50);  // about the time of one place in a queue
constexpr duration useful_retry_after = milliseconds(10);

// Returns a time after which the excess is likely to have gone, spread up to the time after which
// the target can't be met any more; zero if the caller has no time for another try.
duration next_try(const priority_question& question, duration excess, duration spare,
                  std::uint64_t random) {
  const auto longest = share_of(question.left, retry_share);
  if (longest < useful_retry_after) return duration::zero();
  const auto base = std::max(min_retry_after, excess);
  const auto latest = std::min(longest, std::max(2 * base, spare));
  const auto earliest = std::min(base, latest / 2);
  return earliest + share_of(latest - earliest, unit_fraction(random));
}

}  // namespace

admission_profile make_admission_profile(const routing_snapshot& snapshot, std::size_t service) {
  admission_profile profile;
  const auto leads_there = [&](const split_route& route) {
    return std::any_of(route.targets.begin(), route.targets.end(), [&](const auto& target) {
      return target.service == service && target.weight > 0;
    });
  };
  for (const auto& route : snapshot.split_routes) {
    if (leads_there(route)) profile.priorities.push_back(route.policy.priority);
  }
  std::sort(profile.priorities.begin(), profile.priorities.end());
  const auto last = std::unique(profile.priorities.begin(), profile.priorities.end());
  profile.priorities.erase(last, profile.priorities.end());
  for (const auto& route : snapshot.split_routes) {
    const bool urgent = leads_there(route) && route.policy.priority == profile.priorities.front() &&
                        route.policy.target_latency > duration::zero();
    if (urgent) profile.most_urgent.push_back({route.row.name, route.policy.target_latency});
  }
  return profile;
}

duration affordable_wait(duration target, duration work) {
  return std::max(duration::zero(), share_of(target, target_share) - work);
}

priority_decision decide_by_priority(const priority_question& question, std::uint64_t random) {
  priority_decision decision;
  if (!question.report_age || *question.report_age > max_report_age) return decision;
  const auto target = question.target > duration::zero() ? question.target : question.allowed;
  const auto used = std::max(duration::zero(), question.allowed - question.left);
  const auto work = question.expected - question.wait;
  decision.late = question.expected + used > share_of(target, target_share);
  decision.returns = used >= share_of(question.allowed, returned_share);
  const auto own_limit = affordable_wait(target, work);
  const auto ranks = static_cast<double>(std::max<std::size_t>(1, question.ranks));
  double rank = decision.late ? ranks : static_cast<double>(question.rank);
  if (decision.returns) rank -= decision.late ? late_return_bonus : return_bonus;
  const double part = std::clamp(1 - rank / ranks, 0.0, 1.0);
  const auto limit_when_full = std::min(own_limit, share_of(question.urgent_wait, part));
  const double shortage =
      std::clamp((question.usage - roomy_usage) / (full_usage - roomy_usage), 0.0, 1.0);
  decision.wait_limit = own_limit - share_of(own_limit - limit_when_full, shortage);
  const bool in_time = question.expected <= question.left;
  if (in_time && question.wait <= decision.wait_limit) return decision;
  const bool yields = in_time && !decision.late && question.rank > 0 && question.wait <= own_limit;
  decision.term.verdict = send_verdict::refuse;
  decision.term.reason = yields ? send_reason::yields_priority : send_reason::no_room;
  decision.term.again_in =
      next_try(question, std::max(duration::zero(), question.wait - decision.wait_limit),
               affordable_wait(target, work) - used, random);
  return decision;
}

}  // namespace plantainpaddle
