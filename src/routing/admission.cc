// Slots are counted exactly: a request holds one from its admission to finish().
//
// Between classes: the most urgent class with a waiting request and room goes first, except that a
// class which was passed over max_passes times while it had room goes before it. A waiting request
// at the head of its class is therefore passed over a bounded number of times.
//
// Room is nested: a class and all less urgent ones share class_slots, so slow uploads can't hold
// every slot. With 3 slots such whole numbers would leave much idle, so they may go beyond it, up
// to all slots but one, while the smoothed use of the more urgent classes and spare_slots fit in
// what is left.
//
// Between tenants of a class: in turn, one request each. A full queue takes a request of a tenant
// that waits with fewer than the longest one, which loses its newest.
//
// Refusal at once: a request whose estimated start lies after its latest start (deadline less the
// class's mean service time) is refused instead of queued; a waiting one is dropped at that time.
//
// Costs: offer and finish O(log waiting), displacement O(tenants that wait).

#include "routing/admission.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace plantainpaddle {
namespace {

// Weight of the newest observation in the mean service time: 1 in 16.
constexpr int service_smoothing = 16;

std::size_t index_of(request_class klass) { return static_cast<std::size_t>(klass); }

}  // namespace

std::string_view refusal_name(refusal reason) noexcept {
  constexpr std::string_view names[] = {"none", "duplicate_id", "queue_full", "too_late",
                                        "no_slots"};
  return names[static_cast<std::size_t>(reason)];
}

per_class<std::uint32_t> queue_lengths(const admission_config& config) {
  per_class<std::uint32_t> made{};
  for (std::size_t c = 0; c < request_class_count; ++c) {
    made[c] = std::max(1U, static_cast<std::uint32_t>(config.queued_per_slot[c] * config.slots));
  }
  return made;
}

per_class<std::uint32_t> class_slots(std::uint32_t slots) {
  if (slots <= 1) return {slots, slots, slots, slots};
  const std::uint32_t slow = slots / 2;
  return {slots, slots - 1, slow, std::max(1U, slow / 2)};
}

admission::admission(admission_config config)
    : config_(config),
      class_slots_(plantainpaddle::class_slots(config.slots)),
      max_queued_(queue_lengths(config)),
      mean_service_(config.first_service) {}

std::size_t admission::running(request_class klass) const {
  return running_by_class_[index_of(klass)];
}

std::size_t admission::queued(request_class klass) const { return queues_[index_of(klass)].size; }

duration admission::mean_service(request_class klass) const {
  return mean_service_[index_of(klass)];
}

bool admission::has_room(std::size_t klass) const {
  std::uint32_t held = 0;
  for (const auto running : running_by_class_) held += running;
  if (held >= config_.slots) return false;
  double urgent_use = 0;
  for (std::size_t c = 1; c <= klass; ++c) {
    held -= running_by_class_[c - 1];
    urgent_use += use_[c - 1];
    if (held < class_slots_[c]) continue;
    if (held + 1 >= config_.slots) return false;
    if (held + 1 + urgent_use + config_.spare_slots > config_.slots) return false;
  }
  return true;
}

void admission::smooth_use(monotonic_time now) {
  if (now <= use_updated_) return;
  const double keep = std::exp(-std::chrono::duration<double>(now - use_updated_) /
                               std::chrono::duration<double>(config_.use_window));
  for (std::size_t c = 0; c < request_class_count; ++c) {
    const auto used = static_cast<double>(running_by_class_[c] + queues_[c].size);
    use_[c] = used + keep * (use_[c] - used);
  }
  use_updated_ = now;
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
  duration work = mean_service_[c] * static_cast<std::int64_t>(ahead);
  for (std::size_t k = 0; k < c; ++k) {
    work += mean_service_[k] * static_cast<std::int64_t>(queues_[k].size);
  }
  if (ahead == 0 && work == duration{0} && has_room(c)) return duration{0};
  return work / static_cast<std::int64_t>(std::max(1U, class_slots_[c]));
}

