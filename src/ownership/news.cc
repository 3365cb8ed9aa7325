#include "ownership/news.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace plantainpaddle {
namespace {

// Returns when a feed's news were known to be all, by the asker's clock: the request arrived no
// earlier than it was sent, and was held for a known time.
monotonic_time known_at(const news_answer& answer, const feed_news& feed, monotonic_time asked_at) {
  return asked_at + answer.held - feed.age;
}

// Whether a feed that covers the key is known at a revision that includes the item. The log that it
// comes from may be behind, and what a full read has shown to be gone isn't remembered by key.
bool is_known(const news_item& item, const store_reader& feeds) {
  for (std::size_t i = 0; i < feeds.size(); ++i) {
    const bool covers = item.key.starts_with(feeds[i].prefix());
    if (covers && item.version <= feeds[i].revision()) return true;
  }
  return false;
}

}  // namespace

bool is_news_due(const news_request& request, monotonic_time arrived, const news_log& log,
                 const store_reader& feeds, std::uint64_t era) {
  const auto& known = request.known;
  return request.era != era || known.token != log.token() || known.sequence < log.sequence() ||
         feeds.upstreams().known_at() > arrived;
}

news_answer make_news(const news_request& request, monotonic_time arrived, const news_log& log,
                      const store_reader& feeds, std::uint64_t era, const suspensions& suspended,
                      monotonic_time now) {
  news_answer answer{.token = log.token(), .sequence = log.sequence(), .era = era};
  answer.held = now - arrived;
  const bool comparable = request.era == era;
  auto missed = log.since(request.known);
  for (std::size_t i = 0; i < feeds.size(); ++i) {
    const auto at = feeds[i].known_at();
    answer.feeds.push_back({.complete = comparable && missed.complete[i],
                            .revision = feeds[i].revision(),
                            .age = now - at + suspended.since(at)});
  }
  if (comparable) answer.items = std::move(missed.items);
  return answer;
}

std::optional<std::vector<news_item>> take_news(const news_answer& answer, monotonic_time asked_at,
                                                store_reader& feeds, const key_versions& versions,
                                                monotonic_time now) {
  if (answer.feeds.size() != feeds.size()) return std::nullopt;
  std::vector<news_item> items;
  std::map<std::string, std::uint64_t> unsent;  // versions of the values that were left out
  for (const auto& item : answer.items) {
    if (is_known(item, feeds)) continue;
    if (item.removed || item.value) {
      items.push_back(item);
    } else if (versions.version_of(item.key) < item.version) {
      unsent[item.key] = item.version;
    }
  }
  for (std::size_t i = 0; i < feeds.size(); ++i) {
    for (const auto& [key, version] : unsent) {
      if (key.starts_with(feeds[i].prefix())) feeds[i].require_read(now, key, version);
    }
    for (const auto& item : items) feeds[i].on_handed_on(item.key, item.version);
    const auto& feed = answer.feeds[i];
    if (feed.complete) feeds[i].on_news(feed.revision, known_at(answer, feed, asked_at));
  }
  return items;
}

void add_wanted(news_answer& answer, const news_request& request, news_item value) {
  if (request.era != answer.era) return;
  std::erase_if(answer.items, [&](const news_item& item) { return item.key == value.key; });
  answer.items.push_back(std::move(value));
}

void value_pace::on_sent(std::size_t bytes, monotonic_time now) {
  constexpr double bytes_per_s = 128 << 10;  // a tenth of a link of 10 Mbit/s
  const std::chrono::duration<double> taken(static_cast<double>(bytes) / bytes_per_s);
  next_at_ = now + std::chrono::duration_cast<duration>(taken);
}

bool is_ahead_of(const news_answer& answer, monotonic_time asked_at, const store_reader& feeds,
                 duration margin) {
  const auto& there = answer.feeds[store_reader::upstream_feed];
  return feeds.upstreams().known_at() - known_at(answer, there, asked_at) > margin;
}

}  // namespace plantainpaddle
