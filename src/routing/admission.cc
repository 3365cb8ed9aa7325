// Slots are counted exactly: a request holds one from its admission to finish().
//
// Order of classes: the most urgent class that has a waiting request and room goes first, unless a
// less urgent class has been passed over max_passes times while it had room. The request at the
// head of a class is therefore passed over a bounded number of times.
//
// Room of a class: class_slots is a cap on a class together with all less urgent ones, so that slow
// uploads can't hold every slot. With few slots, such as 3, rounding the caps to whole slots would
// leave much of the upstream idle. A class may therefore exceed its cap, up to all slots but one,
// as long as the smoothed use of the more urgent classes plus spare_slots fits in the rest.
//
// Order of tenants within a class: round robin, one request each. When the queue is full, a request
// of a tenant with fewer waiting requests displaces the newest request of the tenant with the most.
//
// Deadlines: the latest start of a request is its deadline less the mean service time of its class.
// A request whose estimated start is not before that is refused instead of queued, and a waiting
// request is removed at that time.
//
// Cost: O(log waiting) for each request that is admitted, queued or removed. A removal also
// searches the request's tenant queue, and the tenants of its class if that queue becomes empty.
// The estimate of the wait and a displacement take O(tenants that wait).

#include "routing/admission.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace plantainpaddle {
namespace {

// The newest observation has a weight of 1/16 in the mean service time.
constexpr int smoothing = 16;

std::size_t index_of(request_class klass) { return static_cast<std::size_t>(klass); }

}  // namespace

std::string_view refusal_name(refusal reason) noexcept {
  constexpr std::string_view names[] = {"none", "duplicate_id", "queue_full", "too_late",
                                        "no_slots"};
  return names[static_cast<std::size_t>(reason)];
}

per_class<std::uint32_t> max_queue_lengths(const admission_config& config) {
  per_class<std::uint32_t> lengths{};
  for (std::size_t c = 0; c < request_class_count; ++c) {
    lengths[c] = std::max(1U, static_cast<std::uint32_t>(config.queued_per_slot[c] * config.slots));
  }
  return lengths;
}

per_class<std::uint32_t> class_slots(std::uint32_t slots) {
  if (slots <= 1) return {slots, slots, slots, slots};
  const std::uint32_t slow = slots / 2;
  return {slots, slots - 1, slow, std::max(1U, slow / 2)};
}

admission::admission(admission_config config)
    : config_(config),
      class_slots_(plantainpaddle::class_slots(config.slots)),
      max_queued_(max_queue_lengths(config)),
      mean_service_time_(config.initial_service_time) {}

std::size_t admission::running(request_class klass) const {
  return running_by_class_[index_of(klass)];
}

std::size_t admission::queued(request_class klass) const { return queues_[index_of(klass)].size; }

duration admission::mean_service_time(request_class klass) const {
  return mean_service_time_[index_of(klass)];
}

bool admission::has_room(std::size_t klass) const {
  std::uint32_t held = 0;
  for (const auto running : running_by_class_) held += running;
  if (held >= config_.slots) return false;
  double urgent_use = 0;
  for (std::size_t c = 1; c <= klass; ++c) {
    held -= running_by_class_[c - 1];
    urgent_use += smoothed_use_[c - 1];
    if (held < class_slots_[c]) continue;
    if (held + 1 >= config_.slots) return false;
    if (held + 1 + urgent_use + config_.spare_slots > config_.slots) return false;
  }
  return true;
}

void admission::update_smoothed_use(monotonic_time now) {
  if (now <= smoothed_use_updated_) return;
  const double keep = std::exp(-std::chrono::duration<double>(now - smoothed_use_updated_) /
                               std::chrono::duration<double>(config_.use_window));
  for (std::size_t c = 0; c < request_class_count; ++c) {
    const auto used = static_cast<double>(running_by_class_[c] + queues_[c].size);
    smoothed_use_[c] = used + keep * (smoothed_use_[c] - used);
  }
  smoothed_use_updated_ = now;
}

void admission::start(admission_id id, std::size_t klass, monotonic_time now) {
  running_.emplace(id, running_request{static_cast<request_class>(klass), now});
  ++running_by_class_[klass];
}

duration admission::estimated_wait(request_class klass, const tenant_id& tenant) const {
  const std::size_t c = index_of(klass);
  const auto& queue = queues_[c];
  const auto own = queue.tenants.find(tenant);
  const std::size_t before_own = own == queue.tenants.end() ? 0 : own->second.size();
  std::size_t ahead = before_own;
  for (const auto& [name, ids] : queue.tenants) {
    if (name != tenant) ahead += std::min(ids.size(), before_own + 1);
  }
  duration work = mean_service_time_[c] * static_cast<std::int64_t>(ahead);
  for (std::size_t k = 0; k < c; ++k) {
    work += mean_service_time_[k] * static_cast<std::int64_t>(queues_[k].size);
  }
  if (ahead == 0 && work == duration{0} && has_room(c)) return duration{0};
  return work / static_cast<std::int64_t>(std::max(1U, class_slots_[c]));
}