admission_offer admission::offer(const admission_request& request, monotonic_time now) {
  admission_offer made;
  smooth_use(now);
  made.expired = drop_late(now);
  const std::size_t c = index_of(request.klass);
  const monotonic_time latest_start = request.deadline - mean_service_[c];
  if (running_.contains(request.id) || waiting_.contains(request.id)) {
    made.reason = refusal::duplicate_id;
    return made;
  }
  if (config_.slots == 0) {
    made.reason = refusal::no_slots;
    return made;
  }
  if (request.deadline <= now) {
    made.reason = refusal::too_late;
    return made;
  }
  if (queues_[c].size == 0 && has_room(c)) {
    start(request.id, c, now);
    made.verdict = admission_verdict::admitted;
    return made;
  }
  if (now + estimated_wait(request.klass, request.tenant) >= latest_start) {
    made.reason = refusal::too_late;
    return made;
  }
  if (queues_[c].size >= max_queued_[c]) {
    const auto displaced = displace_for(request);
    if (!displaced) {
      made.reason = refusal::queue_full;
      return made;
    }
    remove_waiting(*displaced);
    made.displaced.push_back(*displaced);
  }
  auto& queue = queues_[c];
  auto& ids = queue.tenants[request.tenant];
  if (ids.empty()) queue.turn.push_back(request.tenant);
  ids.push_back(request.id);
  ++queue.size;
  waiting_.emplace(request.id, waiting_request{request.klass, request.tenant, latest_start});
  by_latest_start_.emplace(latest_start, request.id);
  made.verdict = admission_verdict::queued;
  return made;
}

// The newest request of the longest queue, if that queue stays at least as long as the newcomer's.
std::optional<admission_id> admission::displace_for(const admission_request& request) {
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
  const auto place = waiting_.find(id);
  const waiting_request& request = place->second;
  auto& queue = queues_[index_of(request.klass)];
  const auto tenant = queue.tenants.find(request.tenant);
  auto& ids = tenant->second;
  ids.erase(std::find(ids.begin(), ids.end(), id));
  if (ids.empty()) {
    queue.turn.erase(std::find(queue.turn.begin(), queue.turn.end(), request.tenant));
    queue.tenants.erase(tenant);
  }
  if (--queue.size == 0) queue.passes = 0;
  by_latest_start_.erase({request.latest_start, id});
  waiting_.erase(place);
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

admission_changes admission::fill(monotonic_time now) {
  admission_changes changes;
  while (const auto chosen = next_class()) {
    auto& queue = queues_[*chosen];
    const tenant_id tenant = queue.turn.front();
    const admission_id id = queue.tenants[tenant].front();
    for (std::size_t c = *chosen + 1; c < request_class_count; ++c) {
      if (queues_[c].size > 0 && has_room(c)) ++queues_[c].passes;
    }
    remove_waiting(id);
    if (queue.turn.size() > 1 && queue.turn.front() == tenant) {
      queue.turn.pop_front();
      queue.turn.push_back(tenant);
    }
    queue.passes = 0;
    start(id, *chosen, now);
    changes.admitted.push_back(id);
  }
  return changes;
}

admission_changes admission::finish(admission_id id, monotonic_time now, bool observe) {
  const auto place = running_.find(id);
  if (place == running_.end()) return {};
  smooth_use(now);
  const auto request = place->second;
  running_.erase(place);
  const std::size_t c = index_of(request.klass);
  --running_by_class_[c];
  if (observe) mean_service_[c] += (now - request.since - mean_service_[c]) / service_smoothing;
  return expire(now);
}

bool admission::cancel(admission_id id) {
  if (!waiting_.contains(id)) return false;
  remove_waiting(id);
  return true;
}

std::vector<admission_id> admission::drop_late(monotonic_time now) {
  std::vector<admission_id> late;
  while (!by_latest_start_.empty() && by_latest_start_.begin()->first <= now) {
    late.push_back(by_latest_start_.begin()->second);
    remove_waiting(late.back());
  }
  return late;
}

admission_changes admission::expire(monotonic_time now) {
  smooth_use(now);
  auto late = drop_late(now);
  auto changes = fill(now);
  changes.expired = std::move(late);
  return changes;
}

admission_changes admission::set_slots(std::uint32_t slots, monotonic_time now) {
  smooth_use(now);
  config_.slots = slots;
  class_slots_ = plantainpaddle::class_slots(slots);
  max_queued_ = queue_lengths(config_);
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
