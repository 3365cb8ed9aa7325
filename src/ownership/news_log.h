// What an instance has learned of the store, in the order in which it learned it, so that other
// instances can be told what they miss. The latest state of each key is kept, not its history.
//
//   news_log log(token, feeds);
//   log.on_value(key, version, value, true);
//   const auto missed = log.since({token, sequence, revisions});
//   if (missed.complete[feed]) ...   // they include all of that feed
//
// A value that means the same as the one before, such as a heartbeat, is no news. No I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantainpaddle {

// The latest state of a key.
struct news_item {
  std::string key;
  std::uint64_t version = 0;  // of the value or removal, in the store
  bool removed = false;
  // nullopt if removed, larger than max_news_value, or not known as the store holds it. The
  // receiver then reads it from the store.
  std::optional<std::string> value;
  bool operator==(const news_item&) const = default;
};

// A larger value is read from the store by each instance, as one instance's link is too slow to
// send it to all the others in time.
inline constexpr std::size_t max_news_value = 16 << 10;
// A larger value than this isn't kept, so that the log's memory stays bounded.
inline constexpr std::size_t max_kept_value = 512 << 10;

// Up to where the receiver of news knows the store.
struct news_position {
  std::uint64_t token = 0;               // of the log that it got its last news from
  std::uint64_t sequence = 0;            // in that log
  std::vector<std::uint64_t> revisions;  // by feed, of the store; 0: nothing is known
  bool operator==(const news_position&) const = default;
};

struct missed_news {
  std::vector<news_item> items;
  std::vector<bool> complete;  // by feed: with the items, the receiver knows what the log knows
};

class news_log {
 public:
  // `token` tells the log from those of other instances and of earlier starts; not 0. `prefixes`
  // are those of the feeds' keys.
  news_log(std::uint64_t token, std::vector<std::string> prefixes);

  // is_news: the value means something else than the key's last one.
  void on_value(const std::string& key, std::uint64_t version,
                std::optional<std::string_view> value, bool is_news);
  void on_removed(const std::string& key, std::uint64_t version);
  // All keys of the feed are known as of this revision. The first call for a feed counts.
  void on_complete(std::size_t feed, std::uint64_t revision);
  // The store has come back from an older copy, whose versions can't be compared with the others.
  void restart();

  std::uint64_t token() const { return token_; }
  std::uint64_t sequence() const { return sequence_; }
  missed_news since(const news_position& known) const;
  // Returns the key's state with its value, also one that since() leaves out for its size; nullopt
  // if the value isn't kept.
  std::optional<news_item> with_value(const std::string& key) const;

 private:
  struct entry {
    news_item item;
    std::uint64_t sequence = 0;
    std::uint64_t changed = 0;  // version of the last news
  };
  void note(const std::string& key, entry& changed);
  bool is_missed(const entry& candidate, const news_position& known) const;

  std::uint64_t token_;
  std::vector<std::string> prefixes_;
  std::uint64_t sequence_ = 0;
  std::vector<std::optional<std::uint64_t>> complete_from_;  // by feed
  std::map<std::string, entry, std::less<>> entries_;
  std::size_t removed_ = 0;
};

}  // namespace plantainpaddle
