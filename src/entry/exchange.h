// An exchange carries one request from its parsed head to the last byte of its response.
//
//   exchange work(session, number, std::move(buffer), head_size);
//   bool keep = co_await work.run();      // whether the caller's connection may carry another
//
// docs/CALLERS.md gives the rules for which requests may be sent again.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "entry/body_relay.h"
#include "entry/local_response.h"
#include "entry/message_state.h"
#include "entry/request_scope.h"
#include "entry/session.h"
#include "entry/traffic_state.h"
#include "routing/placement.h"
#include "routing/send_decision.h"
#include "upstream/delivery.h"
#include "upstream/pool.h"

namespace plantainpaddle {

class exchange {
 public:
  // What an exchange takes besides the held body: two buffers, the parsers, and its coroutines'
  // frames.
  static constexpr std::size_t memory_bytes =
      2 * sizeof(wire_buffer) + sizeof(message_state) + (4 << 10);

  // `buffer` begins with a complete head of head_size bytes that check_head() accepted. The session
  // has claimed memory_bytes of that kind, which the exchange gives back in the end.
  exchange(session& connection, std::uint64_t number, std::unique_ptr<wire_buffer> buffer,
           std::size_t head_size, held_kind kind);
  ~exchange();
  exchange(const exchange&) = delete;
  exchange& operator=(const exchange&) = delete;

  // Serves the request; true if the caller's connection may carry another one.
  task<bool> run();
  request_scope& scope() { return caller_; }
  const request_scope& scope() const { return caller_; }
  // Whether the response can be relayed, once it is its turn.
  bool is_ready() const { return response_ready_at_ != monotonic_time{}; }
  // Ends the wait for the upstream's response as the deadline would. A response that has begun is
  // relayed all the same.
  void give_up();
  // Ends the request as its deadline would, whatever it waits for. A response that can be relayed
  // is relayed all the same.
  void end_waits();
  // Refuses the request if its held body isn't complete, to make room; otherwise returns false.
  bool refuse_body();
  // Refuses the request if its body isn't complete when requests are no longer taken.
  void begin_drain();
  // Logs and counts that the drain ends the request before it has its response.
  void note_drain_end() const;

 private:
  // The upstream that an attempt sends the request to.
  struct destination {
    std::size_t upstream = 0;  // index in the service's list
    std::string address;
    shard_target owner;
    bool via_dispatcher = false;   // forwarded to the upstream's dispatcher
    bool is_former_owner = false;  // the owner before a key move that isn't done
  };

  // No upstream can take the request now, but one may soon: the request waits.
  struct no_owner {
    error cause;
  };
  using choice = std::variant<destination, no_owner, local_response>;

  // How an attempt ended. If no response was relayed, `status`, `cause` and `known` are what the
  // caller is told.
  struct attempt_end {
    bool answered = false;
    bool wait_for_owner = false;        // not run, and another owner may take over
    bool too_late = false;              // the gate refused because of the deadline
    std::optional<send_reason> unsent;  // why the request was held back right before it was sent
    run_state known = run_state::not_run;
    unsigned status = status_unavailable;
    error cause;
    std::optional<failure_kind> failure;  // what the attempt shows about the upstream
  };

  // What the bytes read so far contain: more are needed, the head of the response, no HTTP, or
  // responses to other requests without end.
  enum class search_result { more, found, malformed, foreign };

  // The search for the response to an attempt.
  struct response_search {
    search_result early = search_result::more;  // found while the request was being sent
    boost::system::error_code early_code;       // of a read while the request was being sent
    std::size_t searched = 0;                   // unread bytes that end no head
    int skipped = 0;                            // responses that aren't the one expected
    bool skips_body = false;                    // of a response to another request
  };

  // What is logged about an attempt besides its end.
  struct attempt_trace {
    std::uint64_t connection = 0;  // number of the upstream's connection; 0: none
    std::uint64_t use = 0;         // which request on that connection, from 1
    std::uint64_t written = 0;     // bytes of the head and the held body
    unsigned response = 0;         // status of the upstream's response; 0: none
  };

