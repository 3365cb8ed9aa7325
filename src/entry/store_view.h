// store_view is an instance's copy of the store: the desired state, the registered upstreams and
// instances, the records of which upstream owns which keys, and which services have an assigner.
//
//   store_view view(store, [&](const store_change& changed) { ... });
//   view.tick();  // several times a second
//
// What is read when is decided by store_reader. Assigners push their records to the other
// instances, which pass them to update_record(). Versions never decrease: an older one is ignored.
// Everything runs on io's thread.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "ownership/range_record.h"
#include "ownership/store_feed.h"
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
  news_bounds bounds;
  feed_timing feed;
  duration store_lost_after =
      milliseconds(1800);  // without a response, as entries may lapse unseen
};

class store_view {
 public:
  using handler = std::function<void(const store_change&)>;

  // Calls `on_change` after each update that changed something.
  store_view(store_client& store, handler on_change, store_view_timing timing = {});

  // Reads what is due and ends entries of upstreams whose grace period has passed. It should be
  // called several times a second.
  void tick();
  // Reads the router's own keys at once, or again right after the reads in progress.
  void refresh();

  const std::optional<desired_state>& desired() const { return desired_; }
  const upstream_list& upstreams() const { return upstreams_; }
  const versioned_record* record(const service_id& service) const;
  // Returns no value until the store has been read.
  std::optional<bool> has_assigner(const service_id& service) const;
  std::size_t instances() const { return instances_.size(); }
  monotonic_time last_contact() const { return last_contact_; }
  // Returns how many values of changed keys were passed over as older than known ones although the
  // store has another history than when those were read.
  std::uint64_t passed_over() const { return passed_over_; }
  // Returns, by prefix, up to when the changes of the keys under it are known.
  std::map<std::string, monotonic_time> known_at() const;
  // Returns, by store key, the addresses at which instances accept pushed records and load reports.
  const std::map<std::string, std::string>& instance_addresses() const { return instances_; }
  // Takes in a record that the store is known to hold. An older version is ignored.
  void update_record(const service_id& service, const range_record& record, std::uint64_t version);

 private:
  using due_read = store_reader::due_read;

  void read(const due_read& due);
  void on_changes(const due_read& asked, const result<poll_answer>& answer);
  void on_values(const due_read& asked, const result<range_answer>& answer);
  bool accept(const due_read& asked, const read_result& answer);
  void on_contact(const store_feed& feed);
  void on_failure(const due_read& asked, const error& e);
  // known_at: up to when the feed was known before the events were read.
  store_change apply(const std::vector<watch_event>& events, monotonic_time known_at);
  void apply_event(const watch_event& event, monotonic_time known_at, store_change& changed);
  void apply_desired(const stored_value& value, store_change& changed);
  void apply_upstream(const watch_event& event, monotonic_time known_at, store_change& changed);
  void apply_own_key(const watch_event& event, store_change& changed);
  void notify(const store_change& changed);

  store_client& store_;
  handler on_change_;
  store_view_timing timing_;
  store_reader feeds_;
  // By feed, the calls that are under way, by the id of the read.
  std::vector<std::map<std::uint64_t, std::shared_ptr<http_call>>> calls_;
  std::optional<desired_state> desired_;
  upstream_list upstreams_;
  // By key, including keys whose removal no complete list has confirmed yet.
  std::map<std::string, std::uint64_t, std::less<>> versions_;
  std::map<std::string, std::uint64_t, std::less<>> eras_;  // of the store when versions_ was set
  std::uint64_t passed_over_ = 0;
  std::map<service_id, versioned_record> records_;
  std::map<std::string, std::string> assigners_;  // by key
  std::map<std::string, std::string> instances_;  // by key
  monotonic_time last_contact_{};
  bool store_lost_ = true;
};

}  // namespace plantainpaddle
