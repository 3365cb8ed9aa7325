#include "entry/gate.h"

namespace plantainpaddle {

void upstream_gate::collect_handlers(decisions& out, const std::vector<admission_id>& ids,
                                     bool admitted) {
  for (const auto id : ids) {
    const auto found = waiting_.find(id);
    if (found == waiting_.end()) continue;
    out.emplace_back(std::move(found->second), admitted);
    waiting_.erase(found);
  }
}

void upstream_gate::call_handlers(const decisions& decided) {
  for (const auto& [handler, admitted] : decided) handler(admitted);
}

upstream_gate::enter_result upstream_gate::enter(const admission_request& request,
                                                 monotonic_time now, decision_handler on_decision) {
  decisions decided;
  enter_result entered;
  {
    const std::lock_guard lock(mutex_);
    const auto offer = admission_.offer(request, now);
    entered = {offer.verdict, offer.reason};
    if (offer.verdict == admission_verdict::queued) {
      waiting_.emplace(request.id, std::move(on_decision));
    }
    collect_handlers(decided, offer.displaced, false);
    collect_handlers(decided, offer.expired, false);
  }
  call_handlers(decided);
  return entered;
}

void upstream_gate::leave(admission_id id, monotonic_time now, bool observe) {
  decisions decided;
  {
    const std::lock_guard lock(mutex_);
    waiting_.erase(id);
    if (!admission_.cancel(id)) {
      const auto changes = admission_.finish(id, now, observe);
      collect_handlers(decided, changes.admitted, true);
      collect_handlers(decided, changes.expired, false);
    }
  }
  call_handlers(decided);
}

void upstream_gate::expire(monotonic_time now) {
  decisions decided;
  {
    const std::lock_guard lock(mutex_);
    const auto changes = admission_.expire(now);
    collect_handlers(decided, changes.admitted, true);
    collect_handlers(decided, changes.expired, false);
  }
  call_handlers(decided);
}

void upstream_gate::set_slots(std::uint32_t slots, monotonic_time now) {
  decisions decided;
  {
    const std::lock_guard lock(mutex_);
    if (slots == admission_.slots()) return;
    const auto changes = admission_.set_slots(slots, now);
    collect_handlers(decided, changes.admitted, true);
    collect_handlers(decided, changes.expired, false);
  }
  call_handlers(decided);
}

std::size_t upstream_gate::running() const {
  const std::lock_guard lock(mutex_);
  return admission_.running();
}

std::size_t upstream_gate::queued() const {
  const std::lock_guard lock(mutex_);
  return admission_.queued();
}

std::size_t upstream_gate::queue_limit() const {
  const std::lock_guard lock(mutex_);
  return admission_.queue_limit();
}

}  // namespace plantainpaddle
