#include "entry/gate.h"

namespace plantainpaddle {

void upstream_gate::gather(decisions& out, const std::vector<admission_id>& ids, bool admitted) {
  for (const auto id : ids) {
    const auto place = waiting_.find(id);
    if (place == waiting_.end()) continue;
    out.emplace_back(std::move(place->second), admitted);
    waiting_.erase(place);
  }
}

void upstream_gate::tell(const decisions& made) {
  for (const auto& [handler, admitted] : made) handler(admitted);
}

upstream_gate::entrance upstream_gate::enter(const admission_request& request, monotonic_time now,
                                             decision_handler on_decision) {
  decisions made;
  entrance made_entrance;
  {
    const std::lock_guard lock(mutex_);
    const auto offer = admission_.offer(request, now);
    made_entrance = {offer.verdict, offer.reason};
    if (offer.verdict == admission_verdict::queued) {
      waiting_.emplace(request.id, std::move(on_decision));
    }
    gather(made, offer.displaced, false);
    gather(made, offer.expired, false);
  }
  tell(made);
  return made_entrance;
}

void upstream_gate::leave(admission_id id, monotonic_time now, bool observe) {
  decisions made;
  {
    const std::lock_guard lock(mutex_);
    waiting_.erase(id);
    if (!admission_.cancel(id)) {
      const auto changes = admission_.finish(id, now, observe);
      gather(made, changes.admitted, true);
      gather(made, changes.expired, false);
    }
  }
  tell(made);
}

void upstream_gate::expire(monotonic_time now) {
  decisions made;
  {
    const std::lock_guard lock(mutex_);
    const auto changes = admission_.expire(now);
    gather(made, changes.admitted, true);
    gather(made, changes.expired, false);
  }
  tell(made);
}

void upstream_gate::set_slots(std::uint32_t slots, monotonic_time now) {
  decisions made;
  {
    const std::lock_guard lock(mutex_);
    if (slots == admission_.slots()) return;
    const auto changes = admission_.set_slots(slots, now);
    gather(made, changes.admitted, true);
    gather(made, changes.expired, false);
  }
  tell(made);
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
