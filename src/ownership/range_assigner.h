// The one instance that moves the ranges of a service: it writes the record, has former owners
// release, and grants and renews. Pure: events and time in, actions out.
//
//   range_assigner assigner(timing);
//   assigner.start(record, version, predecessor, now);     // the record with itself as assigner is
//                                                        // in the store
//   assigner.set_upstreams(upstreams, now);  assigner.on_link(upstream, link, now);
//   assigner.confirm(sent_at);                           // still the assigner, says the store
//   for (const auto& action : assigner.tick(now)) std::visit(perform, action);
//
// A link is one connection to an upstream; links are numbered and a number is never used again.
// The argument for the guards is in range_assigner.cc and docs/OWNERSHIP.md.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "ownership/range_planner.h"
#include "ownership/range_record.h"

namespace plantainpaddle {

struct range_timing {
  duration hold = milliseconds(2600);  // length of a grant
  // The same while the store gives no proof of leadership: nothing can be moved then, and the
  // upstreams are to serve on if the assigner is lost too.
  duration outage_hold = milliseconds(8000);
  duration outage_after = milliseconds(1000);  // three renewals of the assigner's lease
  duration renew = milliseconds(600);          // from a grant to its renewal
  duration right = milliseconds(9000);  // renewals go on for so long without proof from the store
  double clock_drift = 0.02;            // an upstream's clock may run slow by this share
  // From a grant's sending to its latest arrival: call_timeout, after which its connection is
  // reset, and the time that the reset takes.
  duration margin = milliseconds(600);
  // A right is given up only while the store is known to answer: a proof is at most a renewal of
  // the assigner's lease and its answer old. Otherwise nobody could take over, and nobody would
  // renew.
  duration concede_proof = milliseconds(500);
  duration suspect_after = milliseconds(1000);  // without a link, an upstream's keys are moved
  duration release_retry = milliseconds(300);
  duration write_retry = milliseconds(200);   // of the record, when the store couldn't take it
  duration call_timeout = milliseconds(400);  // of grants; a release waits for running work
  // More unreachable upstreams than this share: it is rather the assigner that is cut off.
  double most_unreachable = 0.5;

  bool operator==(const range_timing&) const = default;
};

// How long after an order with this hold an upstream may still hold the keys.
duration longest_hold(const range_timing& timing, duration hold);

using link_number = std::uint64_t;

namespace range_action {

// Replaces the record of `version`; answered by on_written, on_conflict or on_write_unknown.
struct write {
  std::uint64_t version = 0;
  range_record record;
};
// Answered by on_granted, on_refused, or the link's end.
struct grant {
  upstream_id upstream;
  link_number link = 0;
  std::uint32_t first = 0;
  std::uint32_t last = 0;
  fence_number fence;
  duration hold{0};
  std::string handover;
};
// Over any connection to the upstream. Answered by on_released or on_release_failed.
struct release {
  upstream_id upstream;
  std::uint32_t first = 0;
  std::uint32_t last = 0;
  fence_number fence;
};

}  // namespace range_action

using range_order = std::variant<range_action::write, range_action::grant, range_action::release>;

// What may still be held under orders of earlier assigners.
struct range_predecessor {
  bool any = false;       // there was an earlier assigner
  bool conceded = false;  // it has given up its right, so that it renews nothing any more
  std::optional<duration> lapses_in;  // as its record says; only if it has conceded
};

class range_assigner {
 public:
  explicit range_assigner(range_timing timing, range_plan_config plan = {})
      : timing_(timing), plan_(plan) {}

  void start(range_record record, std::uint64_t version, range_predecessor predecessor,
             monotonic_time now);

  void set_upstreams(const std::vector<range_upstream>& listed, monotonic_time now);
  // 0: the link has ended.
  void on_link(const upstream_id& upstream, link_number link, monotonic_time now);
  // The store has shown that this is still the assigner, to a question sent at that time.
  void confirm(monotonic_time sent);

