// Retries, limits, balance and health against simple oracles.
#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

#include "routing/balance.h"
#include "routing/health.h"
#include "routing/limiter.h"
#include "routing/retry.h"

using namespace plantainpaddle;

namespace {

constexpr monotonic_time start{seconds(1000)};
const service_id service{"s"};
const tenant_id tenant{"t"};

// Instances that share one limit and tell each other what was asked, one share period late.
class shared_limit {
 public:
  shared_limit(std::size_t instances, const limit_row& row) : mailbox_(instances) {
    for (std::size_t i = 0; i < instances; ++i) {
      limiters_.emplace_back(limiter_config{});
      limiters_.back().set_limits(service, {row});
    }
  }

  // One tick of 10 ms with these requests per second at each instance; how many were let through.
  std::size_t tick(const std::vector<double>& rates, std::mt19937_64& random) {
    std::size_t passed = 0;
    for (std::size_t i = 0; i < limiters_.size(); ++i) {
      const int count = std::poisson_distribution<int>(std::max(1e-9, rates[i] / 100))(random);
      for (int k = 0; k < count; ++k) {
        passed += limiters_[i].check(service, tenant, request_class::counter, now_).allowed;
      }
    }
    if (++ticks_ % 50 == 0) exchange();
    now_ += milliseconds(10);
    return passed;
  }

 private:
  void exchange() {
    for (std::size_t i = 0; i < limiters_.size(); ++i) {
      for (std::size_t k = 0; k < limiters_.size(); ++k) {
        if (k == i) continue;
        limiters_[k].on_usage(instance_id{std::to_string(i)}, mailbox_[i], now_);
      }
      mailbox_[i] = limiters_[i].usage(now_);
    }
  }

