// Which request gets a slot of one upstream, which waits, and which is refused at once.
//
//   admission gate({.slots = 6});
//   auto offered = gate.offer({id, request_class::counter, tenant, deadline}, now);
//   ...                                     // offered.verdict; offered.displaced are refused
//   auto changes = gate.finish(id, now);    // changes.admitted may run, changes.expired are
//   refused
//
// Used where the slots of an upstream are known exactly, at its dispatcher. Not thread-safe. Ids
// are the caller's and must be unique among the requests that wait or run. At most max_queued
// requests of a class wait, so that the memory is bounded by their sum and the slots.
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
  // Most waiting requests of each class, per slot; at least one.
  per_class<double> queued_per_slot{1, 2, 1, 4};
  // Most more urgent admissions that may pass over a class whose next request could run.
  per_class<std::uint32_t> max_passes{0, 16, 32, 64};
  // Service times assumed until the first one of a class has been observed.
  per_class<duration> first_service{milliseconds(10), milliseconds(20), milliseconds(500),
                                    milliseconds(500)};
  // Slots that are left free besides the mean use of the more urgent classes, when a class takes
  // more than class_slots gives it; and the time over which that use is smoothed.
  double spare_slots = 0.4;
  duration use_window = milliseconds(500);

  bool operator==(const admission_config&) const = default;
};

// The slots that a class and all less urgent ones may always hold together. They may hold more, but
// never the last slot, while the more urgent classes use few. One slot: any class may hold it.
per_class<std::uint32_t> class_slots(std::uint32_t slots);

// Most waiting requests of each class.
per_class<std::uint32_t> queue_lengths(const admission_config& config);

struct admission_request {
  admission_id id = 0;
  request_class klass = request_class::counter;
  tenant_id tenant;
  monotonic_time deadline;
};

enum class admission_verdict { admitted, queued, refused };

enum class refusal { none, duplicate_id, queue_full, too_late, no_slots };
std::string_view refusal_name(refusal reason) noexcept;

struct admission_offer {
  admission_verdict verdict = admission_verdict::refused;
  refusal reason = refusal::none;
  // Waiting requests of a tenant with a longer queue that gave up their place: refused, not run.
  std::vector<admission_id> displaced;
  // Waiting requests that can't be served in time any more: refused, not run.
  std::vector<admission_id> expired;
};

struct admission_changes {
  std::vector<admission_id> admitted;  // may be sent now
  std::vector<admission_id> expired;   // refused, not run
};

class admission {
 public:
  explicit admission(admission_config config);

  admission_offer offer(const admission_request& request, monotonic_time now);

  // The upstream is done with a running request; with observe false its time isn't learnt from.
  // Unknown ids are ignored.
  admission_changes finish(admission_id id, monotonic_time now, bool observe = true);

  // Forgets a waiting request: true. A running one keeps its slot until finish(): false.
  bool cancel(admission_id id);

  // Waiting requests that can't be served in time any more, and those that may run by now since the
  // more urgent classes use fewer slots.
  admission_changes expire(monotonic_time now);

  // From the table, or less of it during a cold start. Running requests go on.
  admission_changes set_slots(std::uint32_t slots, monotonic_time now);

  // When expire() has something to do next; nothing while no request waits.
  std::optional<monotonic_time> next_wakeup() const;

  // How long a request would wait if it came now.
  duration estimated_wait(request_class klass, const tenant_id& tenant) const;

  std::uint32_t slots() const { return config_.slots; }
  std::size_t running() const { return running_.size(); }
  std::size_t running(request_class klass) const;
  std::size_t queued() const { return waiting_.size(); }
  // Most requests that wait at once, over all classes.
  std::size_t queue_limit() const;
  std::size_t queued(request_class klass) const;
  duration mean_service(request_class klass) const;

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
  // One class's waiting requests: a queue for each tenant, served in turn.
  struct class_queue {
    std::map<tenant_id, std::deque<admission_id>> tenants;
    std::deque<tenant_id> turn;  // the tenants that have waiting requests, next one first
    std::size_t size = 0;
    std::uint32_t passes = 0;
  };

  bool has_room(std::size_t klass) const;
  void smooth_use(monotonic_time now);
  std::vector<admission_id> drop_late(monotonic_time now);
  void start(admission_id id, std::size_t klass, monotonic_time now);
  void remove_waiting(admission_id id);
  std::optional<std::size_t> next_class() const;
  admission_changes fill(monotonic_time now);
  std::optional<admission_id> displace_for(const admission_request& request);

  admission_config config_;
  per_class<std::uint32_t> class_slots_;
  per_class<std::uint32_t> max_queued_;
  per_class<std::uint32_t> running_by_class_{};
  per_class<double> use_{};  // slots used or waited for, smoothed
  monotonic_time use_updated_{};
  per_class<duration> mean_service_;
  per_class<class_queue> queues_;
  std::unordered_map<admission_id, running_request> running_;
  std::unordered_map<admission_id, waiting_request> waiting_;
  std::set<std::pair<monotonic_time, admission_id>> by_latest_start_;
};

}  // namespace plantainpaddle