  // How a request to an upstream with a limit goes on. Neither: an upstream is chosen again.
  struct permit_outcome {
    bool may_send = false;
    std::optional<local_response> refusal;
  };

  // Steps before anything is sent. A response means that the request is refused.
  std::optional<local_response> parse_and_route(std::size_t head_size);
  std::optional<local_response> route_request();
  std::optional<local_response> check_deadline();
  std::optional<local_response> check_limits();
  task<std::optional<local_response>> read_held_body();
  task<std::optional<local_response>> read_body_pieces();
  bool is_too_late() const;
  local_response leaving_response() const;
  std::optional<local_response> check_body(boost::beast::error_code code) const;
  bool append_held_body();
  local_response no_memory_response();
  void finish_request_read();

  // Choice of the upstream. `failed` is avoided if there is another one.
  choice choose(const std::optional<upstream_id>& failed);
  choice choose_by_gate(const std::optional<upstream_id>& failed);
  choice choose_by_load(const std::optional<upstream_id>& failed);
  choice choose_former(const shard_target& owner, placement_request question);
  void count_key();
  std::optional<local_response> check_key_share(std::size_t owner, monotonic_time now);
  std::optional<local_response> check_admission(const placement_decision& chosen);
  void note_refused(send_reason reason);

  std::optional<std::size_t> index_of(const upstream_id& name) const;
  local_response unavailable_response(const std::string& detail, const std::string& peer) const;
  task<std::optional<local_response>> wait_for_owner(const error& cause);

  // A limit on the requests to an upstream.
  struct rate_limit {
    double rate = 0;    // requests per second
    duration age{0};    // since it was stated
    bool cold = false;  // it is the rate of a cold upstream, which no permit may exceed late
  };

  // Permits to send to upstreams that name a limit, or are cold.
  std::optional<rate_limit> limit_of(const destination& to, monotonic_time now) const;
  task<permit_outcome> take_permit(const destination& to);
  task<std::optional<permit_decision>> ask_permit(const permit_request& request);
  permit_outcome refuse_permit(const destination& to, const rate_limit& limit,
                               const permit_decision& decision);
  duration spread_retry_after(duration wait);

  // Steps of an attempt. An attempt_end means that the attempt is over.
  task<attempt_end> attempt(const destination& to);
  task<attempt_end> attempt_admitted(const destination& to);
  task<std::optional<attempt_end>> enter_gate(const destination& to);
  std::optional<request_identity> identity() const;
  task<std::optional<attempt_end>> connect(const destination& to);
  std::optional<attempt_end> check_pause(const destination& to);
  std::optional<attempt_end> check_still_open(const destination& to);
  task<std::optional<local_response>> choose_after_unsent(const attempt_end& end);
  void limit_silence(std::uint64_t request_size);
  task<std::optional<attempt_end>> send_request(const destination& to);
  task<std::optional<attempt_end>> read_response_head(const destination& to);
  void begin_search();
  search_result search_response();
  std::optional<search_result> skip_body();
  void end_skipped();
  bool read_early_response();
  task<attempt_end> connection_ended(const destination& to, boost::system::error_code code);
  task<bool> is_undelivered_request(boost::system::error_code code);
  attempt_end broken_protocol(const destination& to, const std::string& detail) const;
  task<std::optional<attempt_end>> buffer_response(const destination& to);
  void read_statement(const destination& to);
  void note_pause(const upstream_id& upstream, duration length);
  void note_limit(const upstream_id& upstream, std::optional<double> rate);
  std::optional<attempt_end> refused_by_upstream(const destination& to);
  std::optional<attempt_end> refused_by_dispatcher(const destination& to);
  task<attempt_end> relay_response(const destination& to);
  close_meaning meaning_of_close() const {
    return request_sent_ ? close_meaning::end_of_body : close_meaning::cut_off;
  }
  void release_connection(bool reusable);
  void leave_gate(bool observe);
  std::optional<attempt_end> enter_lease(const destination& to);
  void leave_lease(const destination& to, const attempt_end& end);
  attempt_end failed(const destination& to, step at, run_state known, const std::string& detail,
                     std::optional<failure_kind> failure) const;
  attempt_end relay_failed(const destination& to, relay_end end) const;
  void report_health(const destination& to, const attempt_end& end);
  void report_placement(const destination& to, const attempt_end& end);
  void note_answer(const destination& to, const attempt_report& report, monotonic_time now);
  task<std::optional<local_response>> plan_retry(const attempt_end& end);

