// The assigner of a service's key ranges: writes the range record, has former owners release their
// keys, and grants leases on ranges and renews them. It does no I/O and reads no clock: it takes
// events with their time and returns orders for the caller to carry out.
//
//   range_assigner assigner(timing);
//   assigner.start(record, version, predecessor, now);  // after the takeover's write
//   assigner.set_upstreams(upstreams, now);
//   assigner.on_link(upstream, link, now);  // it leads to that upstream
//   assigner.confirm(sent);  // the store confirmed leadership
//   for (const auto& action : assigner.tick(now)) std::visit(perform, action);
//
// A link is one connection that is known to lead to an upstream (upstream_presence). Links are
// numbered, and no number is used twice. Why no
// two upstreams hold a key at once is shown in range_assigner.cc and docs/OWNERSHIP.md.
#pragma once

#include <cstdint>
#include <functional>
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
  duration hold = milliseconds(2600);  // for which an upstream may serve after a grant
  // Replaces `hold` while the store doesn't confirm leadership. No range can be moved then, and the
  // upstreams should go on serving if the assigner fails too.
  duration outage_hold = milliseconds(8000);
  duration outage_after = milliseconds(1000);  // three renewals of the assigner's lease
  duration renew = milliseconds(600);          // from a grant to its renewal
  // How long grants may be sent after the question by which the store last confirmed leadership.
  duration proof_validity = milliseconds(9000);
  double clock_drift = 0.02;  // share by which an upstream's clock may run slow
  // The longest time from the sending of a grant to its arrival: call_timeout, after which the
  // connection is reset, and the time that the reset takes.
  duration margin = milliseconds(600);
  // Leadership is relinquished only if the store confirmed it this recently: one renewal interval
  // of the assigner's lease and the time for the answer. While the store doesn't answer, no other
  // instance could take over, and nobody would renew the grants.
  duration max_proof_age = milliseconds(500);
  // An upstream without a link for this long is unreachable, and its keys are moved.
  duration suspect_after = milliseconds(1000);
  duration release_retry = milliseconds(300);
  duration write_retry = milliseconds(200);  // of the record, after the store refused it
  // From one look for changes to the record to the next, unless an upstream has changed. A look
  // takes time linear in the ranges and keys, and each write goes to all instances.
  duration stage_period = milliseconds(100);
  duration call_timeout = milliseconds(400);  // of grants
  duration release_timeout = seconds(3);      // an upstream answers once its work has ended
  // If a larger share of the upstreams is unreachable, the assigner itself is taken to be isolated.
  double max_unreachable = 0.5;
  // A copy from which the store comes back is at most this old.
  duration copy_age = seconds(12);
  // From a heartbeat of an upstream to when it is known here, at most.
  duration heartbeat_lag = milliseconds(2500);
  // An entry that its upstream doesn't renew is removed from the store within this. Unset: unknown.
  std::optional<duration> entry_lapse;
  // An outage of the store for longer than this shows in what is known of the entries.
  duration max_entries_gap = milliseconds(1800);

  bool operator==(const range_timing&) const = default;
};

// Returns for how long after the sending of a grant with this hold the upstream may serve the keys.
duration longest_hold(const range_timing& timing, duration hold);

using link_number = std::uint64_t;

namespace range_action {

// Replaces the record if it still has `version`. Answered by on_written(), on_not_written(), or
// on_write_unknown(), which a conflict is reported by too.
struct write {
  std::uint64_t version = 0;
  range_record record;
};
// Grants the keys to the upstream for `hold`. Answered by on_granted(), on_refused(), or the end of
// the link.
struct grant {
  upstream_id upstream;
  link_number link = 0;
  std::uint32_t first = 0;
  std::uint32_t last = 0;
  fence_number fence;
  duration hold{0};
  std::string handover;
};
// Has a former owner release the keys; may be sent over any connection. Answered by on_released()
// or on_release_failed().
struct release {
  upstream_id upstream;
  std::uint32_t first = 0;
  std::uint32_t last = 0;
  fence_number fence;
};

}  // namespace range_action

using range_order = std::variant<range_action::write, range_action::grant, range_action::release>;

// What earlier assigners may have granted that is still in force.
struct range_predecessor {
  bool exists = false;                // whether there was an earlier assigner
  bool relinquished = false;          // it relinquished leadership and renews nothing any more
  std::optional<duration> lapses_in;  // as in its record, if it relinquished
  // When the store's present era was first seen. No proof of leadership of an earlier one is later.
  std::optional<monotonic_time> era_seen;
};

