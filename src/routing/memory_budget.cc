// What victims hold counts as free from the decision on, although it is freed only when their
// connections have ended, within a turn of the event loop. Otherwise each request in between would
// choose further victims.
#include "routing/memory_budget.h"

#include <algorithm>

namespace plantainpaddle {

std::string_view held_kind_name(held_kind kind) noexcept {
  constexpr std::array<std::string_view, held_kind_count> names{
      "heads", "bodies", "pipelined", "unread-responses", "upstream-responses"};
  return names[static_cast<std::size_t>(kind)];
}

void memory_budget::open(holder_id id, monotonic_time now) { holders_[id].progress = now; }

void memory_budget::close(holder_id id) {
  const auto place = holders_.find(id);
  if (place == holders_.end()) return;
  const holder& gone = place->second;
  total_ -= gone.total;
  if (gone.ending) ending_ -= gone.total;
  for (std::size_t kind = 0; kind < held_kind_count; ++kind) {
    kinds_[kind] -= gone.bytes[kind];
    if (gone.ending) ending_kinds_[kind] -= gone.bytes[kind];
  }
  holders_.erase(place);
}

std::size_t memory_budget::limit_of(held_kind kind) const {
  return static_cast<std::size_t>(static_cast<double>(limits_.bytes) *
                                  limits_.shares[static_cast<std::size_t>(kind)]);
}

bool memory_budget::fits(held_kind kind, std::size_t bytes) const {
  const auto index = static_cast<std::size_t>(kind);
  return total_ - ending_ + bytes <= limits_.bytes &&
         kinds_[index] - ending_kinds_[index] + bytes <= limit_of(kind);
}

void memory_budget::end(holder& victim) {
  victim.ending = true;
  ending_ += victim.total;
  for (std::size_t kind = 0; kind < held_kind_count; ++kind) {
    ending_kinds_[kind] += victim.bytes[kind];
  }
}

memory_budget::verdict memory_budget::request(holder_id id, held_kind kind, std::size_t bytes,
                                              monotonic_time now) {
  const auto asking = holders_.find(id);
  if (asking == holders_.end() || asking->second.ending) return {};
  // Victims are closed a little later, when many others may have asked: what all hold together
  // stays bounded, too.
  const auto most = static_cast<double>(limits_.bytes) * (1 + relief_share);
  const bool room_until_then = static_cast<double>(total_ + bytes) <= most;
  if (fits(kind, bytes)) return {room_until_then, {}};
  struct candidate {
    holder_id id;
    bool stalled;
    std::size_t bytes;
  };
  const auto index = static_cast<std::size_t>(kind);
  // Where only the kind's own share is used up, the others' bytes are of no help.
  const bool all_kinds = total_ - ending_ + bytes > limits_.bytes;
  const auto size_of = [&](const holder& one) { return all_kinds ? one.total : one.bytes[index]; };
  const std::size_t own = size_of(asking->second) + bytes;
  std::vector<candidate> candidates;
  for (const auto& [other, state] : holders_) {
    const bool stalled = now - state.progress >= limits_.stall;
    const auto size = size_of(state);
    const bool at_fault = state.waits && !state.ending && other != id && size >= min_victim;
    if (at_fault && (stalled || size / dominance > own))
      candidates.push_back({other, stalled, size});
  }
  std::sort(candidates.begin(), candidates.end(), [](const candidate& a, const candidate& b) {
    if (a.stalled != b.stalled) return a.stalled;
    return a.bytes != b.bytes ? a.bytes > b.bytes : a.id < b.id;
  });
  const auto spare = static_cast<std::size_t>(
      static_cast<double>(all_kinds ? limits_.bytes : limit_of(kind)) * relief_share);
  verdict chosen;
  for (const auto& next : candidates) {
    // Only what is needed is taken from callers that do make progress.
    if (fits(kind, next.stalled ? bytes + spare : bytes)) break;
    end(holders_.at(next.id));
    chosen.victims.push_back(next.id);
  }
  chosen.granted = room_until_then && fits(kind, bytes);
  return chosen;
}

void memory_budget::add(holder_id id, held_kind kind, std::size_t bytes) {
  const auto place = holders_.find(id);
  if (place == holders_.end()) return;
  const auto index = static_cast<std::size_t>(kind);
  place->second.bytes[index] += bytes;
  place->second.total += bytes;
  kinds_[index] += bytes;
  total_ += bytes;
  if (!place->second.ending) return;
  ending_kinds_[index] += bytes;
  ending_ += bytes;
}

void memory_budget::remove(holder_id id, held_kind kind, std::size_t bytes) {
  const auto place = holders_.find(id);
  if (place == holders_.end()) return;
  const auto index = static_cast<std::size_t>(kind);
  place->second.bytes[index] -= bytes;
  place->second.total -= bytes;
  kinds_[index] -= bytes;
  total_ -= bytes;
  if (!place->second.ending) return;
  ending_kinds_[index] -= bytes;
  ending_ -= bytes;
}

void memory_budget::on_bytes(holder_id id, std::size_t bytes, monotonic_time now) {
  const auto place = holders_.find(id);
  if (place == holders_.end()) return;
  place->second.moved += bytes;
  if (place->second.moved < progress_bytes) return;
  place->second.moved = 0;
  place->second.progress = now;
}

void memory_budget::set_waits_for_caller(holder_id id, bool waits, monotonic_time now) {
  const auto place = holders_.find(id);
  if (place == holders_.end() || place->second.waits == waits) return;
  place->second.waits = waits;
  place->second.progress = now;
}

memory_budget::holder_id memory_budget::choose_longest_waiting(monotonic_time now) {
  holder_id chosen = 0;
  monotonic_time oldest = now - limits_.stall;
  for (const auto& [id, state] : holders_) {
    if (!state.waits || state.ending || state.progress > oldest) continue;
    oldest = state.progress;
    chosen = id;
  }
  if (chosen != 0) end(holders_.at(chosen));
  return chosen;
}

bool memory_budget::may_read_ahead() const {
  return static_cast<double>(total_ - ending_) <
         static_cast<double>(limits_.bytes) * read_ahead_share;
}

}  // namespace plantainpaddle
