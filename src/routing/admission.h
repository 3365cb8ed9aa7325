// Admission control for the slots of one upstream: each request is admitted, queued or refused.
//
//   admission gate({.slots = 6});
//   auto offered = gate.offer({id, request_class::counter, tenant, deadline}, now);
//   ...                                   // act on offered.verdict; refuse offered.displaced
//   auto changes = gate.finish(id, now);  // send changes.admitted, refuse changes.expired
//
// It is used at the dispatcher of an upstream, which knows exactly how many slots are taken. Not
// thread-safe. The caller chooses the ids; they must be unique among the requests that wait or run.
// At most max_queue_lengths() requests of each class wait, which bounds the memory; a queue that is
// longer when set_slots() lowers its limit keeps its requests.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "table/rows.h"

namespace plantainpaddle {

using admission_id = std::uint64_t;

template <class T>
using per_class = std::array<T, request_class_count>;

struct admission_config {
  std::uint32_t slots = 6;
  // Limit on the waiting requests of each class, per slot. At least one may always wait.
  per_class<double> queued_per_slot{1, 2, 1, 4};
  // How many admissions of more urgent classes may pass over a class that has room for its next
  // request.
  per_class<std::uint32_t> max_passes{0, 16, 32, 64};
  // Initial values of the mean service times, which observations then update.
  per_class<duration> initial_service_time{milliseconds(10), milliseconds(20), milliseconds(500),
                                           milliseconds(500)};
  // Slots that stay free, besides the smoothed use of the more urgent classes, when a class takes
  // more than its class_slots().
  double spare_slots = 0.4;
  // Time constant of the smoothed use.
  duration use_window = milliseconds(500);

  bool operator==(const admission_config&) const = default;
};

// Returns, for each class, the slots that it and all less urgent classes may always hold together.
// While the more urgent classes use few slots they may hold more, but never the last one. If there
// is only one slot, any class may hold it.
per_class<std::uint32_t> class_slots(std::uint32_t slots);

// Returns the limit on the waiting requests of each class.
per_class<std::uint32_t> max_queue_lengths(const admission_config& config);

struct admission_request {
  admission_id id = 0;
  request_class klass = request_class::counter;
  tenant_id tenant;
  monotonic_time deadline;
};

enum class admission_verdict { admitted, queued, refused };

enum class refusal {
  none,
  duplicate_id,  // a request with the same id waits or runs
  queue_full,    // the class's queue is full, and no other tenant's queue in it is longer
  too_late,      // the request can't meet its deadline
  no_slots       // the upstream has no slots at all
};
std::string_view refusal_name(refusal reason) noexcept;

// The answer to an offered request. Its side effects on waiting requests are in the two lists.
struct admission_decision {
  admission_verdict verdict = admission_verdict::refused;
  refusal reason = refusal::none;
  // Waiting requests that were removed to make room, of the tenant with the longest queue. They
  // have not run and must be refused.
  std::vector<admission_id> displaced;
  // Waiting requests that can't meet their deadline any more. They have not run and must be
  // refused.
  std::vector<admission_id> expired;
};

// Requests that leave the queue.
struct admission_changes {
  std::vector<admission_id> admitted;  // to be sent now
  std::vector<admission_id> expired;   // to be refused; they have not run
};

class admission {
 public:
  explicit admission(admission_config config);

  // Decides on a new request. A refusal carries its reason.
  admission_decision offer(const admission_request& request, monotonic_time now);

  // Frees the slot of a running request. If observe is false, its duration doesn't count in the
  // mean service time. Unknown ids are ignored.
  admission_changes finish(admission_id id, monotonic_time now, bool observe = true);

  // Removes a waiting request and returns true. Returns false for any other id: a running request
  // keeps its slot until finish().
  bool cancel(admission_id id);

  // Removes the waiting requests that can't meet their deadline any more, and admits those that may
  // run by now because the smoothed use of the more urgent classes has fallen.
  admission_changes expire(monotonic_time now);

  // Sets the number of slots: the table's, or fewer during a cold start of the upstream. Running
  // requests continue.
  admission_changes set_slots(std::uint32_t slots, monotonic_time now);

  // Returns when expire() must be called next, or nullopt while no request waits.
  std::optional<monotonic_time> next_wakeup() const;

  // Returns the estimated wait of a request that arrived now.
  duration estimated_wait(request_class klass, const tenant_id& tenant) const;

  std::uint32_t slots() const { return config_.slots; }
  std::size_t running() const { return running_.size(); }
  std::size_t running(request_class klass) const;
  std::size_t queued() const { return waiting_.size(); }
  // Returns the limit on waiting requests, summed over all classes.
  std::size_t queue_limit() const;
  std::size_t queued(request_class klass) const;
  duration mean_service_time(request_class klass) const;

 private:
  struct running_request {
    request_class klass;
    monotonic_time since;
  };
  struct waiting_request {
    request_class klass;
    tenant_id tenant;
    monotonic_time latest_start;
  };
  // The waiting requests of one class: a queue for each tenant, served round robin.
  struct class_queue {
    std::map<tenant_id, std::deque<admission_id>> tenants;
    std::deque<tenant_id> tenant_order;  // tenants with waiting requests, the next one first
    std::size_t size = 0;
    std::uint32_t passes = 0;  // times passed over since the class's last admission
  };

  bool has_room(std::size_t klass) const;
  void update_smoothed_use(monotonic_time now);
  std::vector<admission_id> remove_expired(monotonic_time now);
  void start(admission_id id, std::size_t klass, monotonic_time now);
  void remove_waiting(admission_id id);
  std::optional<std::size_t> next_class() const;
  admission_changes admit_waiting(monotonic_time now);
  std::optional<admission_id> find_displaced(const admission_request& request);

  admission_config config_;
  per_class<std::uint32_t> class_slots_;
  per_class<std::uint32_t> max_queued_;
  per_class<std::uint32_t> running_by_class_{};
  per_class<double> smoothed_use_{};  // running and waiting requests, smoothed
  monotonic_time smoothed_use_updated_{};
  per_class<duration> mean_service_time_;
  per_class<class_queue> queues_;
  std::unordered_map<admission_id, running_request> running_;
  std::unordered_map<admission_id, waiting_request> waiting_;
  std::set<std::pair<monotonic_time, admission_id>> by_latest_start_;
};

}  // namespace plantainpaddle
