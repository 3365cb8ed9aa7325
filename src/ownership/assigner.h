// One cell's assigner: takes a term, shows it to the standbys, grants, renews, revokes and moves
// shards.
//
//   assigner cell(config, now);
//   for (auto& action : cell.handle(event, now)) carry_out(action);   // answers come back as
//   events
//
// A state machine without sockets and clocks. Each action that wants an answer carries a request
// number; the event that brings the answer, or the news that there is none, carries the same
// number. Events with unknown numbers are ignored, so late and repeated answers do no harm.
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
  std::uint64_t seed = 0;  // of the nonces that mark this assigner's writes
};

// What the cell should be like, from table, layout and instance list.
struct cell_inputs {
  std::vector<upstream_row> upstreams;  // of this cell
  std::vector<shard_grant> home;        // the layout's shards of this cell, with their least fence
  std::vector<shard_id> leaving;        // those of them that are to be released to another cell
  // Live instances besides self, best first: for `isolation` `stay` of the cell's failure domain,
  // for `move` of the others, each from another domain as far as possible.
  std::vector<instance_id> standby_candidates;
  std::vector<instance_id> lost;       // that an operator's row declares lost for good
  std::map<shard_id, double> load;     // requests per second
  duration load_window = seconds(60);  // over which the load was smoothed
  std::uint32_t move_budget = 0;       // per planning round
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
  // Instead of an answer, one came from a later life of the instance at the same address: the one
  // that was asked has ended.
  bool ended = false;
};
// Of a read and of a write alike: the record as it is now. version 0: there is none.
struct stored_record {
  std::optional<cell_record> record;
  std::uint64_t version = 0;  // the store's modification revision, for compare-and-swap
  bool written = false;       // of a write: it was this one that took effect
};
struct store_replied {
  request_number request = 0;
  result<stored_record> answer;
};
// A planned leave of the acting assigner: it has stopped, and this instance goes on under the same
// term. To be passed on only if standby_memory::accept says so.
struct handover_received {
  cell_record record;
  std::uint64_t version = 0;
  // A write that may have taken effect or not, and is to be repeated as it is.
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
// To be carried out at once, before any other event of this instance: its own standby memory notes
// the term, so that it never answers to an older one again.
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
// The shards on their way to another owner: callers' requests for them are better held than sent.
struct publish_moving {
  std::vector<shard_id> moving;  // sorted
};
struct retire {
  std::string reason;
};
using assigner_action = std::variant<send_order, ask_standby, remember_term, read_record,
                                     write_record, publish_record, publish_moving, retire>;
using assigner_actions = std::vector<assigner_action>;

enum class assigner_phase { reading, taking, telling, waiting, active, retired };
std::string_view phase_name(assigner_phase phase) noexcept;

class assigner {
 public:
  assigner(assigner_config config, monotonic_time now);

  assigner_actions handle(const assigner_event& event, monotonic_time now);

  // Stops for good and hands the term over, also while a write is unsure; nothing if it isn't
  // active or lacks the right. What it returns must reach one instance at most.
  std::optional<handover_received> hand_over(monotonic_time now);

  assigner_phase phase() const { return phase_; }
  const std::optional<cell_record>& record() const { return record_; }
  bool has_right(monotonic_time now) const { return now < right_until_; }
  std::size_t moves_under_way() const { return moves_.size(); }
  // When the next tick is due if no other event comes before.
  monotonic_time next_wake(monotonic_time now) const;
  // Upstreams that have not answered for the suspicion time.
  std::vector<upstream_id> suspected(monotonic_time now) const;
  std::optional<load_report> last_report(const upstream_id& upstream) const;

 private:
  struct sent_order {
    request_number request = 0;
    monotonic_time sent;
    std::vector<shard_grant> set;
  };
  struct upstream_side {
    bool listed = true;  // false: it has left the table, and only its lapse is waited for
    std::uint64_t life = 0;
    std::uint64_t nonce = 0;
    std::optional<sent_order> in_flight;
    monotonic_time next_order;
    monotonic_time last_heard;     // when the last answered order was sent
    monotonic_time granted_until;  // no grant of this assigner outlasts it
    std::uint64_t held_digest = 0;
    load_report load;
  };
  struct standby_side {
    std::optional<request_number> in_flight;
    monotonic_time asked;
    monotonic_time next_question;
    monotonic_time last_heard;
    bool told = false;  // has answered to this term, or has ended
  };
  // A shard on its way from one owner to another.
  struct pending_move {
    std::optional<upstream_id> from;
    fence_number fence;
    std::optional<upstream_id> to;  // none: released to another cell
    bool forced = false;            // the old owner is silent, it was not told
    bool released = false;
  };
  struct pending_write {
    request_number request = 0;  // 0: not in flight now
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
  void committed(monotonic_time now);
  void write(cell_record record, std::uint64_t expected_version, monotonic_time now);
  void resend_write(monotonic_time now);
  void read_store(monotonic_time now);
  void ask_standbys(monotonic_time now);
  void start_waiting(monotonic_time now);
  void send_orders(monotonic_time now);
  void send_order_to(const upstream_id& name, upstream_side& side, monotonic_time now);
  void accept_answer(const upstream_id& name, upstream_side& side, const sent_order& sent,
                     const grant_answer& answer, monotonic_time now);
  void plan(monotonic_time now);
  void start_move(shard_id shard, const std::optional<upstream_id>& to, monotonic_time now);
  bool adopt_home(cell_record& record) const;
  void finish_moves(monotonic_time now);
  void renew_roles(monotonic_time now);
  void forget_left_upstreams(monotonic_time now);
  void skip_pause(monotonic_time now);
  void publish_moves();
  bool all_told(monotonic_time now) const;
  bool is_being_written(shard_id shard) const;
  bool has_lapsed(const pending_move& move, monotonic_time now) const;
  bool is_suspected(const upstream_side& side, monotonic_time now) const;
  std::vector<instance_id> counted_standbys() const;
  std::vector<shard_grant> set_for(const upstream_id& name) const;
  void retire_because(std::string reason);
  write_mark next_mark();

  assigner_config config_;
  cell_inputs inputs_;
  assigner_phase phase_ = assigner_phase::reading;
  std::optional<cell_record> record_;  // as last known to be in the store
  std::uint64_t version_ = 0;
  std::optional<pending_write> pending_;
  std::optional<request_number> read_in_flight_;
  monotonic_time read_sent_;
  monotonic_time next_read_;
  monotonic_time right_until_;
  monotonic_time wait_until_;
  monotonic_time term_taken_;     // when the record of this term was seen in the store
  monotonic_time adopted_until_;  // by then all grants of earlier assigners have ended
  monotonic_time last_event_;
  monotonic_time expected_event_;  // at the latest, as next_wake said
  monotonic_time next_plan_;
  std::map<upstream_id, upstream_side> upstreams_;
  std::map<instance_id, standby_side> standbys_;
  std::set<instance_id> ended_instances_;  // that are known to have ended
  std::map<shard_id, pending_move> moves_;
  std::vector<shard_id> published_moving_;
  std::map<request_number, upstream_id> order_requests_;
  std::map<request_number, instance_id> question_requests_;
  request_number last_request_ = 0;
  std::uint64_t mark_count_ = 0;
  assigner_actions actions_;
};

}  // namespace plantainpaddle