class range_assigner {
 public:
  explicit range_assigner(range_timing timing, range_plan_config plan = {})
      : timing_(timing), plan_(plan) {}

  void start(range_record record, std::uint64_t version, range_predecessor predecessor,
             monotonic_time now);

  void set_upstreams(const std::vector<range_upstream>& listed, monotonic_time now);
  // The list shows all changes of the upstreams' entries in the store up to then.
  void on_entries_known(monotonic_time until);
  // A link number of 0 says that the upstream's link has ended.
  void on_link(const upstream_id& upstream, link_number link, monotonic_time now);
  // Something accepts connections at the upstream's address. Whether it is the upstream isn't known
  // yet, so that there is no link, but one that could be reached until now isn't unreachable.
  void on_reached(const upstream_id& upstream, monotonic_time now);
  // Another upstream is at the address of this one, which has no link. ended: it has ended, and
  // with it all grants that it had accepted (upstream_presence).
  void on_displaced(const upstream_id& upstream, bool ended, monotonic_time now);
  // The store confirmed that this is still the assigner, in answer to a request sent at `sent`.
  void confirm(monotonic_time sent);

  void on_granted(const range_action::grant& order, monotonic_time now);
  // The upstream refused the grant because it knows a higher fence.
  void on_refused(const range_action::grant& order, monotonic_time now);
  void on_released(const range_action::release& order, const std::string& handover,
                   monotonic_time now);
  void on_release_failed(const range_action::release& order, monotonic_time now);

  void on_written(std::uint64_t version, monotonic_time now);
  // The store wrote nothing; the write is retried after write_retry.
  void on_not_written(monotonic_time now);
  // Takes the record read from the store after a conflict or a lost answer. Returns false if
  // another assigner has taken over; this one then issues no more orders.
  bool on_read(const instance_id& self, range_record record, std::uint64_t version,
               monotonic_time now);
  // The outcome of a write is unknown: it may have taken effect or may still do so.
  void on_write_unknown() { write_ = write_state::unknown; }
  bool needs_read() const { return write_ == write_state::unknown && !suspended_; }

  // The store has come back from an older copy, and leadership is lost with it. Until regain(),
  // owners' grants are only renewed. To be called only while may_renew().
  void on_store_restored(monotonic_time now);
  // Leadership was won again by writing the carry_over() of this assigner's record.
  void regain(range_record record, std::uint64_t version);
  bool is_suspended() const { return suspended_; }

  // Replaces the configuration of the planner.
  void set_plan(const range_plan_config& plan) { plan_ = plan; }
  // Plans moves that balance the load. tick() itself moves the keys of upstreams that leave or
  // fail.
  void rebalance(const key_load& load, monotonic_time now);
  std::vector<range_order> tick(const key_load& load, monotonic_time now);

  // Relinquishes leadership: returns the record to be written. No order is issued after that.
  range_record relinquish(monotonic_time now);

  bool may_relinquish(monotonic_time now) const { return now - confirmed_ < timing_.max_proof_age; }
  bool may_renew(monotonic_time now) const { return !stopped_ && now < renew_until_; }
  // Whether former owners may be asked to release keys. While the store doesn't confirm leadership,
  // it may be about to lose the record of the move.
  bool may_release(monotonic_time now) const;
  bool is_isolated(monotonic_time now) const;
  // Returns when all grants of earlier assigners have expired.
  monotonic_time predecessors_expire_at() const { return predecessors_expire_at_; }
  // Returns when all grants of this assigner and earlier ones have expired; `now` if they have.
  monotonic_time last_expiry(monotonic_time now) const;
  const range_record& record() const { return record_; }
  std::size_t ranges_in_doubt() const;
  std::uint64_t version() const { return version_; }

 private:
  enum class write_state { idle, under_way, unknown };

