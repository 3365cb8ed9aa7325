// Runs random sequences of calls against a model that counts slots, queues and passes.
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <map>

#include "routing/admission.h"

using namespace plantainpaddle;

namespace {

constexpr std::size_t tenant_count = 4;

// A call and its arguments as small numbers, so that RapidCheck shrinks a failure to a short list.
struct call {
  unsigned kind = 0;
  unsigned klass = 0;
  unsigned tenant = 0;
  unsigned amount = 0;
};

std::ostream& operator<<(std::ostream& out, const call& c) {
  return out << "{" << c.kind << ", " << c.klass << ", " << c.tenant << ", " << c.amount << "}";
}

}  // namespace

template <>
struct rc::Arbitrary<call> {
  static rc::Gen<call> arbitrary() {
    return rc::gen::build<call>(rc::gen::set(&call::kind, rc::gen::inRange(0U, 16U)),
                                rc::gen::set(&call::klass, rc::gen::inRange(0U, 4U)),
                                rc::gen::set(&call::tenant, rc::gen::inRange(0U, 4U)),
                                rc::gen::set(&call::amount, rc::gen::inRange(0U, 100U)));
  }
};

namespace {

class model {
 public:
  explicit model(std::uint32_t slots)
      : config_{.slots = slots, .queued_per_slot = {2, 1, 1, 0.5}, .max_passes = {0, 3, 5, 7}},
        gate_(config_) {}

  void run(const call& c) {
    if (c.kind < 8) {
      offer(c);
    } else if (c.kind < 13) {
      finish(c);
    } else if (c.kind == 13) {
      cancel(c);
    } else if (c.kind == 14) {
      now_ += milliseconds(c.amount);
      apply(gate_.expire(now_));
    } else {
      config_.slots = c.amount % 8;
      // A queue over the new limit keeps its requests and shrinks as they are served.
      for (auto& most : max_queued_) most = 0;
      for (const auto& [id, r] : waiting_) ++max_queued_[r.klass];
      apply(gate_.set_slots(config_.slots, now_));
    }
    check();
  }

  // Checks that every request that was ever offered has been answered once all have finished.
  void drain() {
    config_.slots = std::max(1U, config_.slots);
    apply(gate_.set_slots(config_.slots, now_));
    while (!running_.empty()) {
      const auto id = running_.begin()->first;
      running_.erase(id);
      apply(gate_.finish(id, now_ += milliseconds(1)));
    }
    RC_ASSERT(waiting_.empty());
    RC_ASSERT(gate_.queued() == 0U);
    RC_ASSERT(gate_.running() == 0U);
  }

 private:
  struct request {
    std::size_t klass = 0;
    std::size_t tenant = 0;
    monotonic_time deadline;
  };

  void offer(const call& c) {
    const admission_id id = ++last_id_;
    const request made{c.klass, c.tenant, now_ + milliseconds(10 * c.amount)};
    const auto offered = gate_.offer({id, static_cast<request_class>(c.klass),
                                      tenant_id{std::to_string(c.tenant)}, made.deadline},
                                     now_);
    for (const auto lost : offered.expired) remove_waiting(lost);
    for (const auto lost : offered.displaced) {
      RC_ASSERT(waiting_.at(lost).klass == c.klass);
      RC_ASSERT(waiting_.at(lost).tenant != c.tenant);
      remove_waiting(lost);
    }
    switch (offered.verdict) {
      case admission_verdict::admitted:
        waiting_[id] = made;
        admit(id);
        break;
      case admission_verdict::queued:
        waiting_[id] = made;
        break;
      case admission_verdict::refused:
        RC_ASSERT(offered.reason != refusal::none);
        break;
    }
  }

  void finish(const call& c) {
    if (running_.empty()) return;
    auto it = running_.begin();
    std::advance(it, c.amount % running_.size());
    const auto id = it->first;
    running_.erase(it);
    apply(gate_.finish(id, now_));
    RC_ASSERT(gate_.finish(id, now_).admitted.empty());  // a second time is ignored
  }

  void cancel(const call& c) {
    const admission_id id = c.amount < last_id_ ? last_id_ - c.amount : 1;
    const bool waits = waiting_.contains(id);
    RC_ASSERT(gate_.cancel(id) == waits);
    if (waits) remove_waiting(id);
  }

  void apply(const admission_changes& changes) {
    for (const auto id : changes.expired) remove_waiting(id);
    for (const auto id : changes.admitted) admit(id);
  }

  void remove_waiting(admission_id id) {
    RC_ASSERT(waiting_.contains(id));
    forget(id);
  }

