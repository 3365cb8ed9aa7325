// Decides when an instance reads the parts of the store, whether it asks for changes or for
// everything, and how long an answer may take. Each part has a feed of its own, so that news of one
// isn't held up by the volume of another. No I/O and no clock.
//
//   store_reader reader(layout, bounds);
//   while (const auto due = reader.next(now)) ...    // several times a second; carry it out
//   if (reader[due->feed].on_answer(due->read, answer, now)) ...  // take the values in
//   reader[due->feed].on_failure(due->read, now);
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace plantainpaddle {

// How an instance gets its news of the store.
enum class feed_role {
  alone,     // it reads the store for itself
  reader,    // it reads the store and hands on what it learns
  follower,  // another instance hands on news; it reads the store only when they are missing
};

// How often a feed is read.
struct feed_pace {
  duration period{0};  // from a good answer to the next read
  duration wait{0};    // for which the store holds a read that has nothing to say
  bool operator==(const feed_pace&) const = default;
};

// The part of the store that a feed reads, and how often.
struct feed_config {
  std::string prefix;   // of the keys
  feed_pace alone;      // also of a follower without news
  feed_pace as_reader;  // faster, as news take longer to reach the followers
  // A follower reads the store when its news are older than this.
  duration max_news_age = seconds(1);
  bool whole = false;  // reads ask for all values, never for changes
  // All values are read instead of the changes of more than this, which grow without limit.
  duration max_change_age = seconds(3);
  bool bounded = true;  // what it reads must take effect within a bound
  bool operator==(const feed_config&) const = default;
};

struct feed_timing {
  // From a failed read to the next one; it doubles with each failure. Each instance takes a share
  // that differs. With a longest delay of 800 ms, upstreams that failed during an outage stayed
  // listed for longer after it than the bounds allow.
  duration retry_delay = milliseconds(100);
  duration max_retry_delay = milliseconds(540);
  // For a feed without bound while another instance hands on news, unless the store answers other
  // reads.
  duration retry_delay_with_news = milliseconds(800);
  duration max_retry_delay_with_news = seconds(4);
  // A read of which nothing has come for so long is repeated on another connection, while an answer
  // to the first is still taken in.
  duration hedge_after = milliseconds(450);
  std::size_t max_reads = 4;  // under way at once
  duration timeout =
      milliseconds(1800);  // without a further byte of an answer; a store may be slow
  bool operator==(const feed_timing&) const = default;
};

// One read of the store.
struct store_read {
  std::uint64_t id = 0;     // unique within the feed
  std::uint64_t after = 0;  // changes after this revision; 0: all values under the prefix
  duration wait{0};         // for which the store may wait for a first change
  duration timeout{0};      // beyond the wait
  monotonic_time sent{};
  bool operator==(const store_read&) const = default;
};

struct read_result {
  std::uint64_t revision = 0;  // of the store; later reads ask for changes after it
  bool compacted = false;      // the store no longer has the changes
  bool changed = false;        // the answer holds at least one change
};

class store_feed {
 public:
  // spread: as of store_reader.
  explicit store_feed(feed_config config, feed_timing timing = {}, double spread = 0);

  void set_role(feed_role role) { role_ = role; }

  const std::string& prefix() const { return config_.prefix; }
  // Returns the read that is due, which counts as sent at `now`.
  std::optional<store_read> next(monotonic_time now);
  // A part of the answer has come.
  void on_progress(const store_read& read, monotonic_time now);
  // Returns whether the values are to be taken in. They aren't if a later read was answered before,
  // or if the store doesn't have the changes any more.
  bool on_answer(const store_read& read, const read_result& answer, monotonic_time now);
  void on_failure(const store_read& read, monotonic_time now);
  // Reads at once, or again after the read in progress.
  void request(monotonic_time now);
  // Another instance has handed on all changes up to the revision, which were known to be all at
  // `known_at`.
  void on_news(std::uint64_t revision, monotonic_time known_at);
  // News mentioned a value without its contents: the store is read, and further news of the feed
  // are ignored until that read, or a later one, is answered, or the value is handed on at a
  // version that isn't lower (on_handed_on()).
  void require_read(monotonic_time now, const std::string& key = {}, std::uint64_t version = 0);
  void on_handed_on(const std::string& key, std::uint64_t version);
  // Returns the key of a value that the feed waits for since require_read().
  std::optional<std::string> wanted() const;
  // Whether another instance gets time to hand on such a value before the store is read: for
  // `longest` at most.
  bool awaits_value(duration longest, monotonic_time now) const;
  // The store has come back from an older copy: everything is read anew. Answers to reads that are
  // under way aren't taken in.
  void restart(monotonic_time now);

  // Every change that the store acknowledged before this time has been taken in.
  monotonic_time known_at() const { return known_at_; }
  std::uint64_t revision() const { return revision_; }
  bool is_stale(monotonic_time now) const { return now - known_at_ >= config_.max_news_age; }
  // Whether another instance's news keep the feed up to date.
  bool has_news(monotonic_time now) const;
  bool is_failing() const { return failures_ != 0; }
  std::size_t reads_under_way() const { return under_way_.size(); }
  bool is_bounded() const { return config_.bounded; }
  // When the last read failed; nullopt if it didn't.
  std::optional<monotonic_time> failed_at() const { return failed_at_; }
  monotonic_time answered_at() const { return answered_at_; }
  // The store answers reads of other feeds.
  void note_reached() { reached_ = true; }
  // The time from the last failure to the next read.
  duration retry_delay(monotonic_time now) const;
  // False until everything has been read once, or once more after a restart.
  bool is_read() const { return read_; }

 private:
  const feed_pace& pace() const;

  feed_config config_;
  feed_timing timing_;
  std::uint64_t revision_ = 0;
  std::uint64_t last_id_ = 0;
  std::vector<store_read> under_way_;  // in the order in which they were sent
  monotonic_time progress_{};          // when a part of an answer to one of them came last
  feed_role role_ = feed_role::alone;
  bool again_ = false;
  bool requested_ = false;
  std::optional<monotonic_time> required_at_;  // of require_read()
  bool read_ = false;
  std::map<std::string, std::uint64_t> wanted_;  // versions of the values that it wants, by key
  int failures_ = 0;                             // since the last good answer
  std::optional<monotonic_time> failed_at_;      // of the last one, if nothing is under way since
  bool reached_ = false;                         // by another feed since the last failure
  monotonic_time answered_at_{};
  double spread_;
  monotonic_time next_at_{};
  monotonic_time known_at_{};
};

// The bounds within which news from the store must take effect, from its acknowledgement.
struct news_bounds {
  duration desired = seconds(2);  // a desired state
  duration leaving = seconds(2);  // an upstream's notice that it leaves
  bool operator==(const news_bounds&) const = default;
};

// Where the parts of the store stand.
struct store_layout {
  std::string desired;    // key of the desired state, or prefix of all that operators write
  std::string upstreams;  // prefix of the entries of upstreams
  std::string own;        // prefix of what the instances write
  std::string assigners;  // prefix, within `own`, of the keys that name assigners
};

// The feeds of an instance, which together cover the keys that it reads.
class store_reader {
 public:
  // spread: from 0 to 1, differs from instance to instance, so that followers whose reader is gone
  // don't all call the store at once.
  store_reader(const store_layout& layout, const news_bounds& bounds, feed_timing timing = {},
               double spread = 0);

  struct due_read {
    std::size_t feed = 0;
    store_read read;
  };
  // Returns a read that is due. While the store can't be reached or doesn't answer, only one feed
  // tries, and while another instance hands on news, one of those that aren't bounded.
  std::optional<due_read> next(monotonic_time now);

  void set_role(feed_role role);
  // Returns the key of a value that another instance is asked to hand on, as the store fails.
  std::optional<std::string> wanted() const;
  // Whether each feed has been read completely.
  bool is_read() const;
  // Whether news of what must take effect within a bound are older than followers wait for them.
  bool is_stale(monotonic_time now) const;
  std::vector<std::uint64_t> revisions() const;  // by feed
  // The time between two reads of the feed that is read most often, by a reader.
  duration reader_period() const;

  store_feed& operator[](std::size_t feed) { return feeds_[feed]; }
  const store_feed& operator[](std::size_t feed) const { return feeds_[feed]; }
  std::size_t size() const { return feeds_.size(); }
  const store_feed& upstreams() const { return feeds_[upstream_feed]; }
  static constexpr std::size_t desired_feed = 0;
  static constexpr std::size_t upstream_feed = 1;
  static constexpr std::size_t own_feed = 2;

 private:
  bool is_failing() const;
  bool may_read(std::size_t feed, monotonic_time now) const;

  duration reader_period_{0};
  std::vector<store_feed> feeds_;
};

}  // namespace plantainpaddle
