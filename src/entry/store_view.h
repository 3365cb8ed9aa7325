// store_view is an instance's copy of the store: the desired state, the registered upstreams and
// instances, the records of which upstream owns which keys, and which services have an assigner.
//
//   store_view view(store, [&](const store_change& changed) { ... });
//   view.tick();  // several times a second
//
// What is read when is decided by store_reader; another instance may read for this one and hand on
// its news (take_news()). Assigners push their records to the other
// instances, which pass them to update_record().
//
// What was in force stays in force when the store comes back from an older copy
// (on_store_restored()): the desired state goes by its own version, records by their position,
// upstreams by the sequence of their entries, and evacuations last for a while. Versions of keys
// are compared within an era only. Everything runs on io's thread.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "ownership/evacuation_list.h"
#include "ownership/key_versions.h"
#include "ownership/news.h"
#include "ownership/news_source.h"
#include "ownership/range_record.h"
#include "ownership/store_feed.h"
#include "ownership/store_keys.h"
#include "ownership/upstream_list.h"
#include "platform/store_client.h"
#include "routing/desired_state.h"

namespace plantainpaddle {

// The key that names a service's assigner, as it stands in the store.
struct assigner_entry {
  std::string holder;         // the instance's id
  std::uint64_t version = 0;  // of the key
};

// The parts of the view that an update has changed.
struct store_change {
  bool desired = false;
  bool upstreams = false;
  bool instances = false;
  bool records = false;
  bool evacuations = false;
  bool any() const { return desired || upstreams || instances || records || evacuations; }
};

struct store_view_timing {
  news_bounds bounds;
  feed_timing feed;
  upstream_list_timing upstreams;
  bool evacuations = false;  // whether orders to evacuate failure domains are read
  double spread = 0;         // of store_reader
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
  // The same, unless another instance reads them for this one.
  void refresh_unless_followed();

  // News that are handed on between instances (news_relay).
  void set_role(feed_role role);
  const store_reader& feeds() const { return feeds_; }
  const news_log& log() const { return log_; }
  // Returns the key's state for an instance that wants its value; nullopt if it isn't known.
  std::optional<news_item> value_of(const std::string& key) const;
  // Takes in the answer to a request of `asked_at`. Returns false, and does nothing, if it is about
  // other feeds.
  bool take_news(const news_answer& answer, monotonic_time asked_at);

  const std::optional<desired_state>& desired() const { return desired_; }
  const upstream_list& upstreams() const { return upstreams_; }
  const evacuation_list& evacuations() const { return evacuations_; }
  // Returns the latest record that is known, of any era; null if there is none.
  const range_record* record(const service_id& service) const;
  // Whether the router's own keys have been read in the present era. The next three are valid then.
  bool knows_own_keys() const;
  std::uint64_t record_version(const service_id& service) const;  // of its key; 0: absent
  const assigner_entry* assigner(const service_id& service) const;
  // Returns the versions of the keys of the service's eras, by key.
  std::map<std::string, std::uint64_t> era_keys(const service_id& service) const;
  std::size_t instances() const { return instances_.size(); }
  monotonic_time last_contact() const { return last_contact_; }
  // Returns how many values were passed over because they are older than what is in force, as those
  // of a store that has come back from an older copy.
  std::uint64_t passed_over() const { return passed_over_; }
  // Returns, by prefix, up to when the changes of the keys under it are known.
  std::map<std::string, monotonic_time> known_at() const;
  // Returns up to when the changes of the upstreams' entries are known.
  monotonic_time upstreams_known_at() const { return feeds_.upstreams().known_at(); }
  // Returns up to when the changes of the instances' own keys are known.
  monotonic_time own_keys_known_at() const;
  // Returns, by prefix, how often the keys under it were read.
  const std::map<std::string, std::uint64_t>& reads() const { return reads_; }
  // Returns, by store key, the addresses at which instances accept pushed records and load reports.
  std::map<std::string, std::string> instance_addresses() const;
  std::vector<instance_registration> instances_by_name() const;
  // Takes in a record that the store is known to hold at a version of its key. One that isn't newer
  // than the known one is ignored.
  void update_record(const service_id& service, const range_record& record, std::uint64_t version);
  // An upstream has said in a response, to this instance or to `reporter`, that it leaves.
  void note_leaving(const upstream_id& upstream, std::uint64_t life,
                    std::string_view reporter = {});
  // The store has come back from an older copy: everything is read anew.
  void on_store_restored();

 private:
  using due_read = store_reader::due_read;

  void read(const due_read& due);
  void on_changes(const due_read& asked, const result<poll_answer>& answer);
  void on_values(const due_read& asked, const result<range_answer>& answer);
  bool accept(const due_read& asked, const read_result& answer);
  void on_contact(std::uint64_t revision);
  void on_failure(const due_read& asked, const error& e);
  // known_at: up to when the feed was known before the events were read.
  store_change apply(const std::vector<watch_event>& events, monotonic_time known_at);
  void apply(const std::vector<watch_event>& events, monotonic_time known_at,
             store_change& changed);
  void apply_event(const watch_event& event, monotonic_time known_at, store_change& changed);
  void apply_desired(const stored_value& value, store_change& changed);
  // Returns whether the entry means something else than the one before.
  bool apply_upstream(const watch_event& event, monotonic_time known_at, store_change& changed);
  void apply_evacuation(const watch_event& event, monotonic_time known_at, store_change& changed);
  void apply_own_key(const watch_event& event, store_change& changed);
  void apply_record(const watch_event& event, store_change& changed);
  void pass_over(std::string_view key, std::uint64_t version);
  void notify(const store_change& changed);

  store_client& store_;
  handler on_change_;
  store_view_timing timing_;
  store_reader feeds_;
  news_log log_;
  feed_role role_ = feed_role::alone;
  // By feed, the calls that are under way, by the id of the read.
  std::vector<std::map<std::uint64_t, std::shared_ptr<http_call>>> calls_;
  std::optional<desired_state> desired_;
  upstream_list upstreams_;
  evacuation_list evacuations_;
  key_versions versions_;
  std::uint64_t passed_over_ = 0;
  std::map<service_id, range_record> records_;
  std::map<std::string, assigner_entry> assigners_;         // by key
  std::map<std::string, instance_registration> instances_;  // by key
  std::map<std::string, std::uint64_t> reads_;
  monotonic_time last_contact_{};
  bool store_lost_ = true;
};

}  // namespace plantainpaddle
