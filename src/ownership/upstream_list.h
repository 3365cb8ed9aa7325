// The upstreams registered in the store, as one instance knows them.
//
//   upstream_list list(timing);
//   list.on_entry(entry, now);   // the store has this entry
//   list.on_removed(id, now);    // the entry is gone from the store
//   list.on_notice(id, life, now);  // the upstream itself has said that it leaves
//   list.on_contact(now);        // a read of the store succeeded
//   list.on_lost_contact();      // it failed
//   list.expire(now);            // regularly
//
// An entry that expired while the store was unreachable stays listed until its upstream has had the
// time to register again.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/ids.h"
#include "base/time.h"

namespace plantainpaddle {

struct registered_upstream {
  upstream_id id;
  service_id service;
  std::string address;  // "IP:port"
  domain_id domain;
  std::uint32_t slots = 1;
  bool leaving = false;
  duration warm_up_left{0};  // remaining warm-up when the entry was written
  std::uint64_t life = 0;    // incarnation: rises with each start under the same id
  // Number of the entry within the life. Unlike a revision of the store, the upstream gives it out.
  std::uint64_t sequence = 0;
  bool operator==(const registered_upstream&) const = default;
};

struct upstream_list_timing {
  duration back_after = milliseconds(2200);  // grace period after the store is reachable again
  duration departed_memory = seconds(60);    // longer than a copy of the store is old
  // Whether an upstream that says that it has become cold within a life is cold again. Entries are
  // read late at times, so only one that ends its cold start later by this margin says so.
  std::optional<duration> cold_again_margin;
};

class upstream_list {
 public:
  struct listed {
    registered_upstream entry;
    monotonic_time warm_since{};
    std::optional<monotonic_time> lapsed_until;  // gone from the store, kept here until then
    monotonic_time leaving_since{};              // if it leaves: the notice isn't older than this
    bool operator==(const listed&) const = default;
  };

  explicit upstream_list(upstream_list_timing timing = {}) : timing_(timing) {}

  // These three return whether the list has changed. `known_at`: when the store's entries were last
  // known before this one was read.
  bool on_entry(const registered_upstream& entry, monotonic_time now, monotonic_time known_at = {});
  bool on_removed(const upstream_id& id, monotonic_time now);
  // The upstream has said that it leaves, in a response. This holds for its present life, whatever
  // entries of the store say.
  bool on_notice(const upstream_id& id, std::uint64_t life, monotonic_time now);
  // `present` is the complete list; entries that it lacks were removed.
  bool on_full_list(const std::set<upstream_id>& present, monotonic_time now);
  void on_contact(monotonic_time now);
  void on_lost_contact() { in_contact_ = false; }
  // The store has come back from an older copy. For back_after, entries that it lacks are kept, and
  // those that are older than known ones are ignored, also those of upstreams that have gone.
  void on_store_restored(monotonic_time now);
  bool expire(monotonic_time now);

  const std::map<upstream_id, listed>& all() const { return upstreams_; }
  // Returns the lives of the listed upstreams that have said in a response that they leave.
  std::map<upstream_id, std::uint64_t> noticed() const;

 private:
  // The last entry of an upstream that has gone.
  struct departed {
    std::uint64_t life = 0;
    std::uint64_t sequence = 0;
    monotonic_time at{};
  };
  bool has_notice(const upstream_id& id, std::uint64_t life) const;
  bool is_outdated(const registered_upstream& entry, monotonic_time now) const;
  void erase(const upstream_id& id, monotonic_time now);

  upstream_list_timing timing_;
  std::map<upstream_id, departed> departed_;
  // The lives that have said that they leave, of listed upstreams and of those in departed_.
  std::map<upstream_id, std::uint64_t> notices_;
  monotonic_time restored_{};
  std::map<upstream_id, listed> upstreams_;
  std::optional<monotonic_time> next_lapse_;  // no upstream's lapsed_until is earlier
  bool in_contact_ = false;
  bool ever_in_contact_ = false;
  monotonic_time regained_{};
};

}  // namespace plantainpaddle
