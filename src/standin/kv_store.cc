#include "standin/kv_store.h"

namespace plantainpaddle {

bool in_range(const std::string& candidate, const std::string& key, const std::string& end) {
  if (end.empty()) return candidate == key;
  return candidate >= key && (end == std::string(1, '\0') || candidate < end);
}

const kv_entry* kv_store::find(const std::string& key) const {
  const auto place = entries_.find(key);
  return place == entries_.end() ? nullptr : &place->second;
}

std::vector<kv_entry> kv_store::range(const std::string& key, const std::string& end) const {
  std::vector<kv_entry> found;
  for (auto place = entries_.lower_bound(key);
       place != entries_.end() && in_range(place->first, key, end); ++place) {
    found.push_back(place->second);
  }
  return found;
}

bool kv_store::fits(const kv_put& put) const {
  if (put.value.size() > limits_.value_bytes) return false;
  if (put.lease != 0 && !has_lease(put.lease)) return false;
  const kv_entry* old = find(put.key);
  const std::size_t old_bytes = old == nullptr ? 0 : old->key.size() + old->value.size();
  return total_bytes_ - old_bytes + put.key.size() + put.value.size() <= limits_.total_bytes;
}

// At the revision that stands.
void kv_store::write(const kv_put& put) {
  kv_entry& entry = entries_[put.key];
  total_bytes_ -= entry.key.size() + entry.value.size();
  total_bytes_ += put.key.size() + put.value.size();
  detach(entry);
  if (entry.version == 0) entry.created = revision_;
  entry.key = put.key;
  entry.value = put.value;
  entry.modified = revision_;
  ++entry.version;
  entry.lease = put.lease;
  if (put.lease != 0) leases_[put.lease].keys.insert(put.key);
  log({false, entry});
}

void kv_store::erase(const std::string& key) {
  const auto place = entries_.find(key);
  detach(place->second);
  total_bytes_ -= place->second.key.size() + place->second.value.size();
  entries_.erase(place);
  log({true, {.key = key, .modified = revision_}});
}

bool kv_store::put(const std::string& key, const std::string& value, std::uint64_t lease) {
  return commit({{key, value, lease}}, {});
}

std::size_t kv_store::remove(const std::string& key, const std::string& end) {
  const auto gone = range(key, end);
  std::vector<std::string> keys;
  keys.reserve(gone.size());
  for (const auto& entry : gone) keys.push_back(entry.key);
  commit({}, keys);
  return gone.size();
}

bool kv_store::commit(const std::vector<kv_put>& puts, const std::vector<std::string>& removals) {
  for (const auto& put : puts) {
    if (!fits(put)) return false;
  }
  std::set<std::string> gone;
  for (const auto& key : removals) {
    if (entries_.contains(key)) gone.insert(key);
  }
  if (puts.empty() && gone.empty()) return true;
  ++revision_;
  for (const auto& put : puts) write(put);
  for (const auto& key : gone) erase(key);
  return true;
}

void kv_store::detach(const kv_entry& entry) {
  if (const auto place = leases_.find(entry.lease); place != leases_.end()) {
    place->second.keys.erase(entry.key);
  }
}

std::uint64_t kv_store::grant_lease(std::uint64_t id, duration length, monotonic_time now) {
  if (id == 0) id = next_lease_++;
  const bool made = leases_.emplace(id, lease{length, now + length, {}}).second;
  return made ? id : 0;
}

std::optional<duration> kv_store::keep_alive(std::uint64_t id, monotonic_time now) {
  const auto place = leases_.find(id);
  if (place == leases_.end()) return std::nullopt;
  place->second.ends = now + place->second.length;
  return place->second.length;
}

bool kv_store::revoke_lease(std::uint64_t id) {
  const auto place = leases_.find(id);
  if (place == leases_.end()) return false;
  const std::set<std::string> keys = std::move(place->second.keys);
  leases_.erase(place);
  for (const auto& key : keys) remove(key, "");
  return true;
}

void kv_store::expire(monotonic_time now) {
  std::vector<std::uint64_t> lapsed;
  for (const auto& [id, each] : leases_) {
    if (now >= each.ends) lapsed.push_back(id);
  }
  for (const auto id : lapsed) revoke_lease(id);
}

void kv_store::log(kv_change change) {
  log_bytes_ += change.entry.key.size() + change.entry.value.size();
  log_.push_back(std::move(change));
  while (log_.size() > limits_.log_changes || log_bytes_ > limits_.log_bytes) drop_oldest();
}

void kv_store::drop_oldest() {
  const kv_entry& oldest = log_.front().entry;
  compacted_ = std::max(compacted_, oldest.modified);
  log_bytes_ -= oldest.key.size() + oldest.value.size();
  log_.pop_front();
}

void kv_store::compact(std::uint64_t revision) {
  while (!log_.empty() && log_.front().entry.modified <= revision) drop_oldest();
  compacted_ = std::max(compacted_, std::min(revision, revision_));
}

void kv_store::restore(const kv_store& copy, duration age) {
  *this = copy;
  for (auto& [id, each] : leases_) each.ends += age;
  compact(revision_);
}

std::optional<std::vector<kv_change>> kv_store::events(const std::string& key,
                                                       const std::string& end,
                                                       std::uint64_t from) const {
  if (from <= compacted_) return std::nullopt;
  std::vector<kv_change> found;
  for (auto place = log_.rbegin(); place != log_.rend() && place->entry.modified >= from; ++place) {
    if (in_range(place->entry.key, key, end)) found.push_back(*place);
  }
  return std::vector<kv_change>(found.rbegin(), found.rend());
}

}  // namespace plantainpaddle