admission_decision admission::offer(const admission_request& request, monotonic_time now) {
  admission_decision decision;
  update_smoothed_use(now);
  decision.expired = remove_expired(now);
  const std::size_t c = index_of(request.klass);
  const monotonic_time latest_start = request.deadline - mean_service_time_[c];
  if (running_.contains(request.id) || waiting_.contains(request.id)) {
    decision.reason = refusal::duplicate_id;
    return decision;
  }
  if (config_.slots == 0) {
    decision.reason = refusal::no_slots;
    return decision;
  }
  if (request.deadline <= now) {
    decision.reason = refusal::too_late;
    return decision;
  }
  if (queues_[c].size == 0 && has_room(c)) {
    start(request.id, c, now);
    decision.verdict = admission_verdict::admitted;
    return decision;
  }
  if (now + estimated_wait(request.klass, request.tenant) >= latest_start) {
    decision.reason = refusal::too_late;
    return decision;
  }
  if (queues_[c].size >= max_queued_[c]) {
    const auto displaced = find_displaced(request);
    if (!displaced) {
      decision.reason = refusal::queue_full;
      return decision;
    }
    remove_waiting(*displaced);
    decision.displaced.push_back(*displaced);
  }
  auto& queue = queues_[c];
  auto& ids = queue.tenants[request.tenant];
  if (ids.empty()) queue.tenant_order.push_back(request.tenant);
  ids.push_back(request.id);
  ++queue.size;
  waiting_.emplace(request.id, waiting_request{request.klass, request.tenant, latest_start});
  by_latest_start_.emplace(latest_start, request.id);
  decision.verdict = admission_verdict::queued;
  return decision;
}

// Returns the newest request of the tenant with the longest queue, if that queue is longer than the
// queue of the new request's tenant would become.
std::optional<admission_id> admission::find_displaced(const admission_request& request) {
  const auto& tenants = queues_[index_of(request.klass)].tenants;
  const auto own = tenants.find(request.tenant);
  const std::size_t own_size = own == tenants.end() ? 0 : own->second.size();
  const auto longest = std::max_element(
      tenants.begin(), tenants.end(),
      [](const auto& a, const auto& b) { return a.second.size() < b.second.size(); });
  if (longest == tenants.end() || longest->second.size() <= own_size + 1) return std::nullopt;
  return longest->second.back();
}

void admission::remove_waiting(admission_id id) {
  const auto it = waiting_.find(id);
  const waiting_request& request = it->second;
  auto& queue = queues_[index_of(request.klass)];
  const auto tenant = queue.tenants.find(request.tenant);
  auto& ids = tenant->second;
  ids.erase(std::find(ids.begin(), ids.end(), id));
  if (ids.empty()) {
    queue.tenant_order.erase(
        std::find(queue.tenant_order.begin(), queue.tenant_order.end(), request.tenant));
    queue.tenants.erase(tenant);
  }
  if (--queue.size == 0) queue.passes = 0;
  by_latest_start_.erase({request.latest_start, id});
  waiting_.erase(it);
}

std::optional<std::size_t> admission::next_class() const {
  std::optional<std::size_t> first;
  for (std::size_t c = 0; c < request_class_count; ++c) {
    if (queues_[c].size == 0 || !has_room(c)) continue;
    if (!first) {
      first = c;
    } else if (queues_[c].passes >= config_.max_passes[c]) {
      return c;
    }
  }
  return first;
}

admission_changes admission::admit_waiting(monotonic_time now) {
  admission_changes changes;
  while (const auto chosen = next_class()) {
    auto& queue = queues_[*chosen];
    const tenant_id tenant = queue.tenant_order.front();
    const admission_id id = queue.tenants[tenant].front();
    for (std::size_t c = *chosen + 1; c < request_class_count; ++c) {
      if (queues_[c].size > 0 && has_room(c)) ++queues_[c].passes;
    }
    remove_waiting(id);
    if (queue.tenant_order.size() > 1 && queue.tenant_order.front() == tenant) {
      queue.tenant_order.pop_front();
      queue.tenant_order.push_back(tenant);
    }
    queue.passes = 0;
    start(id, *chosen, now);
    changes.admitted.push_back(id);
  }
  return changes;
}

admission_changes admission::finish(admission_id id, monotonic_time now, bool observe) {
  const auto it = running_.find(id);
  if (it == running_.end()) return {};
  update_smoothed_use(now);
  const auto request = it->second;
  running_.erase(it);
  const std::size_t c = index_of(request.klass);
  --running_by_class_[c];
  if (observe) mean_service_time_[c] += (now - request.since - mean_service_time_[c]) / smoothing;
  return expire(now);
}

bool admission::cancel(admission_id id) {
  if (!waiting_.contains(id)) return false;
  remove_waiting(id);
  return true;
}

std::vector<admission_id> admission::remove_expired(monotonic_time now) {
  std::vector<admission_id> expired;
  while (!by_latest_start_.empty() && by_latest_start_.begin()->first <= now) {
    expired.push_back(by_latest_start_.begin()->second);
    remove_waiting(expired.back());
  }
  return expired;
}

admission_changes admission::expire(monotonic_time now) {
  update_smoothed_use(now);
  auto expired = remove_expired(now);
  auto changes = admit_waiting(now);
  changes.expired = std::move(expired);
  return changes;
}

admission_changes admission::set_slots(std::uint32_t slots, monotonic_time now) {
  update_smoothed_use(now);
  config_.slots = slots;
  class_slots_ = plantainpaddle::class_slots(slots);
  max_queued_ = max_queue_lengths(config_);
  return expire(now);
}

std::optional<monotonic_time> admission::next_wakeup() const {
  if (by_latest_start_.empty()) return std::nullopt;
  return by_latest_start_.begin()->first;
}

std::size_t admission::queue_limit() const {
  return std::accumulate(max_queued_.begin(), max_queued_.end(), std::size_t{0});
}

}  // namespace plantainpaddle