  void on_granted(const range_action::grant& order, monotonic_time now);
  // The upstream has seen a higher fence.
  void on_refused(const range_action::grant& order, monotonic_time now);
  void on_released(const range_action::release& order, const std::string& handover,
                   monotonic_time now);
  void on_release_failed(const range_action::release& order, monotonic_time now);

  void on_written(std::uint64_t version, monotonic_time now);
  // Nothing was written; the same is tried again later.
  void on_not_written(monotonic_time now);
  // The record as it stands in the store: after a conflict, or because an answer was lost. False:
  // it is another's now, and this assigner must do nothing any more.
  bool on_read(const instance_id& self, range_record record, std::uint64_t version,
               monotonic_time now);
  // A write's answer was lost: it may have taken effect, or may do so later.
  void on_write_unknown() { write_ = write_state::unknown; }
  bool needs_read() const { return write_ == write_state::unknown; }

  // Moves for balance; those of upstreams that leave or are lost are planned by tick() itself.
  void rebalance(const key_load& load, monotonic_time now);
  std::vector<range_order> tick(const key_load& load, monotonic_time now);

  // The record to be written when this instance gives its right up; no grant is sent after that.
  range_record concede(monotonic_time now);

  bool may_relinquish(monotonic_time now) const { return now - confirmed_ < timing_.concede_proof; }
  bool may_renew(monotonic_time now) const { return !conceded_ && now < renew_until_; }
  bool is_isolated(monotonic_time now) const;
  const range_record& record() const { return record_; }
  std::uint64_t version() const { return version_; }

 private:
  enum class write_state { idle, under_way, unknown };

  struct former_owner {
    upstream_id name;
    monotonic_time gone_at{};  // nothing of it is held after that
    bool released = false;
    bool asked = false;
    monotonic_time ask_again{};
  };
  // Beside an entry of the record.
  struct range_state {
    std::optional<link_number> link;  // on which its fence was granted first
    monotonic_time held_until{};      // by its present owner under own grants, at the latest
    bool foreign = false;             // an earlier assigner may still renew for the owner
    bool granted = false;             // under its fence
    bool under_way = false;
    monotonic_time renew_at{};
    std::string handover;
    std::vector<former_owner> former;
  };
  struct upstream_state {
    double capacity = 0;
    bool listed = false;
    bool serving = false;
    link_number link = 0;
    // A grant is under way over the link: the next one is sent when it is answered, so that the
    // time of its sending is known.
    bool busy = false;
    monotonic_time linked_since{};
    monotonic_time unlinked_since{};
  };

  bool is_resolved(const former_owner& former, monotonic_time now) const;
  bool all_resolved(const range_state& state, monotonic_time now) const;
  bool is_usable(const upstream_state& state, monotonic_time now) const;
  monotonic_time gone_at(const range_state& state) const;
  // When nothing that this assigner and earlier ones granted is held any more.
  monotonic_time last_lapse(monotonic_time now) const;
  duration longest_inherited() const;  // of the last grant of an earlier assigner
  std::vector<range_upstream> usable_upstreams(monotonic_time now) const;
  std::optional<std::size_t> find(std::uint32_t first, std::uint32_t last,
                                  fence_number fence) const;
  void end_grant(const range_action::grant& order);
  void adopt(range_record next);
  void stage(const key_load& load, monotonic_time now);
  void clear_former(range_record& next, monotonic_time now) const;
  void stage_fences(range_record& next) const;
  void emit_releases(std::vector<range_order>& out, monotonic_time now);
  void emit_grants(std::vector<range_order>& out, monotonic_time now);

  range_timing timing_;
  range_plan_config plan_;
  range_record record_;
  std::vector<range_state> states_;
  std::uint64_t version_ = 0;
  range_record next_;  // being written
  write_state write_ = write_state::idle;
  monotonic_time write_after_{};
  std::vector<range_move> planned_;
  std::map<upstream_id, upstream_state> upstreams_;
  monotonic_time renew_until_{};
  monotonic_time confirmed_{};        // when the last question was sent that proved the right
  monotonic_time inherited_until_{};  // under earlier assigners' grants keys may be held until then
  bool conceded_ = false;
};

}  // namespace plantainpaddle
