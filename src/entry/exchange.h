// One request of a caller, from its head to the last byte of its answer.
//
//   exchange work(session, number, std::move(buffer), head_size);
//   bool keep = co_await work.run();      // whether the caller's connection may carry another
//
// The rules of what may be sent again: docs/CALLERS.md.
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
#include "upstream/pool.h"

namespace plantainpaddle {

class exchange {
 public:
  // The buffer begins with a whole, checked head of head_size bytes.
  exchange(session& connection, std::uint64_t number, std::unique_ptr<wire_buffer> buffer,
           std::size_t head_size);
  ~exchange();
  exchange(const exchange&) = delete;
  exchange& operator=(const exchange&) = delete;

  task<bool> run();
  request_scope& scope() { return caller_; }
  const request_scope& scope() const { return caller_; }

 private:
  // Where a request is sent.
  struct destination {
    std::size_t upstream = 0;  // index in the service
    std::string address;
    shard_target owner;
    bool hop = false;     // to the upstream's dispatcher
    bool former = false;  // the upstream had the key before its owner, which hasn't got it yet
  };

  // No upstream can take the request now, but one may soon.
  struct no_owner {
    error why;
  };
  using choice = std::variant<destination, no_owner, local_response>;

  // How an attempt ended. Without `answered`, `why` and `known` say what to tell the caller.
  struct attempt_end {
    bool answered = false;
    bool wait_for_owner = false;  // not run, and a new owner may come
    bool too_late = false;        // refused a slot because of the deadline
    run_state known = run_state::not_run;
    unsigned status = 503;
    error why;
    std::optional<failure_kind> judged;  // what it says of the upstream
  };

  // Before anything is sent.
  std::optional<local_response> open(std::size_t head_size);
  std::optional<local_response> match_view();
  std::optional<local_response> check_deadline();
  std::optional<local_response> check_limits();
  task<std::optional<local_response>> gather_body();
  std::optional<local_response> check_body(boost::beast::error_code code) const;
  bool hold_body();
  void request_is_read();

  // Where to.
  // failed: not to be chosen again, if there is another one.
  choice choose(const std::optional<upstream_id>& failed);
  choice choose_gated(const std::optional<upstream_id>& failed);
  choice choose_placed(const std::optional<upstream_id>& failed);
  choice choose_former(const shard_target& owner, placement_request question);

  std::optional<std::size_t> index_of(const upstream_id& name) const;
  local_response unserved(const std::string& why, const std::string& peer) const;
  task<std::optional<local_response>> wait_for_owner(const error& why);

  // Sending.
  task<attempt_end> attempt(const destination& to);
  task<attempt_end> attempt_admitted(const destination& to);
  task<std::optional<attempt_end>> enter_gate(const destination& to);
  task<std::optional<attempt_end>> connect(const destination& to);
  task<std::optional<attempt_end>> send_request(const destination& to);
  task<std::optional<attempt_end>> read_answer_head(const destination& to);
  task<bool> skip_answer();
  task<std::optional<attempt_end>> hold_answer(const destination& to);
  std::optional<attempt_end> refused_by_upstream(const destination& to);
  task<attempt_end> relay_answer(const destination& to);
  void release_connection(bool reusable);
  void leave_gate(bool observe);
  std::optional<attempt_end> enter_lease(const destination& to);
  void leave_lease(const destination& to, const attempt_end& end);
  attempt_end failed(const destination& to, step at, run_state known, const std::string& detail,
                     std::optional<failure_kind> judged) const;
  attempt_end relay_failed(const destination& to, relay_end end) const;
  void judge(const destination& to, const attempt_end& end);
  void judge_placed(const destination& to, const attempt_end& end);
  task<std::optional<local_response>> plan_retry(const attempt_end& end);

  task<bool> answer(local_response own);
  void record(unsigned status, std::string_view outcome, std::uint64_t answer_bytes);
  void log_answer(const local_response& own) const;
  void log_end(unsigned status, std::string_view outcome, duration taken) const;
  void log_attempt(const destination& to, const attempt_end& end) const;
  bool may_keep();
  bool repeatable() const;
  const header_names& names() const;
  const service_snapshot& service() const { return *match_.service; }
  const service_traffic& traffic() const;

  request_scope caller_;
  worker& home_;
  std::unique_ptr<message_state> state_;
  message_state& messages_;
  std::size_t head_size_;
  std::shared_ptr<const traffic_view> view_;
  route_match match_;
  std::optional<std::string> key_;
  shard_id shard_;
  std::string_view tenant_;
  monotonic_time started_{};
  monotonic_time sent_{};
  monotonic_time deadline_{};
  monotonic_time route_deadline_{};  // deadline_ before a lease has cut it
  bool leased_ = false;              // the attempt holds a dispatcher's lease
  duration pause_{0};                // last wait for an owner
  std::unique_ptr<upstream_connection> connection_;
  std::unique_ptr<wire_buffer> answer_buffer_;
  std::shared_ptr<upstream_traffic> gate_owner_;  // whose gate was entered
  admission_id gate_id_ = 0;
  bool may_have_run_ = false;  // an attempt ended without a word on it
  std::uint32_t attempts_ = 0;
  bool fresh_connection_ = false;  // the last attempt's was silent
  bool continue_sent_ = false;
  bool streamed_ = false;      // body bytes have left the buffer: the request can't be sent again
  bool sent_whole_ = false;    // the last attempt's request went out to its last byte
  monotonic_time answered_{};  // the last attempt's answer was in hand
  bool read_whole_ = false;    // the caller's bytes behind the request are the session's again
  std::size_t held_ = 0;       // bytes of the body, counted against the worker's budget
  std::uint64_t draw_;         // of the part of a split route
  std::string last_upstream_;  // that the request was sent to
  fence_number last_fence_;
  bool paid_ = false;        // the next attempt has taken its token from the budget of retries
  fence_number refused_by_;  // of the owner that said that it doesn't have the key
  monotonic_time refused_until_{};
  monotonic_time owner_wait_end_{};    // of the first wait for an owner, once there was one
  bool misplaced_ = false;             // another upstream answered at the address
  std::optional<reported_load> load_;  // that the upstream of the last attempt stated
};

}  // namespace plantainpaddle