  struct former_owner {
    upstream_id name;
    monotonic_time expires_at{};  // end of the last grant that it may have
    bool released = false;        // under the present fence
    bool release_pending = false;
    monotonic_time retry_at{};
    bool has_released = false;  // under any fence, since it was the owner
    // The fence by which a copy of the store may show it as the owner. Empty if that isn't known.
    std::optional<fence_number> fence;
    bool may_claim = true;  // there may be such a copy
  };
  // Part of a range in doubt.
  struct key_claim {
    enum class claim_state { open, held, refused };
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    claim_state state = claim_state::open;
    bool under_way = false;
    monotonic_time renew_at{};
  };
  // Beside an entry of the record.
  struct range_state {
    std::optional<link_number> link;     // the only one for its fence
    monotonic_time held_until{};         // latest end of the grants sent to the present owner
    bool predecessor_may_renew = false;  // an earlier assigner, for this owner
    bool granted = false;                // the owner accepted a grant under the fence
    bool under_way = false;
    monotonic_time renew_at{};
    std::string handover;
    std::vector<former_owner> former;
    monotonic_time sent_at{};      // of the last grant
    monotonic_time named_at{};     // when the owner was written, or later
    fence_number highest_granted;  // of all owners' grants
    // That of a former_owner which got the range back without having released it.
    std::optional<fence_number> earlier_fence;
    // When an owner got its first grant although a former owner hadn't released the keys.
    std::optional<monotonic_time> lapsed_at;
    bool in_doubt = false;  // an unknown upstream may hold keys of the range
    // What is known of a range in doubt that its owner doesn't hold as a whole; empty: nothing.
    std::vector<key_claim> claims;
  };
  struct upstream_state {
    double capacity = 0;
    bool listed = false;
    bool serving = false;
    link_number link = 0;
    // A grant over the link is unanswered. The next one waits for the answer, so that it goes out
    // at the time noted for it instead of queueing behind the first.
    bool busy = false;
    monotonic_time linked_since{};
    monotonic_time unlinked_since{};
    bool ended = false;  // the incarnation that the upstream had when it was last linked
    std::uint64_t life = 0;
    std::uint64_t sequence = 0;
    monotonic_time heard_at{};  // when `sequence` was last seen to rise within the life
  };

  bool is_resolved(const former_owner& former, monotonic_time now) const;
  bool all_resolved(const range_state& state, monotonic_time now) const;
  bool is_usable(const upstream_state& state, monotonic_time now) const;
  monotonic_time expires_at(const range_state& state) const;
  duration longest_predecessor_hold() const;  // of an earlier assigner's last grant
  std::vector<range_upstream> usable_upstreams(monotonic_time now) const;
  std::optional<std::size_t> find(std::uint32_t first, std::uint32_t last,
                                  fence_number fence) const;
  void end_grant(const range_action::grant& order);
  void adopt(range_record next, monotonic_time now);
  void stage(const key_load& load, monotonic_time now);
  void clear_former(range_record& next, monotonic_time now) const;
  void stage_fences(range_record& next) const;
  void note_lapsed(range_record& next, monotonic_time now) const;
  bool may_lapse(const range_state& state, const former_owner& former, monotonic_time now) const;
  bool may_first_grant(std::size_t index, monotonic_time now);
  static bool is_awaited(const former_owner& former, monotonic_time now);
  void stage_lapses(range_record& next, monotonic_time now) const;
  bool is_taken_back(const range_entry& entry) const;
  bool is_lapsing(const range_entry& entry) const;
  bool overlaps(const range_move& move,
                const std::function<bool(const range_state&)>& predicate) const;
  bool is_restricted(const range_state& state) const;
  // All that earlier eras' assigners have granted was granted on proofs from before `since`.
  void begin_doubts(monotonic_time since);
  void end_doubts(monotonic_time now);
  static void settle(range_state& state);
  bool has_doubt() const { return ranges_in_doubt() != 0; }
  void note_lives(range_record& next) const;
  bool shows_its_life(const upstream_id& name, const upstream_state& state) const;
  key_claim* next_claim(std::size_t index, const upstream_state& owner, monotonic_time now);
  bool end_claim(std::size_t index, const range_action::grant& order, bool accepted);
  duration hold_for(const range_state& state, monotonic_time now) const;
  range_action::grant make_grant(std::size_t index, upstream_state& to, monotonic_time now);
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
  monotonic_time stage_after_{};
  bool upstreams_changed_ = false;  // since the last look for changes to the record
  std::vector<range_move> planned_;
  std::map<upstream_id, upstream_state> upstreams_;
  monotonic_time entries_since_{};  // from when to when the entries' changes are known
  monotonic_time entries_until_{};
  monotonic_time renew_until_{};
  monotonic_time confirmed_{};  // sending time of the latest request that proved leadership
  monotonic_time predecessors_expire_at_{};  // latest end of earlier assigners' grants
  bool stopped_ = false;
  bool suspended_ = false;
  monotonic_time claims_from_{};   // no restricted grant of an earlier era is in force any more
  monotonic_time settled_from_{};  // from then on, an owner that takes a grant keeps its keys
  monotonic_time doubt_ends_{};    // by then, all grants that aren't known have expired
};

}  // namespace plantainpaddle
