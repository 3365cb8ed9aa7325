// The assignment of a service's numbered keys to upstreams, as a list of key ranges. The service's
// assigner stores it as one value, which only the assigner writes.
//
//   result<range_record> read = parse_range_record(text);
//   const range_entry& entry = entry_of(*read, key);
//
// Invariants: the ranges are sorted and cover all keys without gaps. The fencing token (fence) of a
// range is higher than every fence that any of its keys had under earlier owners; last_fence is the
// highest fence issued so far.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"

namespace plantainpaddle {

inline constexpr std::uint32_t last_numbered_key = 65535;

// The keys from `first` to `last`, both inclusive, and their owner.
struct range_entry {
  std::uint32_t first = 0;
  std::uint32_t last = last_numbered_key;
  std::optional<upstream_id> owner;  // empty if no upstream may serve the keys
  fence_number fence;
  // Former owners that may still hold keys of the range under lower fences, the latest last. The
  // owner gets no grant until each of them has released the keys or its grants have expired.
  std::vector<upstream_id> former;

  bool operator==(const range_entry&) const = default;
};

struct range_record {
  // Number of the store's history in which the record was written; 0 if the store has only one.
  std::uint64_t era = 0;
  term_number term;
  instance_id assigner;  // empty after the last assigner relinquished leadership
  std::string address;   // where other instances reach the assigner
  fence_number last_fence;
  std::uint64_t mark = 0;  // identifies the write to its writer if the store's answer is lost
  // Set when an assigner relinquishes leadership: the time after this write by which all grants of
  // it and its predecessors have expired. Empty if that time is unknown.
  std::optional<duration> lapses_in;
  // Upstreams may hold keys that the record doesn't assign to them, since later records were lost
  // with the store's former history. Before a key is granted, all others must have released it.
  bool unsettled = false;
  std::vector<range_entry> ranges;

  bool operator==(const range_record&) const = default;
};

// Orders the records of a service by when they were written. Versions in the store don't: a store
// that comes back from an older copy gives them out again.
struct record_position {
  std::uint64_t era = 0;
  std::uint64_t term = 0;
  std::uint64_t mark = 0;
  auto operator<=>(const record_position&) const = default;
};
record_position position_of(const range_record& record);

// Returns a record with one range that covers all keys and has no owner.
range_record make_range_record();

// Returns the record as JSON.
std::string format_range_record(const range_record& record);
// Parses the JSON of format_range_record(). Returns errc::bad_input if a field is missing or out of
// bounds, if the ranges aren't sorted or don't cover all keys, or if a fence exceeds last_fence.
result<range_record> parse_range_record(std::string_view text);

// What has changed from one record to the next.
struct range_delta {
  range_record changes;  // the next record, in which each run of unchanged ranges is one entry
  std::vector<std::size_t> unchanged;  // the indexes of these entries, rising
  bool operator==(const range_delta&) const = default;
};
range_delta make_delta(const range_record& before, const range_record& after);
// Returns the record `after` of make_delta(), or errc::bad_input if the delta wasn't made from
// `before`, as far as the bounds of the ranges tell.
result<range_record> apply_delta(const range_record& before, const range_delta& delta);

// Returns the entry whose range contains `key`, which must not exceed last_numbered_key.
const range_entry& entry_of(const range_record& record, std::uint32_t key);

// Makes `to` the owner of the keys from `first` to `last`, both inclusive, under a new fence. Their
// previous owners become former owners. Keys that `to` already owns stay as they are.
void move_range(range_record& record, std::uint32_t first, std::uint32_t last,
                const upstream_id& to);
// Gives all ranges of `owner` a new fence; the owner keeps them.
void renew_fences(range_record& record, const upstream_id& owner);
// Returns the record with which `assigner` takes over: the term is one higher, and all owned ranges
// have new fences. A record of another era is unsettled from then on.
range_record take_over(range_record record, const instance_id& assigner, const std::string& address,
                       std::uint64_t era);
// Returns the record with which its assigner goes on in another era: the owners keep their fences,
// new ones are above all of former eras.
range_record carry_over(range_record record, std::uint64_t era);
// Merges adjacent ranges that have the same owner, fence and former owners.
void merge_ranges(range_record& record);

}  // namespace plantainpaddle
