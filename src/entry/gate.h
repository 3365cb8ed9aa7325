// Admission to the slots of one upstream, shared by the traffic threads: `admission` with a lock
// and a callback for each request that waits.
//
//   auto entered = gate.enter({id, klass, tenant, deadline}, now, [](bool admitted) {});
//   gate.leave(id, now, true);
//
// If the verdict is `queued`, the handler is called once, on any thread, unless leave() comes
// first. leave() is called for every request that entered, whatever its verdict. Thread-safe. A
// handler is called without the lock, so a call may still be on its way when leave() returns.
#pragma once

#include <functional>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "routing/admission.h"

namespace plantainpaddle {

class upstream_gate {
 public:
  using decision_handler = std::function<void(bool admitted)>;

  explicit upstream_gate(admission_config config) : admission_(config) {}

  struct enter_result {
    admission_verdict verdict = admission_verdict::refused;
    refusal reason = refusal::none;
  };
  enter_result enter(const admission_request& request, monotonic_time now,
                     decision_handler on_decision);
  // Frees the request's slot or removes it from the queue; unknown ids are ignored. With observe,
  // the time since its admission counts as a service time of the upstream.
  void leave(admission_id id, monotonic_time now, bool observe);
  // Refuses queued requests that can't be served before their deadline any more.
  void expire(monotonic_time now);
  void set_slots(std::uint32_t slots, monotonic_time now);

  std::size_t running() const;
  std::size_t queued() const;
  // Most requests that may be queued at once.
  std::size_t queue_limit() const;

 private:
  // Handlers to be called once the lock is released.
  using decisions = std::vector<std::pair<decision_handler, bool>>;
  void collect_handlers(decisions& out, const std::vector<admission_id>& ids, bool admitted);
  static void call_handlers(const decisions& decided);

  mutable std::mutex mutex_;
  admission admission_;
  std::unordered_map<admission_id, decision_handler> waiting_;
};

}  // namespace plantainpaddle
