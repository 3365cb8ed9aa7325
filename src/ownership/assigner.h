// The assigner of one cell: decides which upstream owns which shard. It takes a term by writing the
// cell's record, announces the term to the standbys, and then grants, renews, revokes and moves
// shards.
//
//   assigner cell(config, now);
//   for (auto& action : cell.handle(event, now)) carry_out(action);
//
// A state machine without sockets or clocks: answers to its actions come back as events. An action
// that expects an answer carries a request number, and so does the event that brings the answer or
// the error. Events with unknown numbers are ignored, so late and duplicate answers do no harm.
//
// Correctness: at most one assigner of a cell renews grants at a time. It does so only while it has
// the right to renew, which lasts a fixed time from each question that a standby, or the store,
// answers without knowing of a higher term. A successor writes its term to the store and announces
// it to every standby, so nothing confirms the predecessor any longer. It then waits until the
// predecessor's right, and all grants under it, have ended. On a planned leave, an assigner stops
// before it hands its term over to one other instance. assigner_shards.cc shows why a shard never
// has two owners under one assigner.
//
// Cost: an order takes time linear in the cell's shards, and an accepted answer quadratic in the
// shards of its upstream.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <variant>
#include <vector>

#include "base/error.h"
#include "ownership/cell_record.h"
#include "ownership/messages.h"
#include "ownership/planner.h"
#include "ownership/timing.h"
#include "table/rows.h"

namespace plantainpaddle {

using request_number = std::uint64_t;

struct assigner_config {
  cell_id cell;
  instance_id self;
  ownership_timing timing;
  std::uint64_t seed = 0;  // of the nonces that identify this assigner's writes
};

// The cell's desired state, from the table, the layout and the list of instances.
struct cell_inputs {
  std::vector<upstream_row> upstreams;   // of this cell
  std::vector<shard_grant> cell_shards;  // the layout's shards of this cell, with their least fence
  std::vector<shard_id> shards_to_release;  // those of them that are to be released to another cell
  // Live instances other than self, best first: for `isolation` `stay` in the cell's failure
  // domain, for `move` in other domains, each in a different one as far as possible.
  std::vector<instance_id> standby_candidates;
  std::vector<instance_id> lost_instances;  // that an operator declared lost for good
  std::map<shard_id, double> load;          // requests per second
  duration load_window = seconds(60);       // period over which load is smoothed
  std::uint32_t move_budget = 0;            // per planning round
  double imbalance_weight = 1;
  double churn_weight = 1;
  double unavailable_weight = 1;
  bool operator==(const cell_inputs&) const = default;
};

// Events.
struct tick {};
struct inputs_changed {
  cell_inputs inputs;
};
struct grant_replied {
  request_number request = 0;
  result<grant_answer> answer;
};
struct question_replied {
  request_number request = 0;
  result<term_answer> answer;
  // True if a later process of the same instance answered from the same address: the one that was
  // asked has ended.
  bool ended = false;
};
// The result of a read or a write: the record as it is now. version is 0 if there is no record.
struct stored_record {
  std::optional<cell_record> record;
  std::uint64_t version = 0;  // the store's modification revision, for compare-and-swap
  bool written = false;       // whether this answers a write that took effect
};
struct store_replied {
  request_number request = 0;
  result<stored_record> answer;
};
// The acting assigner has left as planned: it has stopped, and this instance continues under the
// same term. Pass the event on only if standby_memory::accept returns true for the term.
struct handover_received {
  cell_record record;
  std::uint64_t version = 0;
  // A write whose outcome is not known, which the receiver repeats unchanged.
  std::optional<cell_record> unconfirmed_write;
};
using assigner_event = std::variant<tick, inputs_changed, grant_replied, question_replied,
                                    store_replied, handover_received>;

// Actions.
struct send_order {
  request_number request = 0;
  upstream_id to;
  grant_order order;
};
struct ask_standby {
  request_number request = 0;
  instance_id to;
  term_question question;
};
// Notes the term in this instance's own standby_memory, so that it never confirms an older one
// again. Must be carried out at once, before the instance handles any other event.
struct remember_term {
  term_question question;
};
struct read_record {
  request_number request = 0;
  cell_id cell;
};
struct write_record {
  request_number request = 0;
  cell_record record;
  std::uint64_t expected_version = 0;  // 0: only if there is none
};
struct publish_record {
  cell_record record;
};
// Lists the shards that are moving to another owner. Requests for them should be queued rather than
// sent, as the old owner would refuse them.
struct publish_moving {
  std::vector<shard_id> moving;  // sorted
};
struct retire {
  std::string reason;
};
using assigner_action = std::variant<send_order, ask_standby, remember_term, read_record,
                                     write_record, publish_record, publish_moving, retire>;
using assigner_actions = std::vector<assigner_action>;

// reading: reads the cell's record from the store.
// taking: writes the record with the next term.
// telling: announces the term to the standbys.
// waiting: waits until the predecessor's right and grants have ended.
// active: grants and moves shards.
// retired: has stopped for good.
enum class assigner_phase { reading, taking, telling, waiting, active, retired };
std::string_view phase_name(assigner_phase phase) noexcept;

class assigner {
 public:
  assigner(assigner_config config, monotonic_time now);

  assigner_actions handle(const assigner_event& event, monotonic_time now);