  task<bool> respond(local_response own);
  // Records that the caller has left before it got a response. Returns false.
  bool end_cancelled();
  void record(unsigned status, std::string_view outcome, std::uint64_t answer_bytes);
  void log_local_response(const local_response& own) const;
  void log_request_end(unsigned status, std::string_view outcome, duration taken) const;
  void log_attempt(const destination& to, const attempt_end& end) const;
  std::string_view evidence_name(const attempt_end& end) const;
  void log_skipped_response();
  bool can_keep_alive();
  bool is_idempotent() const;
  const header_names& names() const;
  const service_snapshot& service() const { return *match_.service; }
  const service_traffic& traffic() const;

  request_scope caller_;
  worker& worker_;
  std::unique_ptr<message_state> state_;
  message_state& messages_;
  std::size_t head_size_;
  held_kind kind_;  // of memory_bytes
  std::shared_ptr<const traffic_view> view_;
  route_match match_;
  std::optional<std::string> key_;
  shard_id shard_;
  std::string_view tenant_;
  monotonic_time started_at_{};
  monotonic_time sent_at_{};
  monotonic_time deadline_{};
  monotonic_time route_deadline_{};  // deadline_ without the cut to a lease
  bool holds_lease_ = false;         // the attempt counts against a dispatcher's lease
  duration owner_pause_{0};          // length of the last wait for an owner
  std::unique_ptr<upstream_connection> connection_;
  std::unique_ptr<wire_buffer> response_buffer_;
  std::shared_ptr<upstream_traffic> gated_upstream_;  // whose admission gate the attempt entered
  admission_id gate_admission_ = 0;
  response_search search_;     // of the last attempt
  attempt_trace trace_;        // of the last attempt
  bool may_have_run_ = false;  // an attempt ended in run_state::unknown
  std::uint32_t attempts_ = 0;
  std::optional<delivery> delivery_;   // before the last attempt, on an idle connection
  bool force_new_connection_ = false;  // the last attempt's connection was silent
  bool continue_sent_ = false;
  bool body_streamed_ = false;          // body bytes were discarded after sending: no retry
  bool request_sent_ = false;           // the last attempt sent the whole request
  bool awaits_response_ = false;        // the last attempt waits for the response's head
  monotonic_time response_ready_at_{};  // when the last attempt's response could be relayed
  bool keeps_alive_ = false;            // as the response's head told the caller
  bool reads_held_body_ = false;
  bool must_make_room_ = false;  // the request is refused while its body is read
  bool request_read_ = false;    // the request was read to its end
  std::size_t held_bytes_ = 0;   // body bytes charged to the worker's memory budget
  std::uint64_t split_random_;   // picks the part of a split route
  std::string last_upstream_;    // name of the last attempt's upstream
  fence_number last_fence_;
  bool has_retry_token_ = false;  // the next attempt's retry token has been taken
  fence_number refusing_fence_;   // of the owner that answered that it doesn't have the key
  monotonic_time refused_until_{};
  monotonic_time owner_wait_end_{};    // end of all waits for an owner, set by the first
  std::optional<upstream_id> permit_;  // the upstream that a permit is held for
  monotonic_time permit_until_{};      // the end of that permit
  // The end of the permit that the present attempt uses; none: it uses none.
  std::optional<monotonic_time> permitted_until_;
  std::uint32_t permits_asked_ = 0;
  std::uint32_t unsent_attempts_ = 0;
  send_reason refused_for_ = send_reason::none;  // the rule by which the request was refused
  std::optional<duration> pause_;                // that the last attempt's response asked for
  bool identity_mismatch_ = false;               // another upstream responded at the address
  std::optional<reported_load> reported_load_;   // load that the last attempt's upstream reported
};

}  // namespace plantainpaddle
