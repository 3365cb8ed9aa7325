// One request of a caller, from its head to the last byte of its response.
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
    bool via_dispatcher = false;  // to the upstream's dispatcher
    bool is_former_owner =
        false;  // the upstream had the key before its owner, which hasn't got it yet
  };

  // No upstream can take the request now, but one may soon.
  struct no_owner {
    error cause;
  };
  using choice = std::variant<destination, no_owner, local_response>;

  // How an attempt ended. Without `answered`, `why` and `known` say what to tell the caller.
  struct attempt_end {
    bool answered = false;
    bool wait_for_owner = false;  // not run, and a new owner may come
    bool too_late = false;        // refused a slot because of the deadline
    run_state known = run_state::not_run;
    unsigned status = 503;
    error cause;
    std::optional<failure_kind> failure;  // what it says of the upstream
  };

  // Before anything is sent.
  std::optional<local_response> parse_and_route(std::size_t head_size);
  std::optional<local_response> route_request();
  std::optional<local_response> check_deadline();
  std::optional<local_response> check_limits();
  task<std::optional<local_response>> read_held_body();
  std::optional<local_response> check_body(boost::beast::error_code code) const;
  bool append_held_body();
  void finish_request_read();

  // Where to.
  // failed: not to be chosen again, if there is another one.
  choice choose(const std::optional<upstream_id>& failed);
  choice choose_by_gate(const std::optional<upstream_id>& failed);
  choice choose_by_load(const std::optional<upstream_id>& failed);
  choice choose_former_owner(const shard_target& owner, placement_question question);

  std::optional<std::size_t> index_of(const upstream_id& name) const;
  local_response unavailable_response(const std::string& detail, const std::string& peer) const;
  task<std::optional<local_response>> wait_for_owner(const error& cause);

  // Sending.
  task<attempt_end> attempt(const destination& to);
  task<attempt_end> attempt_admitted(const destination& to);
  task<std::optional<attempt_end>> enter_gate(const destination& to);
  task<std::optional<attempt_end>> connect(const destination& to);
  task<std::optional<attempt_end>> send_request(const destination& to);
  task<std::optional<attempt_end>> read_response_head(const destination& to);
  task<bool> skip_stale_response();
  task<std::optional<attempt_end>> buffer_response(const destination& to);
  std::optional<attempt_end> refused_by_upstream(const destination& to);
  task<attempt_end> relay_response(const destination& to);
  void release_connection(bool reusable);
  void leave_gate(bool observe);
  std::optional<attempt_end> enter_lease(const destination& to);
  void leave_lease(const destination& to, const attempt_end& end);
  attempt_end failed(const destination& to, step at, run_state known, const std::string& detail,
                     std::optional<failure_kind> failure) const;
  attempt_end relay_failed(const destination& to, relay_result end) const;
  void report_health(const destination& to, const attempt_end& end);
  void report_placement(const destination& to, const attempt_end& end);
  task<std::optional<local_response>> plan_retry(const attempt_end& end);

  task<bool> send_local_response(local_response own);
  void record(unsigned status, std::string_view outcome, std::uint64_t answer_bytes);
  void log_local_response(const local_response& own) const;
  void log_request_end(unsigned status, std::string_view outcome, duration taken) const;
  void log_attempt(const destination& to, const attempt_end& end) const;
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
  std::shared_ptr<const traffic_view> view_;
  route_match match_;
  std::optional<std::string> key_;
  shard_id shard_;
  std::string_view tenant_;
  monotonic_time started_at_{};
  monotonic_time sent_at_{};
  monotonic_time deadline_{};
  monotonic_time route_deadline_{};  // deadline_ before a lease has cut it
  bool holds_lease_ = false;         // the attempt holds a dispatcher's lease
  duration owner_pause_{0};          // last wait for an owner
  std::unique_ptr<upstream_connection> connection_;
  std::unique_ptr<wire_buffer> response_buffer_;
  std::shared_ptr<upstream_traffic> gated_upstream_;  // whose gate was entered
  admission_id gate_admission_ = 0;
  bool may_have_run_ = false;  // an attempt ended without a word on it
  std::uint32_t attempts_ = 0;
  bool force_new_connection_ = false;  // the last attempt's was silent
  bool continue_sent_ = false;
  bool body_streamed_ = false;  // body bytes have left the buffer: the request can't be sent again
  bool request_sent_ = false;   // the last attempt's request went out to its last byte
  monotonic_time response_ready_at_{};  // the last attempt's response was in hand
  bool request_read_ = false;   // the caller's bytes behind the request are the session's again
  std::size_t held_bytes_ = 0;  // bytes of the body, counted against the worker's budget
  std::uint64_t split_random_;  // of the part of a split route
  std::string last_upstream_;   // that the request was sent to
  fence_number last_fence_;
  bool has_retry_token_ = false;  // the next attempt has taken its token from the budget of retries
  fence_number refusing_fence_;   // of the owner that said that it doesn't have the key
  monotonic_time refused_until_{};
  monotonic_time owner_wait_end_{};           // of the first wait for an owner, once there was one
  bool identity_mismatch_ = false;            // another upstream answered at the address
  std::optional<stated_load> reported_load_;  // that the upstream of the last attempt stated
};

}  // namespace plantainpaddle
