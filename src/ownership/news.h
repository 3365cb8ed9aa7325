// News of the store that instances hand on: what a request says, what its answer says, and when it
// is to be answered. News state when they were known to be true at the store, never when they were
// handed on. No I/O and no clock.
//
//   if (is_news_due(request, arrived, log, feeds, era)) send(make_news(request, log, feeds, era,
//   ...)); const auto items = take_news(answer, asked_at, feeds, versions, now);   // where it was
//   asked for
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/suspensions.h"
#include "base/time.h"
#include "ownership/key_versions.h"
#include "ownership/news_log.h"
#include "ownership/store_feed.h"

namespace plantainpaddle {

struct news_request {
  std::uint64_t era = 0;  // of the store
  news_position known;
  // Key of a value that news don't carry for its size, and that the store has failed to answer;
  // empty: none.
  std::string wanted;
  bool operator==(const news_request&) const = default;
};

// What an answer says of one feed.
struct feed_news {
  bool complete = false;  // with the items, the asker knows all changes up to the revision
  std::uint64_t revision = 0;
  duration age{0};  // since these were known to be all, when the answer was sent
  bool operator==(const feed_news&) const = default;
};

struct news_answer {
  std::uint64_t token = 0;
  std::uint64_t sequence = 0;
  std::uint64_t era = 0;
  duration held{0};  // from the request's arrival to the answer
  std::vector<feed_news> feeds;
  std::vector<news_item> items;
  bool operator==(const news_answer&) const = default;
};

// Whether a request that arrived at `arrived` is answered now: there is news, or the upstreams have
// been read since, which makes the asker's view younger.
bool is_news_due(const news_request& request, monotonic_time arrived, const news_log& log,
                 const store_reader& feeds, std::uint64_t era);

news_answer make_news(const news_request& request, monotonic_time arrived, const news_log& log,
                      const store_reader& feeds, std::uint64_t era, const suspensions& suspended,
                      monotonic_time now);

// Adds the value that the request wants, unless the answer is of another era than the request.
void add_wanted(news_answer& answer, const news_request& request, news_item value);

// Limits the bytes of values that are handed on by explicit request: one instance's link serves the
// news of all its followers as well. A third of a domain of 16, without the store, gets a state of
// 250 KB within 10 s.
class value_pace {
 public:
  bool allows(monotonic_time now) const { return now >= next_at_; }
  void on_sent(std::size_t bytes, monotonic_time now);

 private:
  monotonic_time next_at_{};
};

// Passes the answer to a request of `asked_at` to the feeds, and returns the items that are to be
// taken in. Returns nullopt, and does nothing, if the answer is about other feeds.
std::optional<std::vector<news_item>> take_news(const news_answer& answer, monotonic_time asked_at,
                                                store_reader& feeds, const key_versions& versions,
                                                monotonic_time now);

// Whether the upstreams are known here as of more than `margin` later than the answer knows them,
// so that the one who answered has lost the store.
bool is_ahead_of(const news_answer& answer, monotonic_time asked_at, const store_reader& feeds,
                 duration margin);

}  // namespace plantainpaddle
