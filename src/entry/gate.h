// The slots of one upstream, shared by the traffic threads.
//
//   auto verdict = gate.enter({id, klass, tenant, deadline}, now, [](bool admitted) { ... });
//   ...                                  // queued: the handler is called once, on any thread
//   gate.leave(id, now);                 // whatever became of it; the handler is forgotten
//
// Thread-safe. A handler is called outside of the lock and may come later than leave().
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

  struct entrance {
    admission_verdict verdict = admission_verdict::refused;
    refusal reason = refusal::none;
  };
  entrance enter(const admission_request& request, monotonic_time now,
                 decision_handler on_decision);
  // observe: the time since admission tells how long the upstream takes.
  void leave(admission_id id, monotonic_time now, bool observe);
  // Refuses what waits and can't be served in time.
  void expire(monotonic_time now);
  void set_slots(std::uint32_t slots, monotonic_time now);

  std::size_t running() const;
  std::size_t queued() const;
  std::size_t queue_limit() const;

 private:
  using decisions = std::vector<std::pair<decision_handler, bool>>;
  void gather(decisions& out, const std::vector<admission_id>& ids, bool admitted);
  static void tell(const decisions& made);

  mutable std::mutex mutex_;
  admission admission_;
  std::unordered_map<admission_id, decision_handler> waiting_;
};

}  // namespace plantainpaddle