  // Stops for good and returns the term for another instance to continue, along with a write whose
  // outcome is not known yet. Returns nothing, and goes on, if this assigner is not active or lacks
  // the right to renew. The result must reach at most one instance.
  std::optional<handover_received> hand_over(monotonic_time now);

  assigner_phase phase() const { return phase_; }
  const std::optional<cell_record>& record() const { return record_; }
  // Whether this assigner may grant and renew now.
  bool has_right(monotonic_time now) const { return now < right_until_; }
  std::size_t moves_under_way() const { return moves_.size(); }
  // Returns when the next tick is due if no other event comes first.
  monotonic_time next_wake(monotonic_time now) const;
  // Returns the upstreams that have not answered for longer than the suspicion time.
  std::vector<upstream_id> suspected(monotonic_time now) const;
  std::optional<load_report> last_report(const upstream_id& upstream) const;

 private:
  struct sent_order {
    request_number request = 0;
    monotonic_time sent;
    std::vector<shard_grant> set;
  };
  struct tracked_upstream {
    bool in_table = true;  // false: kept only until its last grant has lapsed
    std::uint64_t life = 0;
    std::uint64_t nonce = 0;
    std::optional<sent_order> in_flight;
    monotonic_time next_order;
    monotonic_time last_heard;     // when the last order that was answered was sent
    monotonic_time granted_until;  // no grant of this assigner outlasts it
    std::uint64_t held_digest = 0;
    load_report load;
  };
  struct tracked_standby {
    std::optional<request_number> in_flight;
    monotonic_time asked;
    monotonic_time next_question;
    monotonic_time last_heard;
    bool knows_term = false;  // has confirmed this term, or has ended
  };
  // A shard's move from one owner to another.
  struct pending_move {
    std::optional<upstream_id> from;
    fence_number fence;
    std::optional<upstream_id> to;  // none: released to another cell
    bool forced = false;            // begun because the old owner was suspected
    bool released = false;          // the old owner neither holds nor runs the shard any more
  };
  struct pending_write {
    request_number request = 0;  // 0: not in flight
    cell_record record;
    std::uint64_t expected_version = 0;
    monotonic_time sent;
  };

  void on(const tick&, monotonic_time now);
  void on(const inputs_changed& event, monotonic_time now);
  void on(const grant_replied& event, monotonic_time now);
  void on(const question_replied& event, monotonic_time now);
  void on(const store_replied& event, monotonic_time now);
  void on(const handover_received& event, monotonic_time now);

  void advance(monotonic_time now);
  void take_term(const stored_record& found, monotonic_time now);
  void create_record(monotonic_time now);
  void on_write_committed(monotonic_time now);
  void write(cell_record record, std::uint64_t expected_version, monotonic_time now);
  void resend_write(monotonic_time now);
  void read_store(monotonic_time now);
  void ask_standbys(monotonic_time now);
  void wait_out_predecessor(monotonic_time now);
  void send_orders(monotonic_time now);
  void send_order_to(const upstream_id& name, tracked_upstream& state, monotonic_time now);
  void accept_answer(const upstream_id& name, tracked_upstream& state, const sent_order& sent,
                     const grant_answer& answer, monotonic_time now);
  void plan(monotonic_time now);
  void start_move(shard_id shard, const std::optional<upstream_id>& to, monotonic_time now);
  bool adopt_cell_shards(cell_record& record) const;
  void finish_moves(monotonic_time now);
  void update_roles(monotonic_time now);
  void drop_departed_upstreams(monotonic_time now);
  void discount_pause(monotonic_time now);
  void publish_moves();
  bool all_standbys_know_term(monotonic_time now) const;
  bool is_being_written(shard_id shard) const;
  bool has_lapsed(const pending_move& move, monotonic_time now) const;
  bool is_suspected(const tracked_upstream& state, monotonic_time now) const;
  std::vector<instance_id> confirming_standbys() const;
  std::vector<shard_grant> set_for(const upstream_id& name) const;
  void retire_because(std::string reason);
  write_mark next_mark();

  assigner_config config_;
  cell_inputs inputs_;
  assigner_phase phase_ = assigner_phase::reading;
  std::optional<cell_record> record_;  // as last known to be stored
  std::uint64_t version_ = 0;
  std::optional<pending_write> pending_;
  std::optional<request_number> read_in_flight_;
  monotonic_time read_sent_;
  monotonic_time next_read_;
  monotonic_time right_until_;
  monotonic_time wait_until_;
  monotonic_time term_taken_;       // when the write of this term was confirmed
  monotonic_time inherited_until_;  // all grants of earlier assigners end by then
  monotonic_time last_event_;
  monotonic_time expected_event_;  // latest time of the next event, from next_wake
  monotonic_time next_plan_;
  std::map<upstream_id, tracked_upstream> upstreams_;
  std::map<instance_id, tracked_standby> standbys_;
  std::set<instance_id> ended_instances_;  // known to have ended
  std::map<shard_id, pending_move> moves_;
  std::vector<shard_id> published_moving_;
  std::map<request_number, upstream_id> order_requests_;
  std::map<request_number, instance_id> question_requests_;
  request_number last_request_ = 0;
  std::uint64_t mark_count_ = 0;
  assigner_actions actions_;
};

}  // namespace plantainpaddle