  void forget(admission_id id) {
    const auto klass = waiting_.at(id).klass;
    waiting_.erase(id);
    tenant_passes_.erase(id);
    const bool empty = std::none_of(waiting_.begin(), waiting_.end(),
                                    [&](const auto& w) { return w.second.klass == klass; });
    if (empty) class_passes_[klass] = 0;
  }

  std::uint32_t held(std::size_t klass) const {
    std::uint32_t count = 0;
    for (const auto& [id, r] : running_) count += r.klass >= klass;
    return count;
  }

  // Whether a class has room independently of the smoothed use of the others.
  bool has_guaranteed_room(std::size_t klass) const {
    const auto most = class_slots(config_.slots);
    for (std::size_t c = 0; c <= klass; ++c) {
      if (held(c) >= most[c]) return false;
    }
    return held(0) < config_.slots;
  }

  // Only counter requests may take the last slot, unless there is only one.
  bool may_have_room(std::size_t klass) const {
    const bool last = klass > 0 && config_.slots > 1 && held(1) + 1 >= config_.slots;
    return held(0) < config_.slots && !last;
  }

  void admit(admission_id id) {
    const auto it = waiting_.find(id);
    RC_ASSERT(it != waiting_.end());
    const request r = it->second;
    RC_ASSERT(may_have_room(r.klass));
    RC_ASSERT(r.deadline > now_);
    forget(id);
    class_passes_[r.klass] = 0;
    std::array<bool, request_class_count> passed{};
    std::map<std::size_t, admission_id> first_of_tenant;
    for (const auto& [other, w] : waiting_) {
      if (w.klass > r.klass && has_guaranteed_room(w.klass)) passed[w.klass] = true;
      if (w.klass == r.klass && w.tenant != r.tenant) first_of_tenant.try_emplace(w.tenant, other);
    }
    // A class is passed over at most max_passes times, and once more for each other class that has
    // reached its own limit as well.
    for (std::size_t c = 0; c < request_class_count; ++c) {
      if (!passed[c]) continue;
      RC_ASSERT(++class_passes_[c] <= config_.max_passes[c] + request_class_count - 1);
    }
    // Within a class, each other tenant may go first once.
    for (const auto& [tenant, other] : first_of_tenant) {
      RC_ASSERT(++tenant_passes_[other] < tenant_count);
    }
    running_[id] = r;
  }

  void check() const {
    RC_ASSERT(gate_.running() == running_.size());
    RC_ASSERT(gate_.queued() == waiting_.size());
    std::array<std::size_t, request_class_count> waiting{};
    for (const auto& [id, r] : waiting_) ++waiting[r.klass];
    for (std::size_t c = 0; c < request_class_count; ++c) {
      RC_ASSERT(waiting[c] <= std::max(max_queue_lengths(config_)[c], max_queued_[c]));
      // No class waits while it has guaranteed room.
      RC_ASSERT(waiting[c] == 0 || !has_guaranteed_room(c));
    }
    RC_ASSERT(gate_.next_wakeup().has_value() == !waiting_.empty());
  }

  admission_config config_;
  admission gate_;
  per_class<std::uint32_t> max_queued_{};  // queue lengths when the slots were last changed
  monotonic_time now_{seconds(1000)};
  admission_id last_id_ = 0;
  std::map<admission_id, request> waiting_;
  std::map<admission_id, request> running_;
  // Times that each class was passed over since its last admission.
  std::array<std::uint32_t, request_class_count> class_passes_{};
  std::map<admission_id, std::uint32_t> tenant_passes_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(admission_properties)

BOOST_AUTO_TEST_CASE(random_calls_keep_the_invariants) {
  BOOST_TEST(rc::check("slots, queues, answers and turns", [](const std::vector<call>& calls) {
    model m(1 + static_cast<std::uint32_t>(calls.size()) % 7);
    for (const auto& c : calls) m.run(c);
    m.drain();
  }));
}

BOOST_AUTO_TEST_CASE(long_random_runs_keep_the_invariants) {
  BOOST_TEST(rc::check("over thousands of calls", [] {
    std::uint64_t state = *rc::gen::arbitrary<std::uint64_t>() | 1;
    const auto random = [&](unsigned below) {
      state ^= state << 13;
      state ^= state >> 7;
      state ^= state << 17;
      return static_cast<unsigned>((state >> 32) % below);
    };
    model m(1 + random(7));
    for (int i = 0; i < 2000; ++i) m.run({random(16), random(4), random(4), random(100)});
    m.drain();
  }));
}

BOOST_AUTO_TEST_SUITE_END()
