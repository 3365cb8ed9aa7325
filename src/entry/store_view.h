// store_view is an instance's copy of the store: the desired state, the registered upstreams and
// instances, the records of which upstream owns which keys, and which services have an assigner.
//
//   store_view view(io, store, [&](const store_change& changed) { ... });
//   view.start();
//
// Every poll_period one poll reads all changes, so that nothing depends on a watch that may have
// gone silent. The assigner keys are watched as well, so that a lost assigner is replaced at once,
// and assigners push their records to the other instances, which pass them to update_record().
// Versions never decrease: an older one is ignored. Everything runs on io's thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "ownership/range_record.h"
#include "ownership/store_keys.h"
#include "ownership/upstream_list.h"
#include "platform/store_client.h"
#include "routing/desired_state.h"

namespace plantainpaddle {

// A record and the version of its key in the store.
struct versioned_record {
  range_record record;
  std::uint64_t version = 0;
};

// The parts of the view that an update has changed.
struct store_change {
  bool desired = false;
  bool upstreams = false;
  bool instances = false;
  bool records = false;
  bool any() const { return desired || upstreams || instances || records; }
};

struct store_view_timing {
  // Two polls fit into the two seconds in which an upstream's notice that it leaves must
  // take effect.
  duration poll_period = milliseconds(950);
  duration poll_retry_delay = milliseconds(100);  // after a failed poll
  // Limits a poll's response time. It doubles with each consecutive failure, up to
  // max_poll_timeout, so that a slow store can still be read.
  duration poll_timeout = milliseconds(450);
  duration max_poll_timeout = milliseconds(1800);
  duration watch_wait = seconds(15);  // each wait costs one call to the store
  duration store_lost_after =
      milliseconds(1800);  // without a response, as entries may lapse unseen
};

class store_view {
 public:
  using handler = std::function<void(const store_change&)>;

  // Calls `on_change` after each update that changed something.
  store_view(boost::asio::io_context& io, store_client& store, handler on_change,
             store_view_timing timing = {});

  void start();
  // Polls at once, or again right after the poll in progress.
  void refresh();
  // Ends entries of upstreams whose grace period has passed. It should be called several times a
  // second.
  void expire();

  const std::optional<desired_state>& desired() const { return desired_; }
  const upstream_list& upstreams() const { return upstreams_; }
  const versioned_record* record(const service_id& service) const;
  // Returns no value until the store has been read.
  std::optional<bool> has_assigner(const service_id& service) const;
  std::size_t instances() const { return instances_.size(); }
  monotonic_time last_contact() const { return last_contact_; }
  // Returns, by store key, the addresses at which instances accept pushed records and load reports.
  const std::map<std::string, std::string>& instance_addresses() const { return instances_; }
  // Takes in a record that the store is known to hold. An older version is ignored.
  void update_record(const service_id& service, const range_record& record, std::uint64_t version);

 private:
  void poll();
  void read_all();
  void watch();
  void schedule(duration after);
  template <class Answer>
  bool handle_poll_result(const result<Answer>& answer);
  void on_contact();
  void on_failure(const error& e);
  store_change apply(const std::vector<watch_event>& events);
  void apply_event(const watch_event& event, store_change& changed);
  void apply_desired(const stored_value& value, store_change& changed);
  void apply_upstream(const watch_event& event, store_change& changed);
  void apply_own_key(const watch_event& event, store_change& changed);
  void notify(const store_change& changed);
  void log_read(monotonic_time sent, std::size_t values, std::size_t bytes,
                std::string_view failure) const;

  store_client& store_;
  handler on_change_;
  store_view_timing timing_;
  boost::asio::steady_timer poll_timer_;
  boost::asio::steady_timer watch_timer_;
  std::optional<desired_state> desired_;
  upstream_list upstreams_;
  std::map<std::string, std::uint64_t, std::less<>>
      versions_;  // by own key, including removed keys
  std::map<service_id, versioned_record> records_;
  std::map<std::string, std::string> assigners_;  // by key
  std::map<std::string, std::string> instances_;  // by key
  std::uint64_t polled_revision_ = 0;             // polled up to; 0 makes poll() read everything
  std::uint64_t watched_revision_ = 0;
  monotonic_time last_contact_{};
  bool store_lost_ = true;
  duration poll_timeout_;
  bool polling_ = false;
  bool poll_again_ = false;
  bool watching_ = false;
};

}  // namespace plantainpaddle
