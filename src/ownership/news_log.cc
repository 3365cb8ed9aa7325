// A receiver that got its last news from this log misses what has a higher sequence. Any other one
// states the revisions at which it knows the feeds: it misses what changed after them. That is all
// only if the log was complete at that revision already, since a log doesn't know of keys that were
// removed before it began.
#include "ownership/news_log.h"

#include <algorithm>
#include <utility>

namespace plantainpaddle {
namespace {

constexpr std::size_t max_removed = 4096;  // removed keys that are kept

}  // namespace

news_log::news_log(std::uint64_t token, std::vector<std::string> prefixes)
    : token_(token), prefixes_(std::move(prefixes)), complete_from_(prefixes_.size()) {}

void news_log::note(const std::string& key, entry& changed) {
  changed.sequence = ++sequence_;
  changed.changed = changed.item.version;
  if (removed_ <= max_removed) return;
  // Without its removed keys the log is complete from now on only.
  std::uint64_t last = 0;
  std::erase_if(entries_, [&](const auto& known) {
    if (!known.second.item.removed || known.first == key) return false;
    last = std::max(last, known.second.item.version);
    return true;
  });
  removed_ = 0;
  for (auto& from : complete_from_) {
    if (from) from = std::max(*from, last);
  }
}

void news_log::on_value(const std::string& key, std::uint64_t version,
                        std::optional<std::string_view> value, bool is_news) {
  auto [it, added] = entries_.try_emplace(key);
  auto& known = it->second;
  if (!added && version < known.item.version) return;
  const bool was_removed = std::exchange(known.item.removed, false);
  if (was_removed && removed_ > 0) --removed_;
  known.item.key = key;
  known.item.version = version;
  const bool is_kept = value && value->size() <= max_kept_value;
  known.item.value = is_kept ? std::optional(std::string(*value)) : std::nullopt;
  if (added || was_removed || is_news) note(key, known);
}

void news_log::on_removed(const std::string& key, std::uint64_t version) {
  auto& known = entries_[key];
  if (version < known.item.version || known.item.removed) return;
  known.item = {.key = key, .version = version, .removed = true, .value = std::nullopt};
  ++removed_;
  note(key, known);
}

void news_log::on_complete(std::size_t feed, std::uint64_t revision) {
  if (!complete_from_[feed]) complete_from_[feed] = revision;
}

void news_log::restart() {
  entries_.clear();
  removed_ = 0;
  ++sequence_;
  for (auto& from : complete_from_) from.reset();
}

bool news_log::is_missed(const entry& candidate, const news_position& known) const {
  if (known.token == token_) return candidate.sequence > known.sequence;
  for (std::size_t feed = 0; feed < prefixes_.size(); ++feed) {
    const bool covers = candidate.item.key.starts_with(prefixes_[feed]);
    if (covers && candidate.changed > known.revisions[feed]) return true;
  }
  return false;
}

missed_news news_log::since(const news_position& known) const {
  missed_news missed;
  const bool comparable = known.revisions.size() == prefixes_.size();
  for (std::size_t feed = 0; feed < prefixes_.size(); ++feed) {
    const auto& from = complete_from_[feed];
    missed.complete.push_back(comparable && from && known.revisions[feed] >= *from &&
                              known.revisions[feed] != 0);
  }
  if (!comparable || (known.token == token_ && known.sequence >= sequence_)) return missed;
  for (const auto& [key, candidate] : entries_) {
    if (!is_missed(candidate, known)) continue;
    missed.items.push_back(candidate.item);
    auto& value = missed.items.back().value;
    if (value && value->size() > max_news_value) value.reset();
  }
  return missed;
}

std::optional<news_item> news_log::with_value(const std::string& key) const {
  const auto found = entries_.find(key);
  if (found == entries_.end() || !found->second.item.value) return std::nullopt;
  return found->second.item;
}

}  // namespace plantainpaddle