  std::vector<limiter> limiters_;
  std::vector<std::vector<limit_use>> mailbox_;
  monotonic_time now_ = start;
  std::size_t ticks_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(decision_properties)

BOOST_AUTO_TEST_CASE(retries_stay_within_their_budget_and_rules) {
  BOOST_TEST(rc::check("any sequence of requests and failures", [] {
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    const retry_config config{.share = 0.05, .burst = 1 + static_cast<double>(random() % 20)};
    retry_budget budget(config);
    double asked = 0;
    double retries = 0;
    const auto refuse_share = random() % 10;
    for (int i = 0; i < 3000; ++i) {
      if (random() % 10 >= refuse_share) {
        budget.on_request();
        ++asked;
        continue;
      }
      retry_context q;
      q.attempts = 1 + static_cast<std::uint32_t>(random() % 4);
      q.known = static_cast<run_state>(random() % 3);
      q.idempotent = random() % 2 == 0;
      q.outer_retries = random() % 5 == 0;
      q.expected = milliseconds(random() % 50);
      q.now = start;
      q.deadline = start + milliseconds(random() % 300);
      const auto decision = decide_retry(budget, q, random());
      RC_ASSERT(decision.retry == (decision.reason == retry_refusal::none));
      if (!decision.retry) continue;
      ++retries;
      RC_ASSERT(q.known == run_state::not_run || (q.known == run_state::unknown && q.idempotent));
      RC_ASSERT(!q.outer_retries);
      RC_ASSERT(q.attempts < config.max_attempts);
      RC_ASSERT(decision.delay > duration{0});
      RC_ASSERT(decision.delay <= config.max_delay);
      RC_ASSERT(q.now + decision.delay + q.expected < q.deadline);
      RC_ASSERT(retries <= config.burst + config.share * asked + 1e-6);
    }
  }));
}

BOOST_AUTO_TEST_CASE(one_instance_limits_like_a_token_bucket) {
  BOOST_TEST(rc::check("same answers as the naive bucket", [] {
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    const double rate = 1 + static_cast<double>(random() % 200);
    const double burst = 1 + static_cast<double>(random() % 50);
    limiter limits({});
    limits.set_limits(service, {{"row", tenant_id{"*"}, "*", rate, burst}});
    double tokens = burst;
    monotonic_time now = start;
    for (int i = 0; i < 1000; ++i) {
      const auto passed = microseconds(random() % 20000);
      now += passed;
      tokens = std::min(burst, tokens + rate * static_cast<double>(passed.count()) / 1e6);
      // A token that is whole but for rounding may be counted either way.
      const bool unsure = std::abs(tokens - 1) < 1e-6;
      const bool allowed = limits.check(service, tenant, request_class::order, now).allowed;
      if (!unsure) RC_ASSERT(allowed == (tokens >= 1));
      if (allowed) tokens -= 1;
    }
  }));
}

BOOST_AUTO_TEST_CASE(instances_hold_a_limit_together_within_a_twentieth) {
  BOOST_TEST(rc::check("over any 20 s after the first two share periods", [] {
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    const std::size_t instances = 1 + random() % 12;
    const limit_row row{"row", tenant_id{"*"}, "*", 100 + static_cast<double>(random() % 900), 20};
    std::vector<double> rates(instances);
    double asked = 0;
    for (auto& rate : rates) asked += rate = static_cast<double>(1 + random() % 100);
    const double overload = 1.3 + static_cast<double>(random() % 30) / 10;
    for (auto& rate : rates) rate *= overload * row.rate / asked;
    shared_limit limit(instances, row);
    for (int i = 0; i < 300; ++i) limit.tick(rates, random);
    double passed = 0;
    for (int i = 0; i < 2000; ++i) passed += static_cast<double>(limit.tick(rates, random));
    RC_ASSERT(passed <= row.rate * 20 * 1.05 + row.burst);
    RC_ASSERT(passed >= row.rate * 20 * 0.95);
  }));
}

BOOST_AUTO_TEST_CASE(a_shift_between_instances_settles) {
  std::mt19937_64 random(3);
  const limit_row row{"row", tenant_id{"*"}, "*", 400, 20};
  shared_limit limit(2, row);
  for (int i = 0; i < 500; ++i) limit.tick({1000, 0}, random);
  for (int i = 0; i < 300; ++i) limit.tick({0, 1000}, random);
  double passed = 0;
  for (int i = 0; i < 2000; ++i) passed += static_cast<double>(limit.tick({0, 1000}, random));
  BOOST_TEST(passed <= 400 * 20 * 1.05 + 20);
  BOOST_TEST(passed >= 400 * 20 * 0.95);
}

BOOST_AUTO_TEST_CASE(limits_bound_their_memory) {
  limiter limits({.max_buckets = 100, .max_reports = 150});
  limits.set_limits(service, {{"row", tenant_id{"*"}, "*", 1, 1}});
  std::size_t allowed = 0;
  for (int i = 0; i < 10000; ++i) {
    const tenant_id made{"made-up-" + std::to_string(i)};
    allowed += limits.check(service, made, request_class::counter, start).allowed;
  }
  BOOST_TEST(limits.buckets() <= 101U);
  BOOST_TEST(allowed <= 101U);  // the rest share one bucket
  std::vector<limit_use> entries;
  entries.reserve(1000);
  for (int i = 0; i < 1000; ++i) entries.push_back({"s/row", tenant_id{std::to_string(i)}, 1});
  for (int i = 0; i < 5; ++i) limits.on_usage(instance_id{std::to_string(i)}, entries, start);
  BOOST_TEST(limits.reports() <= 150U);
}

BOOST_AUTO_TEST_CASE(two_choices_follow_weight_and_avoid_the_unusable) {
  BOOST_TEST(rc::check("loads end near equal per slot", [] {
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    std::vector<balance_candidate> all(2 + random() % 12);
    double capacity = 0;
    for (auto& c : all) {
      c.slots = random() % 2 == 0 ? 3 : 6;
      c.weight = 1 + static_cast<double>(random() % 3);
      c.usable = random() % 4 != 0;
      if (c.usable) capacity += c.weight * c.slots;
    }
    const double wanted = 40;
    for (int i = 0; i < static_cast<int>(wanted * capacity); ++i) {
      const auto chosen = choose_upstream(all, random());
      RC_ASSERT(chosen.has_value());
      RC_ASSERT(all[*chosen].usable);
      ++all[*chosen].outstanding;
    }
    for (const auto& c : all) {
      if (c.usable) RC_ASSERT(c.outstanding <= wanted * c.weight * c.slots * 1.15 + 3);
    }
  }));
}

BOOST_AUTO_TEST_CASE(at_most_the_stated_share_is_set_aside) {
  BOOST_TEST(rc::check("whatever is observed and reported", [] {
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    const std::size_t count = 1 + random() % 16;
    health_tracker health({.set_aside = static_cast<double>(random() % 11) / 10}, count);
    monotonic_time now = start;
    for (int i = 0; i < 2000; ++i) {
      const std::size_t u = random() % count;
      now += milliseconds(random() % 50);
      switch (random() % 5) {
        case 0:
          health.on_success(u, milliseconds(1 + random() % 500), now);
          break;
        case 1:
          health.on_failure(u, static_cast<failure_kind>(random() % 5), now);
          break;
        case 2:
          health.on_report(u, {.draining = random() % 2 == 0, .shedding = true, .cold = 0.9}, now);
          break;
        case 3:
          for (const auto due : health.probes_due(now)) {
            if (random() % 2 == 0) health.on_probe(due, random() % 2 == 0, now);
          }
          break;
        default:
          health.on_probe(u, false, now);
      }
      std::size_t aside = 0;
      for (std::size_t k = 0; k < count; ++k) {
        aside += !health.usable(k, now);
        RC_ASSERT(health.share(k, now) >= 0.5);
        RC_ASSERT(health.share(k, now) <= 1);
      }
      RC_ASSERT(aside <= health.most_set_aside());
    }
    // Set aside is never for good: answered probes bring all back. The first round may still end
    // probes that nobody answered.
    for (int round = 0; round < 2; ++round) {
      now += seconds(20);
      for (const auto due : health.probes_due(now)) health.on_probe(due, true, now);
    }
    for (std::size_t k = 0; k < count; ++k) RC_ASSERT(health.usable(k, now));
  }));
}

BOOST_AUTO_TEST_SUITE_END()
