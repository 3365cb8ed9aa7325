// range_runner campaigns to become the assigner of a service and, while this instance is the
// assigner, carries out its decisions: it writes the record and sends grants and releases to
// upstreams. It runs on the thread of the io_context. Calls that it has started refer to it until
// they are answered, so it is destroyed only once the io_context no longer runs.
//
//   range_runner runner(service, context, timing, spread);
//   runner.set_upstreams(upstreams);          // whenever they change
//   runner.on_store_change();                 // whenever the store_view has changed
//   runner.tick();                            // several times a second
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "entry/store_view.h"
#include "entry/upstream_dialer.h"
#include "ownership/candidacy.h"
#include "ownership/observed_speeds.h"
#include "ownership/range_assigner.h"
#include "ownership/range_tenure.h"
#include "ownership/surging_load.h"
#include "platform/store_client.h"
#include "upstream/order_link.h"

namespace plantainpaddle {

struct range_runner_context {
  boost::asio::io_context& io;
  store_client& store;
  store_view& view;
  instance_id self;
  std::string address;      // where the other instances reach this one
  duration reuse_after{0};  // see upstream_presence
  // Sends a record that has been written to the other instances.
  std::function<void(const service_id&, const range_record&, std::uint64_t version)> push;
};

class range_runner {
 public:
  range_runner(service_id service, range_runner_context context, range_timing timing,
               candidacy_timing candidacy, duration spread);

  struct upstream {
    range_upstream facts;
    std::string address;
    bool operator==(const upstream&) const = default;
  };
  void set_upstreams(std::vector<upstream> listed);
  void on_store_change();
  // The store has come back from an older copy, and the leases are lost. An assigner goes on
  // renewing grants and campaigns at once.
  void on_store_restored();
  void tick();
  // Adds requests for a key, whether this instance or another one received them.
  void count(std::uint32_t key, double requests) {
    load_.add(key, requests);
    if (surging_) surging_->add(key, requests);
  }
  // Says whether plans are to follow keys that get hot within a second.
  void set_contended(bool contended) { contended_ = contended; }
  // Takes in the limits, in requests per second, that upstreams have named. They count until they
  // haven't been noted for a while.
  void note_limits(const std::map<upstream_id, double>& limits);
  // Takes in the times of answers that an instance reports.
  void note_speeds(const answer_samples& samples) { speeds_.add(samples, monotonic_now()); }
  const observed_speeds& speeds() const { return speeds_; }
  // Says whether this instance has been late for long. Then it hands assigning over to another one
  // as soon as the store has confirmed its leadership recently, and campaigns after the others.
  void set_late(bool late);
  // Ends the candidacy. An assigner relinquishes its term at once if the store has confirmed its
  // leadership recently (range_assigner::may_relinquish). Otherwise it goes on assigning and
  // renewing its lease, and each tick() checks again.
  void leave();

  bool is_assigner() const { return assigner_.has_value(); }
  // Where the assigner in the last known record is reached; empty if there is none.
  std::string_view assigner_address() const;

 private:
  struct link_state {
    std::string address;
    std::shared_ptr<order_link> link;  // null unless it is open
    link_number number = 0;            // of the link; 0: none
    link_number attempt = 0;           // the link that is being opened; 0: none
    bool connected = false;            // of the attempt
    monotonic_time next_attempt{};
  };

  void step_candidacy();
  void create_lease();
  void campaign();
  void renew_lease();
  void step_down(std::string_view why);
  void resign();
  void hand_over();
  void stop_assigning(std::string_view why);
  void write_relinquished_record(const range_record& record, std::uint64_t version, int attempts);
  key_holder assigner_key_holder() const;
  store_transaction make_campaign(const range_record& record) const;
  void on_campaign_won(const range_campaign& won, std::uint64_t version, monotonic_time sent);
  void on_term_started(std::uint64_t version);
  // Adds to a write of the record that it is of the store's present era.
  void add_era(store_transaction& change) const;
  void run_actions();
  const key_load& planned_load() const { return surging_ ? surging_->planned() : load_; }
  void rebalance(monotonic_time now);
  void log_balance(monotonic_time now);
  std::vector<range_upstream> listed_upstreams() const;
  // Passes a record that the store holds to the view here and to the other instances.
  void publish(const range_record& record, std::uint64_t version);
  void perform(const range_action::write& order);
  void perform(const range_action::grant& order);
  void perform(const range_action::release& order);
  order_link* find_link(const range_action::grant& order) const;
  void on_grant_answer(const range_action::grant& order, const result<http_response>& answer);
  void send_release(const range_action::release& order, const std::shared_ptr<order_link>& link);
  void on_release_failed(const range_action::release& order, const error& why);
  void read_record();
  void on_record_read(const result<std::optional<stored_value>>& read);
  void maintain_links();
  void open_link(const upstream_id& name, link_state& state);
  void on_link_opened(const upstream_id& name, link_number attempt,
                      const upstream_dialer::opened& opened);
  void close_link(const upstream_id& name, std::string_view why);

  service_id service_;
  range_runner_context context_;
  range_timing timing_;
  candidacy candidacy_;
  upstream_presence presence_;
  upstream_dialer dialer_;
  range_tenure tenure_;
  std::optional<range_assigner> assigner_;
  std::size_t ranges_in_doubt_ = 0;  // as logged last
  monotonic_time era_seen_ =
      monotonic_now();             // no earlier than when the store's era was first seen
  std::uint64_t era_version_ = 0;  // of the key of the era in which this is the assigner
  // Changes whenever this instance becomes or stops being the assigner; a call that started under
  // another value is stale, and its response is ignored.
  std::uint64_t generation_ = 0;
  std::map<upstream_id, upstream> listed_;
  std::map<upstream_id, link_state> links_;
  std::map<upstream_id, std::string> addresses_;  // last known, including removed upstreams
  link_number last_link_ = 0;
  key_load load_;
  bool contended_ = false;
  std::optional<surging_load> surging_;  // while this is the assigner and upstreams are contended
  observed_speeds speeds_;
  struct noted_limit {
    double rate = 0;
    monotonic_time noted{};
  };
  std::map<upstream_id, noted_limit> limits_;
  monotonic_time next_rebalance_{};
  monotonic_time next_balance_{};
  monotonic_time next_balance_log_{};
  bool reading_ = false;
  bool leaving_ = false;
  bool late_ = false;
};

}  // namespace plantainpaddle
